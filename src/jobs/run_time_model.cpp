#include "jobs/run_time_model.hpp"

#include <algorithm>
#include <cmath>

namespace pimentograde::jobs
{

namespace
{

// Number of runs after which the weight of an observation is about a third of a
// new one.
constexpr double decay_runs = 300.0;
// Weight of the prior on the offset, in runs: with fewer runs, the estimates
// count more than the observations.
constexpr double prior_runs = 4.0;
// Weight of the prior on the slope, as a sum of squared deviations of the
// estimates.
constexpr double prior_squares = 2.0;
// A run on a failing worker may take many times as long as estimated. The ratio
// is limited to e^1.5, or 4.5 times, in both directions.
constexpr double max_ratio = 1.5;
// Lower bound of estimates and run times, since shorter ones are rounding
// errors, seconds.
constexpr double min_seconds = 0.001;

double log_seconds(base::duration length)
{
    return std::log(std::max(base::count_seconds(length), min_seconds));
}

} // namespace

void run_time_model::add_run(base::duration estimate, base::duration actual)
{
    const double log_estimate = log_seconds(estimate);
    const double ratio =
        std::clamp(log_seconds(actual) - log_estimate, -max_ratio, max_ratio);
    constexpr double decay = 1.0 - 1.0 / decay_runs;
    weight_ = weight_ * decay + 1.0;
    const double estimate_step = log_estimate - mean_estimate_;
    const double ratio_step = ratio - mean_ratio_;
    mean_estimate_ += estimate_step / weight_;
    mean_ratio_ += ratio_step / weight_;
    estimate_squares_ = estimate_squares_ * decay +
                        estimate_step * (log_estimate - mean_estimate_);
    products_ = products_ * decay + estimate_step * (ratio - mean_ratio_);
    ratio_squares_ =
        ratio_squares_ * decay + ratio_step * (ratio - mean_ratio_);
}

double run_time_model::expected_seconds(base::duration estimate) const
{
    const double log_estimate = log_seconds(estimate);
    if (weight_ <= 0.0)
        return std::exp(log_estimate);
    const double slope =
        std::clamp(products_ / (estimate_squares_ + prior_squares), -1.0, 0.0);
    const double offset = mean_ratio_ * weight_ / (weight_ + prior_runs);
    const double residual =
        std::max(0.0, ratio_squares_ - slope * products_) / weight_;
    // The mean of a log-normal distribution lies above its median.
    constexpr double half = 0.5;
    return std::exp(log_estimate + offset +
                    slope * (log_estimate - mean_estimate_) + half * residual);
}

} // namespace pimentograde::jobs
