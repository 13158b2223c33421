#include "capacity/fleet_state.hpp"

#include <set>

namespace pimentograde::capacity
{

std::string_view to_string(worker_state state)
{
    switch (state)
    {
    case worker_state::serving:
        return "serving";
    case worker_state::draining:
        return "draining";
    case worker_state::moving:
        return "moving";
    case worker_state::rebooting:
        return "rebooting";
    case worker_state::probation:
        return "probation";
    case worker_state::down:
        break;
    }
    return "down";
}

std::string_view to_string(hold_kind kind)
{
    switch (kind)
    {
    case hold_kind::none:
        return "none";
    case hold_kind::hold:
        return "hold";
    case hold_kind::drain:
        break;
    }
    return "drain";
}

std::string_view to_string(wave_pause pause)
{
    switch (pause)
    {
    case wave_pause::none:
        return "none";
    case wave_pause::failure:
        return "failure";
    case wave_pause::ordered:
        break;
    }
    return "operator";
}

fleet_state initial_state(const config::bundle& bundle, base::wall_time now)
{
    fleet_state state;
    state.written = now;
    for (const config::worker& each : bundle.workers)
    {
        worker_status status;
        status.pool = each.pool;
        status.since = now;
        state.workers.emplace(each.id, std::move(status));
    }
    for (const config::wave& each : bundle.waves)
        state.waves[each.name].started = now;
    return state;
}

namespace
{

using pool_set = std::set<base::pool_name>;

void set_state(worker_status& status, worker_state next, base::wall_time now)
{
    status.state = next;
    status.since = now;
}

bool repair_target(worker_status& status, const pool_set& pools,
                   base::wall_time now)
{
    if (status.target.empty() || pools.contains(status.target))
        return false;
    status.target = base::pool_name{};
    const bool out = status.state == worker_state::draining ||
                     status.state == worker_state::moving;
    if (out && status.hold != hold_kind::drain && pools.contains(status.pool))
        set_state(status, worker_state::probation, now);
    return true;
}

bool repair_pool(worker_status& status, const base::pool_name& home,
                 const pool_set& pools, base::wall_time now)
{
    if (pools.contains(status.pool) || !status.target.empty() ||
        status.hold == hold_kind::drain || status.leaving)
        return false;
    // Every path to another pool goes through a drain, also when the old pool
    // is gone: tasks may still run on the worker.
    status.wave.clear();
    status.target = home;
    const bool drains_later = status.state == worker_state::down;
    if (!drains_later && status.state != worker_state::draining)
        set_state(status, worker_state::draining, now);
    if (status.out_since == base::wall_time{})
        status.out_since = now;
    return true;
}

bool reconcile_waves(fleet_state& state, const config::bundle& bundle,
                     base::wall_time now)
{
    bool changed = false;
    std::set<std::string> names;
    for (const config::wave& each : bundle.waves)
    {
        names.insert(each.name);
        wave_status fresh;
        fresh.started = now;
        changed |= state.waves.emplace(each.name, fresh).second;
    }
    changed |= std::erase_if(state.waves, [&](const auto& item)
                             { return !names.contains(item.first); }) > 0;
    return changed;
}

} // namespace

bool reconcile(fleet_state& state, const config::bundle& bundle,
               base::wall_time now)
{
    pool_set pools;
    for (const config::pool& each : bundle.pools)
        pools.insert(each.name);
    bool changed = reconcile_waves(state, bundle, now);
    std::set<base::worker_id> listed;
    for (const config::worker& each : bundle.workers)
    {
        listed.insert(each.id);
        const auto [at, added] = state.workers.try_emplace(each.id);
        worker_status& status = at->second;
        if (added)
        {
            status.pool = each.pool;
            status.out_since = now;
            set_state(status, worker_state::probation, now);
            changed = true;
            continue;
        }
        changed |= repair_target(status, pools, now);
        changed |= repair_pool(status, each.pool, pools, now);
    }
    changed |= std::erase_if(state.workers, [&](const auto& item)
                             { return !listed.contains(item.first); }) > 0;
    return changed;
}

} // namespace pimentograde::capacity
