#ifndef PIMENTOGRADE_JOBS_RUN_TIME_MODEL_HPP
#define PIMENTOGRADE_JOBS_RUN_TIME_MODEL_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// Expected run time of a task, given the submitter's estimate. Learns from
/// the runs that have ended how far the estimates of one queue can be trusted:
/// good ones are followed, bad ones give way to the queue's mean. A linear
/// regression of the logarithms with a prior that trusts the estimate; old
/// runs are gradually forgotten.
class run_time_model
{
public:
    void note(base::duration estimate, base::duration actual);
    /// Mean run time of tasks with this estimate, seconds.
    [[nodiscard]] double expected_seconds(base::duration estimate) const;

private:
    double weight_ = 0.0;
    double mean_estimate_ = 0.0;
    /// Mean of log(actual) - log(estimate).
    double mean_ratio_ = 0.0;
    /// Sums of squares and products of the deviations from the means.
    double estimate_squares_ = 0.0;
    double products_ = 0.0;
    double ratio_squares_ = 0.0;
};

} // namespace pimentograde::jobs

#endif
