#ifndef PIMENTOGRADE_JOBS_RUN_TIME_MODEL_HPP
#define PIMENTOGRADE_JOBS_RUN_TIME_MODEL_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// Predicts the run time of a task from the submitter's estimate. Learns from
/// completed runs how accurate the estimates of one queue are: the prediction
/// follows accurate estimates and falls back to the queue's mean for inaccurate
/// ones. Uses a linear regression of the logarithms with a prior that trusts
/// the estimate; the weight of old runs decays.
class run_time_model
{
public:
    void add_run(base::duration estimate, base::duration actual);
    /// Expected run time of a task with this estimate, seconds.
    [[nodiscard]] double expected_seconds(base::duration estimate) const;

private:
    double weight_ = 0.0;
    double mean_estimate_ = 0.0;
    /// Mean of log(actual) - log(estimate).
    double mean_ratio_ = 0.0;
    /// Weighted sums of squares and products of the deviations from the means.
    double estimate_squares_ = 0.0;
    double products_ = 0.0;
    double ratio_squares_ = 0.0;
};

} // namespace pimentograde::jobs

#endif
