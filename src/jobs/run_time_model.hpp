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
    /// Weighted sums over the completed runs.
    struct sums_of_runs
    {
        double weight = 0.0;
        /// Mean of log(estimate).
        double mean_estimate = 0.0;
        /// Mean of log(actual) - log(estimate).
        double mean_ratio = 0.0;
        /// Sums of squares and products of the deviations from the means.
        double estimate_squares = 0.0;
        double products = 0.0;
        double ratio_squares = 0.0;
    };

    run_time_model() = default;
    explicit run_time_model(const sums_of_runs& sums) : sums_(sums) {}

    void add_run(base::duration estimate, base::duration actual);
    /// Expected run time of a task with this estimate, seconds.
    [[nodiscard]] double expected_seconds(base::duration estimate) const;
    [[nodiscard]] const sums_of_runs& sums() const { return sums_; }

private:
    sums_of_runs sums_;
};

} // namespace pimentograde::jobs

#endif
