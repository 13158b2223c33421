#include "capacity/fleet_observer.hpp"

#include <algorithm>

namespace pimentograde::capacity
{

namespace
{

fleet_change make_change(change_kind kind)
{
    fleet_change change;
    change.kind = kind;
    return change;
}

} // namespace

fleet_observer::fleet_observer(observer_settings settings) : settings_(settings)
{
}

std::vector<fleet_change>
fleet_observer::observe(const fleet_state& state,
                        std::span<const worker_sighting> round,
                        base::wall_time now)
{
    std::vector<fleet_change> changes;
    if (now < last_round_ || now - last_round_ > settings_.longest_gap)
        workers_.clear();
    last_round_ = now;
    const bool any = std::any_of(round.begin(), round.end(),
                                 [](const worker_sighting& seen)
                                 { return seen.reported || seen.outdated; });
    if (!any)
    {
        workers_.clear();
        return changes;
    }
    for (const worker_sighting& seen : round)
    {
        const auto found = state.workers.find(seen.worker);
        if (found == state.workers.end() || seen.outdated)
            continue;
        const auto [at, first] = workers_.try_emplace(seen.worker);
        memory& of = at->second;
        if (first || seen.reported)
            of.last_report = now;
        of.missed = seen.reported ? 0 : of.missed + 1;
        auto change = seen.reported ? judge(found->second, seen, of, now)
                                    : judge_silent(found->second, of, now);
        if (!change)
            continue;
        change->worker = seen.worker;
        changes.push_back(std::move(*change));
    }
    return changes;
}

std::optional<fleet_change>
fleet_observer::judge_silent(const worker_status& status, memory& of,
                             base::wall_time now) const
{
    of.good_reports = 0;
    of.live_since.reset();
    // A worker that reboots is silent as planned.
    const bool rebooting = status.state == worker_state::rebooting &&
                           now < status.since + settings_.reboot_limit;
    if (status.state == worker_state::down || rebooting ||
        of.missed < settings_.missed_rounds ||
        now < of.last_report + settings_.down_after)
        return std::nullopt;
    return make_change(change_kind::mark_down);
}

std::optional<fleet_change> fleet_observer::judge(const worker_status& status,
                                                  const worker_sighting& seen,
                                                  memory& of,
                                                  base::wall_time now) const
{
    if (of.incarnation != seen.incarnation)
        of.good_reports = 0;
    of.incarnation = seen.incarnation;
    const bool good = !seen.refuses_work && !seen.listed_leaving &&
                      status.state == worker_state::probation;
    of.good_reports = good ? of.good_reports + 1 : 0;
    switch (status.state)
    {
    case worker_state::serving:
        if (!seen.refuses_work && !seen.listed_leaving)
            return std::nullopt;
        of.live_since.reset();
        return make_change(change_kind::mark_leaving);
    case worker_state::draining:
        return judge_draining(status, seen, of, now);
    case worker_state::moving:
        // A late planner may have let the worker take work again.
        if (!seen.refuses_work || seen.slots_used != 0)
            return std::nullopt;
        return make_change(change_kind::admit_move);
    case worker_state::rebooting:
    {
        if (seen.incarnation == status.incarnation)
            return std::nullopt;
        fleet_change change = make_change(change_kind::confirm_rebooted);
        change.incarnation = seen.incarnation;
        return change;
    }
    case worker_state::probation:
        // The list still shows the drain that this system ordered itself.
        if (seen.listed_leaving && now >= status.since + settings_.list_lag)
            return make_change(change_kind::mark_leaving);
        if (of.good_reports < settings_.good_reports)
            return std::nullopt;
        return make_change(change_kind::confirm_healthy);
    case worker_state::down:
        break;
    }
    return make_change(change_kind::mark_returned);
}

std::optional<fleet_change>
fleet_observer::judge_draining(const worker_status& status,
                               const worker_sighting& seen, memory& of,
                               base::wall_time now) const
{
    // The platform lists a worker that this system drains as leaving, too.
    const bool has_next = !status.wave.empty() || !status.target.empty();
    const bool ordered = has_next || status.hold == hold_kind::drain;
    if (seen.listed_leaving && !ordered)
    {
        of.live_since.reset();
        if (status.leaving)
            return std::nullopt;
        return make_change(change_kind::mark_leaving);
    }
    if (status.leaving && !ordered)
    {
        of.live_since = of.live_since.value_or(now);
        if (now < *of.live_since + settings_.list_lag)
            return std::nullopt;
        return make_change(change_kind::cancel_drain);
    }
    // An empty worker that still takes work is not drained yet.
    const bool drained = seen.refuses_work && seen.slots_used == 0;
    if (!drained || !has_next || status.hold == hold_kind::drain)
        return std::nullopt;
    fleet_change change = make_change(change_kind::confirm_drained);
    change.slots_used = seen.slots_used;
    change.incarnation = seen.incarnation;
    return change;
}

} // namespace pimentograde::capacity
