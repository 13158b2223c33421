#ifndef PIMENTOGRADE_JOBS_WORKER_SPEED_HPP
#define PIMENTOGRADE_JOBS_WORKER_SPEED_HPP

#include "base/time.hpp"

#include <deque>
#include <span>

namespace pimentograde::jobs
{

/// A run on a worker and the run time that the model of its queue expects on
/// any worker.
struct running_evidence
{
    double elapsed_seconds = 0.0;
    /// Time from the start to the last change of `percent`.
    double progressed_seconds = 0.0;
    int percent = 0;
    double expected_seconds = 0.0;
};

/// Estimates how many times as long as expected runs take on one worker, from
/// ended runs and from those that are late. One long run does not count, since
/// some tasks take long on any worker: the estimate is the median of what is
/// known, together with one run of usual length. Without new runs it returns
/// to the usual length.
class worker_speed
{
public:
    void note_end(double actual_seconds, double expected_seconds,
                  base::time_point now);
    /// Logarithm of the ratio; `usual` is that of the pool's workers.
    [[nodiscard]] double log_ratio(std::span<const running_evidence> runs,
                                   double usual, base::time_point now) const;

private:
    struct ended_run
    {
        double log_ratio = 0.0;
        base::time_point at;
    };

    /// The latest ones.
    std::deque<ended_run> ended_;
};

/// How many times as long runs take on a worker as on the pool's usual one,
/// from the logarithms of both; 1 for workers that are not clearly slow. A
/// worker that was slow counts as usual only at a lower ratio.
double slowness_of(double log_ratio, double usual, bool was_slow = false);

/// Logarithm of the usual ratio: the median of the workers' ones, as estimates
/// of a queue may be wrong on all workers. 0 for few workers.
double usual_log_ratio(std::span<double> log_ratios);

} // namespace pimentograde::jobs

#endif
