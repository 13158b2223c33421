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
    sums_.weight = sums_.weight * decay + 1.0;
    const double estimate_step = log_estimate - sums_.mean_estimate;
    const double ratio_step = ratio - sums_.mean_ratio;
    sums_.mean_estimate += estimate_step / sums_.weight;
    sums_.mean_ratio += ratio_step / sums_.weight;
    sums_.estimate_squares =
        sums_.estimate_squares * decay +
        estimate_step * (log_estimate - sums_.mean_estimate);
    sums_.products =
        sums_.products * decay + estimate_step * (ratio - sums_.mean_ratio);
    sums_.ratio_squares =
        sums_.ratio_squares * decay + ratio_step * (ratio - sums_.mean_ratio);
}

double run_time_model::expected_seconds(base::duration estimate) const
{
    const double log_estimate = log_seconds(estimate);
    if (sums_.weight <= 0.0)
        return std::exp(log_estimate);
    const double slope = std::clamp(
        sums_.products / (sums_.estimate_squares + prior_squares), -1.0, 0.0);
    const double offset =
        sums_.mean_ratio * sums_.weight / (sums_.weight + prior_runs);
    const double residual =
        std::max(0.0, sums_.ratio_squares - slope * sums_.products) /
        sums_.weight;
    // The mean of a log-normal distribution lies above its median.
    constexpr double half = 0.5;
    return std::exp(log_estimate + offset +
                    slope * (log_estimate - sums_.mean_estimate) +
                    half * residual);
}

} // namespace pimentograde::jobs
