#include "capacity/move_planner.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pimentograde::capacity
{

namespace
{

using slot_table = std::map<base::pool_name, double>;

// After a longer gap between samples the smoothed load says nothing about the
// time in between.
constexpr std::chrono::minutes longest_gap{1};

slot_table serving_slots(const config::bundle& bundle, const fleet_state& state)
{
    slot_table slots;
    for (const config::pool& each : bundle.pools)
        slots[each.name] = 0;
    for (const config::worker& each : bundle.workers)
    {
        const auto found = state.workers.find(each.id);
        if (found != state.workers.end() &&
            found->second.state == worker_state::serving)
            slots[found->second.pool] += each.slots;
    }
    return slots;
}

bool moves_allowed(const fleet_state& state, const move_settings& settings,
                   base::wall_time now)
{
    return std::all_of(state.workers.begin(), state.workers.end(),
                       [&](const auto& item)
                       {
                           const worker_status& status = item.second;
                           const bool recent =
                               status.moved != base::wall_time{} &&
                               now < status.moved + settings.between_moves;
                           return status.target.empty() && !recent;
                       });
}

struct donor
{
    const config::worker* worker = nullptr;
    bool spare = false;
    double share = 0;
};

bool better(const donor& left, const donor& right)
{
    if (!right.worker)
        return true;
    if (left.spare != right.spare)
        return left.spare;
    return left.share < right.share;
}

} // namespace

move_planner::move_planner(move_settings settings) : settings_(settings) {}

void move_planner::observe(std::span<const pool_load> loads,
                           const config::bundle& bundle,
                           const fleet_state& state, base::wall_time now)
{
    if (!first_sample_ || now < last_sample_ ||
        now - last_sample_ > longest_gap)
    {
        pools_.clear();
        first_sample_ = now;
        last_sample_ = now;
    }
    const double passed = base::count_seconds(now - last_sample_);
    const double kept =
        std::exp(-passed / base::count_seconds(settings_.smoothing));
    last_sample_ = now;
    const slot_table slots = serving_slots(bundle, state);
    for (const pool_load& each : loads)
    {
        const auto capacity = slots.find(each.pool);
        if (capacity == slots.end())
            continue;
        memory& of = pools_[each.pool];
        of.weighted = kept * of.weighted + (1 - kept) * each.wanted_slots;
        of.weight = kept * of.weight + (1 - kept);
        if (of.load() > settings_.shortage_above * capacity->second)
            of.short_since = of.short_since.value_or(now);
        else if (of.load() < settings_.shortage_below * capacity->second)
            of.short_since.reset();
    }
}

double move_planner::smoothed_load(const base::pool_name& pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : found->second.load();
}

const base::pool_name* move_planner::neediest_pool(const slot_table& slots,
                                                   base::wall_time now) const
{
    const base::pool_name* neediest = nullptr;
    double highest = 0;
    for (const auto& [pool, of] : pools_)
    {
        const auto capacity = slots.find(pool);
        if (!of.short_since || now < *of.short_since + settings_.lasting ||
            capacity == slots.end())
            continue;
        const double share = of.load() / std::max(capacity->second, 1.0);
        if (share > highest)
        {
            highest = share;
            neediest = &pool;
        }
    }
    return neediest;
}

std::optional<fleet_change> move_planner::plan(const config::bundle& bundle,
                                               const fleet_state& state,
                                               base::wall_time now) const
{
    if (!first_sample_ || now < *first_sample_ + settings_.lasting ||
        !moves_allowed(state, settings_, now))
        return std::nullopt;
    const slot_table slots = serving_slots(bundle, state);
    const base::pool_name* needy = neediest_pool(slots, now);
    if (!needy)
        return std::nullopt;
    std::set<base::pool_name> spares;
    for (const config::pool& each : bundle.pools)
        if (each.spare)
            spares.insert(each.name);
    serving_ledger ledger(bundle, state);
    donor best;
    for (const config::worker& each : bundle.workers)
    {
        const auto found = state.workers.find(each.id);
        if (found == state.workers.end())
            continue;
        const worker_status& status = found->second;
        const auto load = pools_.find(status.pool);
        if (status.state != worker_state::serving || status.pool == *needy ||
            status.hold != hold_kind::none || load == pools_.end() ||
            (status.moved != base::wall_time{} &&
             now < status.moved + settings_.stay))
            continue;
        const double remaining = slots.at(status.pool) - each.slots;
        const double share = load->second.load() / std::max(remaining, 1.0);
        const donor candidate{&each, spares.contains(status.pool), share};
        if (share <= settings_.give_below && better(candidate, best) &&
            !ledger.breach_without(each.id))
            best = candidate;
    }
    if (!best.worker)
        return std::nullopt;
    fleet_change change;
    change.kind = change_kind::start_drain;
    change.worker = best.worker->id;
    change.pool = *needy;
    change.reason = "lasting shortage";
    return change;
}

} // namespace pimentograde::capacity
