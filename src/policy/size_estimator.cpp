#include "policy/size_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pimentograde::policy
{

namespace
{

// Longer run times are ignored as wrong values.
constexpr base::duration max_plausible_run_time = std::chrono::hours{24};
constexpr double median = 0.5;
constexpr double p90 = 0.9;

bool is_plausible(base::duration run_time)
{
    return run_time > base::duration::zero() &&
           run_time <= max_plausible_run_time;
}

template <class Value>
Value quantile(std::vector<Value> values, double fraction)
{
    const auto index = static_cast<std::ptrdiff_t>(
        fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

template <class Entry, class Member>
auto values_of(const std::deque<Entry>& entries, Member member)
{
    std::vector<std::decay_t<decltype(member(entries.front()))>> values;
    values.reserve(entries.size());
    for (const auto& entry : entries)
        values.push_back(member(entry));
    return values;
}

} // namespace

void size_estimator::set_initial(const base::queue_name& queue,
                                 base::duration run_time)
{
    queues_[queue].initial = run_time;
}

void size_estimator::record_run(const base::queue_name& queue,
                                base::duration run_time)
{
    if (!is_plausible(run_time))
        return;
    auto& state = queues_[queue];
    state.runs.push_back(run_time);
    if (state.runs.size() > max_samples)
        state.runs.pop_front();
    update_times(state);
}

void size_estimator::record_usage(const base::queue_name& queue,
                                  const base::lease_id& lease,
                                  const base::task_size& used,
                                  base::duration run_time)
{
    if (!is_plausible(run_time) || !std::isfinite(used.cores) || used.cores < 0)
        return;
    auto& state = queues_[queue];
    auto entry =
        std::find_if(state.reports.begin(), state.reports.end(),
                     [&](const usage& known) { return known.lease == lease; });
    if (entry == state.reports.end())
    {
        state.reports.push_back({lease, used, run_time});
        if (state.reports.size() > max_samples)
            state.reports.pop_front();
    }
    else
    {
        entry->run_time = std::max(entry->run_time, run_time);
        auto& known = entry->used;
        known.cores = std::max(known.cores, used.cores);
        known.memory_mb = std::max(known.memory_mb, used.memory_mb);
        known.accelerators = std::max(known.accelerators, used.accelerators);
    }
    update_size(state);
    update_times(state);
}

void size_estimator::update_times(queue_state& state)
{
    auto times =
        std::vector<base::duration>(state.runs.begin(), state.runs.end());
    if (times.size() < min_samples)
        times = values_of(state.reports,
                          [](const usage& entry) { return entry.run_time; });
    if (times.size() < min_samples)
        return;
    state.typical_time = quantile(times, median);
    state.long_time = quantile(std::move(times), p90);
}

void size_estimator::update_size(queue_state& state)
{
    if (state.reports.size() < min_samples)
        return;
    const auto& reports = state.reports;
    state.size.cores = quantile(
        values_of(reports, [](const usage& entry) { return entry.used.cores; }),
        median);
    state.size.memory_mb = quantile(values_of(reports, [](const usage& entry)
                                              { return entry.used.memory_mb; }),
                                    median);
    state.size.accelerators =
        quantile(values_of(reports, [](const usage& entry)
                           { return entry.used.accelerators; }),
                 median);
}

size_estimate size_estimator::estimate(const base::queue_name& queue,
                                       const base::task_size& declared) const
{
    const auto found = queues_.find(queue);
    if (found == queues_.end())
        return {declared, {}, {}};
    const auto& state = found->second;
    size_estimate result{declared, state.initial, state.initial};
    if (state.reports.size() >= min_samples)
        result.size = state.size;
    if (state.long_time > base::duration::zero())
    {
        result.typical_time = state.typical_time;
        result.long_time = state.long_time;
    }
    return result;
}

double slot_charge(const base::task_size& task, const base::task_size& worker,
                   std::uint32_t slots)
{
    const auto share = [](double part, double whole)
    {
        return whole > 0 ? part / whole : 0.0;
    };
    const double used =
        std::max({share(task.cores, worker.cores),
                  share(static_cast<double>(task.memory_mb),
                        static_cast<double>(worker.memory_mb)),
                  share(task.accelerators, worker.accelerators)});
    return std::max(1.0, used * slots);
}

} // namespace pimentograde::policy
