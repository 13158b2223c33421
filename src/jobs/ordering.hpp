#ifndef PIMENTOGRADE_JOBS_ORDERING_HPP
#define PIMENTOGRADE_JOBS_ORDERING_HPP

#include "base/time.hpp"
#include "jobs/job.hpp"

#include <compare>
#include <map>
#include <string>

namespace pimentograde::jobs
{

/// Learned properties of a queue's jobs.
class queue_statistics
{
public:
    void note_job(double work);
    /// Mean work of a job in core-seconds; 0 when unknown.
    [[nodiscard]] double mean_work() const { return mean_work_; }

    run_time_model run_times;

private:
    double mean_work_ = 0.0;
};

/// Rank of a job among those that wait for room. Answers bursts of several
/// times a pool's capacity: what can still meet its objective goes first, and
/// among those the jobs that yield most for the work that is left, so that
/// started jobs are finished before new ones begin.
struct job_rank
{
    int priority = 0;
    /// Long-running jobs serve their own users, others wait for them.
    bool is_long_running = false;
    bool can_meet_objective = true;
    /// Value of the job for each core-second that is left.
    double yield = 0.0;
    base::time_point accepted_at{};

    /// Whether this job goes before `other`.
    [[nodiscard]] bool goes_before(const job_rank& other) const;
};

job_rank rank_of(const job& subject, const queue_policy& policy,
                 const queue_statistics& statistics, base::time_point now);

/// The moment at which the job's objective ends.
base::time_point objective_of(const job& subject, const queue_policy& policy);

} // namespace pimentograde::jobs

#endif
