#include "node/machine_moves.hpp"

#include "log/event.hpp"
#include "net/task_group.hpp"
#include "node/events.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

namespace
{

// A machine is not moved again until its new pool had time to use it.
constexpr std::chrono::seconds move_cooldown{3};
// The move of a machine that is not free after this time is dropped; its
// worker gets no new tasks for 2.5 s, see node/fleet_manager.
constexpr std::chrono::milliseconds drain_limit{2400};
// Moves leave the rest of the rate limit to maintenance and listings.
constexpr double move_rate_share = 0.7;
// A round orders at most the moves that the rate limit allows in
// `round_seconds`, but at least this many. Bounds the concurrent calls.
constexpr double min_moves_per_round = 16.0;
constexpr double round_seconds = 0.3;
// Limits the log lines about pool demand.
constexpr std::chrono::milliseconds demand_log_interval{500};
constexpr double millis_per_core = 1000.0;

double to_cores(std::int64_t millis)
{
    return static_cast<double>(millis) / millis_per_core;
}

} // namespace

machine_moves::machine_moves(const machine_inventory& inventory,
                             double orders_per_second, hooks functions)
    : inventory_(inventory), orders_per_second_(orders_per_second),
      hooks_(std::move(functions))
{
}

void machine_moves::clear()
{
    moves_.clear();
    draining_.clear();
}

void machine_moves::run_round(base::time_point now)
{
    if (!hooks_.may_order() || inventory_.machines().empty())
        return;
    const double rate = orders_per_second_ * move_rate_share;
    const double allowed =
        std::min(rate_budget_ + base::count_seconds(now - planned_at_) * rate,
                 std::max(min_moves_per_round, rate * round_seconds));
    planned_at_ = now;
    const double cores_per_machine =
        to_cores(inventory_.machines().begin()->second.capacity.cpu_millis);
    drop_obsolete_drains(now);
    // Before the drained machines leave the list: they would count as idle and
    // be planned again.
    const auto needs = demands(now);
    auto moves = take_drained();
    const fleet::move_limits limits{cores_per_machine,
                                    static_cast<std::size_t>(allowed),
                                    update_kept_cores(needs, now)};
    for (auto& move : fleet::plan_moves(needs, limits))
    {
        if (move.needs_drain)
            draining_[move.machine] = {move, now};
        moves.push_back(std::move(move));
    }
    log_demands(needs, now);
    rate_budget_ = allowed - static_cast<double>(moves.size());
    execute_moves(moves);
}

// Frees all machines first, so that the orders follow their record at once.
void machine_moves::execute_moves(std::span<const fleet::machine_move> moves)
{
    std::vector<fleet::machine_move> free;
    net::task_group releases;
    for (const fleet::machine_move& move : moves)
        releases.spawn(
            [&]
            {
                if (release(move))
                    free.push_back(move);
            });
    releases.join();
    if (free.empty() || !hooks_.record(free))
        return;
    net::task_group orders;
    for (const fleet::machine_move& move : free)
        orders.spawn([&] { order(move); });
    orders.join();
}

// Returns whether the machine may be ordered now.
bool machine_moves::release(const fleet::machine_move& move)
{
    const fleet::machine* machine = inventory_.find(move.machine);
    if (machine == nullptr || !hooks_.may_order())
        return false;
    const bool is_free = machine->worker.empty() || hooks_.release(*machine);
    return is_free && !move.needs_drain;
}

void machine_moves::order(const fleet::machine_move& move)
{
    if (!hooks_.may_order())
        return;
    try
    {
        moves_[move.machine] = {move.to, base::steady_now()};
        hooks_.order(move);
    }
    catch (const std::exception& failure)
    {
        log::write(event_machine_service_failed,
                   {{"machine", move.machine}, {"reason", failure.what()}});
    }
}

void machine_moves::drop_obsolete_drains(base::time_point now)
{
    std::erase_if(draining_,
                  [&](const auto& entry)
                  {
                      const auto& [name, pending] = entry;
                      const fleet::machine* machine = inventory_.find(name);
                      return machine == nullptr ||
                             machine->pool != pending.move.from ||
                             now - pending.since > drain_limit ||
                             hooks_.is_reserved(name);
                  });
}

std::vector<fleet::machine_move> machine_moves::take_drained()
{
    std::vector<fleet::machine_move> free;
    std::erase_if(draining_,
                  [&](const auto& entry)
                  {
                      const auto& [name, pending] = entry;
                      const peer::worker_load* worker =
                          inventory_.worker_of(*inventory_.find(name));
                      if (worker == nullptr || worker->runs != 0)
                          return false;
                      free.push_back(pending.move);
                      free.back().needs_drain = false;
                      return true;
                  });
    return free;
}

double
machine_moves::update_kept_cores(std::span<const fleet::pool_demand> needs,
                                 base::time_point now)
{
    double total = 0.0;
    for (const auto& [id, entry] : inventory_.machines())
        total += to_cores(entry.capacity.cpu_millis);
    double need = 0.0;
    for (const fleet::pool_demand& entry : needs)
        need += std::max(entry.arriving, entry.active);
    kept_.note(need, total, now);
    return kept_.cores();
}

fleet::pool_demand
machine_moves::demand_of(const platform::pool_settings& pool) const
{
    fleet::pool_demand demand;
    demand.pool = pool.name;
    demand.is_standby = pool.is_standby;
    if (const auto found = machines_to_free_.find(pool.name);
        found != machines_to_free_.end())
        demand.machines_to_free = found->second;
    if (const peer::pool_load* load = inventory_.load_of(pool.name))
    {
        demand.backlog = to_cores(load->backlog_core_ms);
        demand.cores = to_cores(load->usable_millis);
        demand.active = to_cores(load->active_millis);
        demand.arriving = to_cores(load->arriving_millis);
    }
    return demand;
}

bool machine_moves::is_moving(const fleet::machine& entry,
                              base::time_point now) const
{
    const auto moved = moves_.find(entry.id);
    if (moved == moves_.end() || now - moved->second.at >= move_cooldown)
        return false;
    const bool is_in_use = entry.status == fleet::machine_status::up &&
                           inventory_.worker_of(entry) != nullptr;
    return entry.pool != moved->second.to || !is_in_use;
}

std::vector<fleet::pool_demand>
machine_moves::demands(base::time_point now) const
{
    std::vector<fleet::pool_demand> result;
    std::map<std::string_view, std::size_t> positions;
    for (const auto& pool : inventory_.pools)
    {
        positions[pool.name] = result.size();
        result.push_back(demand_of(pool));
    }
    const auto find = [&](const std::string& pool)
    {
        const auto found = positions.find(pool);
        return found == positions.end() ? nullptr : &result[found->second];
    };
    for (const auto& [id, entry] : inventory_.machines())
    {
        const auto draining = draining_.find(id);
        const bool is_arriving =
            draining != draining_.end() || is_moving(entry, now);
        const std::string& to = draining != draining_.end()
                                    ? draining->second.move.to
                                : is_arriving ? moves_.at(id).to
                                              : entry.pool;
        fleet::pool_demand* demand = find(to);
        if (demand == nullptr)
            continue;
        if (is_arriving)
            demand->cores += to_cores(entry.capacity.cpu_millis);
        const auto moved = moves_.find(id);
        const bool is_cooling_down =
            moved != moves_.end() && now - moved->second.at < move_cooldown;
        const peer::worker_load* worker = inventory_.worker_of(entry);
        if (is_arriving ||
            (is_cooling_down && worker != nullptr && worker->runs == 0))
            ++demand->new_machines;
        if (!is_arriving && !is_cooling_down && !hooks_.is_reserved(id))
            add_movable_machine(entry, *demand);
    }
    for (fleet::pool_demand& demand : result)
        std::sort(
            demand.draining_machines.begin(), demand.draining_machines.end(),
            [this](const std::string& left, const std::string& right)
            {
                const auto runs = [this](const std::string& machine)
                {
                    return inventory_.worker_of(*inventory_.find(machine))
                        ->runs;
                };
                return runs(left) > runs(right);
            });
    return result;
}

void machine_moves::add_movable_machine(const fleet::machine& entry,
                                        fleet::pool_demand& demand) const
{
    if (demand.is_standby)
    {
        demand.idle_machines.push_back(entry.id);
        return;
    }
    if (entry.status != fleet::machine_status::up ||
        inventory_.load_of(entry.pool) == nullptr || entry.worker.empty())
        return;
    const peer::worker_load* worker = inventory_.worker_of(entry);
    if (worker == nullptr || worker->runs == 0)
        demand.idle_machines.push_back(entry.id);
    else if (worker->long_running == 0)
        demand.draining_machines.push_back(entry.id);
}

void machine_moves::log_demands(std::span<const fleet::pool_demand> needs,
                                base::time_point now)
{
    if (now - demands_logged_at_ < demand_log_interval)
        return;
    demands_logged_at_ = now;
    for (const fleet::pool_demand& entry : needs)
        if (!entry.is_standby)
            log::write(event_fleet_demand,
                       {{"pool", entry.pool},
                        {"arriving_cores", entry.arriving},
                        {"backlog_core_s", entry.backlog},
                        {"active_cores", entry.active},
                        {"cores", entry.cores},
                        {"idle_machines", entry.idle_machines.size()}});
}

} // namespace pimentograde::node
