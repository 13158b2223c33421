#include "jobs/ordering.hpp"

#include "jobs/seconds.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// The value of a job is a fixed part plus a part proportional to its size in
// mean jobs of the queue, since a large job matters more to its caller. The sum
// is capped at `max_value`.
constexpr double fixed_value = 0.3;
constexpr double value_by_size = 0.7;
constexpr double max_value = 4.0;
// Lower bound of the work, so that a nearly completed job does not cause a
// division by zero, core-seconds.
constexpr double min_core_seconds = 0.05;

} // namespace

bool job_rank::goes_before(const job_rank& other) const
{
    if (is_long_running != other.is_long_running)
        return is_long_running;
    if (can_meet_objective != other.can_meet_objective)
        return can_meet_objective;
    if (is_excess != other.is_excess)
        return !is_excess;
    if (is_above_part != other.is_above_part)
        return !is_above_part;
    if (priority != other.priority)
        return priority < other.priority;
    if (yield != other.yield)
        return yield > other.yield;
    return accepted_at < other.accepted_at;
}

base::time_point objective_of(const job& subject, const queue_policy& policy)
{
    return subject.accepted_at +
           from_seconds(policy.stretch * subject.estimates.critical_path) +
           policy.target;
}

job_rank rank_of(const job& subject, const queue_policy& policy,
                 const queue_statistics& statistics, base::time_point now)
{
    const double total = std::max(subject.estimates.work, min_core_seconds);
    const double left = std::max(subject.estimates.work_left, min_core_seconds);
    const double mean =
        statistics.mean_work() > 0.0 ? statistics.mean_work() : total;
    const double value =
        std::min(max_value, fixed_value + value_by_size * total / mean);
    job_rank rank;
    rank.priority = policy.priority;
    rank.is_long_running = subject.spec.is_long_running();
    rank.can_meet_objective =
        now + from_seconds(subject.estimates.critical_path_left) <=
        objective_of(subject, policy);
    rank.is_excess = subject.is_excess;
    rank.yield = value / left;
    rank.accepted_at = subject.accepted_at;
    return rank;
}

} // namespace pimentograde::jobs
