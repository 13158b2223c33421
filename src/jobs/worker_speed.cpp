#include "jobs/worker_speed.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

namespace pimentograde::jobs
{

namespace
{

constexpr std::size_t max_ended = 8;
// A slow worker without runs is tried again after about three half-lives, with
// eight slow runs known.
constexpr double half_life_seconds = 5.0;
// Run times vary by a quarter to a half on equal workers. A run that is late by
// less, or a worker that is slower by less, counts as usual. 1.5 marked usual
// workers where run times vary by half: means were up to 2 % later.
constexpr double late_ratio = 2.0;
// Below `late_ratio`, so that a worker near it does not change at each pass.
constexpr double usual_again_ratio = 1.5;
constexpr double max_slowness = 10.0;
// Progress is polled every 80 to 120 ms, which distorts ratios of shorter runs.
constexpr double min_progressed_seconds = 0.4;
constexpr int min_percent = 10;
constexpr double full_percent = 100.0;
constexpr double min_seconds = 0.001;
// With fewer workers their median may be that of slow ones.
constexpr std::size_t min_workers = 4;
// Weight of the assumption that a worker is as fast as others, in runs.
constexpr double prior_weight = 1.0;

struct observation
{
    double log_ratio = 0.0;
    double weight = 1.0;
};

// The lower one of two medians, so that a single run does not decide.
double weighted_median(std::vector<observation>& known)
{
    std::sort(known.begin(), known.end(),
              [](const observation& left, const observation& right)
              { return left.log_ratio < right.log_ratio; });
    double total = 0.0;
    for (const observation& entry : known)
        total += entry.weight;
    double below = 0.0;
    for (const observation& entry : known)
    {
        below += entry.weight;
        if (below * 2.0 >= total)
            return entry.log_ratio;
    }
    return known.back().log_ratio;
}

} // namespace

void worker_speed::note_end(double actual_seconds, double expected_seconds,
                            base::time_point now)
{
    ended_.push_back({std::log(std::max(actual_seconds, min_seconds) /
                               std::max(expected_seconds, min_seconds)),
                      now});
    if (ended_.size() > max_ended)
        ended_.pop_front();
}

double worker_speed::log_ratio(std::span<const running_evidence> runs,
                               double usual, base::time_point now) const
{
    std::vector<observation> known{{usual, prior_weight}};
    // Ends before the first late run was due say nothing of the time since.
    double late_for = -1.0;
    for (const running_evidence& run : runs)
    {
        const double expected =
            std::max(run.expected_seconds, min_seconds) * std::exp(usual);
        const bool has_progress =
            run.percent >= min_percent &&
            run.progressed_seconds >= min_progressed_seconds;
        const double total = std::max(
            has_progress ? run.progressed_seconds * full_percent / run.percent
                         : 0.0,
            run.elapsed_seconds);
        const bool is_late = total >= late_ratio * expected;
        if (!is_late && !has_progress)
            continue;
        known.push_back({std::log(total / expected) + usual, 1.0});
        if (is_late)
            late_for =
                std::max({late_for, run.elapsed_seconds - expected, 0.0});
    }
    for (const ended_run& end : ended_)
    {
        const double age = base::count_seconds(now - end.at);
        if (late_for < 0.0)
            known.push_back(
                {end.log_ratio, std::exp2(-age / half_life_seconds)});
        else if (age <= late_for)
            known.push_back({end.log_ratio, 1.0});
    }
    return weighted_median(known);
}

double slowness_of(double log_ratio, double usual, bool was_slow)
{
    const double ratio = std::exp(log_ratio - usual);
    return ratio < (was_slow ? usual_again_ratio : late_ratio)
               ? 1.0
               : std::min(ratio, max_slowness);
}

double usual_log_ratio(std::span<double> log_ratios)
{
    if (log_ratios.size() < min_workers)
        return 0.0;
    const auto middle = log_ratios.begin() + static_cast<std::ptrdiff_t>(
                                                 (log_ratios.size() - 1) / 2);
    std::nth_element(log_ratios.begin(), middle, log_ratios.end());
    return *middle;
}

} // namespace pimentograde::jobs
