#include "fleet/move_policy.hpp"

#include <algorithm>

namespace pimentograde::fleet
{

namespace
{

// A backlog that would take longer than this justifies a machine move, which
// takes 1.5 s.
constexpr double target_backlog_seconds = 0.5;
// A pool that gives machines away keeps this many idle for its next jobs.
constexpr std::size_t min_idle_machines = 1;
// Long-running tasks that have to move need other workers than those of their
// step, which may all be in use. Limits the machines without tasks that a pool
// gets for them.
constexpr std::size_t max_replacements = 2;
// Limit per round, since a burst takes machines back from standby at once.
constexpr std::size_t max_standby_moves = 4;

// A pool gets idle machines of other pools from this part of its cores on, so
// that they arrive before the start of a burst has used up its own.
constexpr double min_load_for_idle = 0.4;
// ... if its load is at least this many times that of the giver.
constexpr double min_load_factor = 3.0;

struct pool_balance
{
    const pool_demand* demand = nullptr;
    double cores = 0.0;
    std::vector<std::string> idle;
    std::vector<std::string> draining;
    std::size_t added = 0;

    [[nodiscard]] double needed() const
    {
        return demand->arriving + demand->backlog / target_backlog_seconds;
    }
    [[nodiscard]] double load_ratio() const
    {
        constexpr double min_cores = 1.0;
        return needed() / std::max(cores, min_cores);
    }
    [[nodiscard]] bool can_give(double cores_per_machine) const
    {
        if (demand->is_standby)
            return !idle.empty();
        return idle.size() > std::max(min_idle_machines, replacements()) &&
               cores - needed() >= cores_per_machine;
    }
    [[nodiscard]] std::size_t replacements() const
    {
        return std::min(demand->machines_to_free, max_replacements);
    }
    [[nodiscard]] bool lacks_replacements() const
    {
        return !demand->is_standby && load_ratio() <= min_load_for_idle &&
               idle.size() + demand->new_machines + added < replacements();
    }
};

// A pool that gives machines away keeps its active cores times this factor, for
// the later steps of its jobs.
constexpr double active_cores_factor = 1.2;

// The pool with the most spare cores among those whose machines still run
// tasks that end soon.
pool_balance* best_pool_to_drain(std::vector<pool_balance>& balances,
                                 double cores_per_machine)
{
    pool_balance* best = nullptr;
    double most_spare = cores_per_machine;
    for (pool_balance& entry : balances)
    {
        if (entry.demand->is_standby || entry.draining.empty())
            continue;
        const double spare =
            entry.cores - active_cores_factor *
                              std::max(entry.needed(), entry.demand->active);
        if (spare < most_spare)
            continue;
        best = &entry;
        most_spare = spare;
    }
    return best;
}

pool_balance* most_loaded(std::vector<pool_balance>& balances)
{
    pool_balance* worst = nullptr;
    for (pool_balance& entry : balances)
        if (!entry.demand->is_standby &&
            (worst == nullptr || entry.load_ratio() > worst->load_ratio()))
            worst = &entry;
    return worst != nullptr && worst->load_ratio() > min_load_for_idle
               ? worst
               : nullptr;
}

// Prefers pools with idle machines: standby machines cost money once they run.
pool_balance* best_giver(std::vector<pool_balance>& balances,
                         double cores_per_machine)
{
    pool_balance* best = nullptr;
    for (pool_balance& entry : balances)
    {
        if (!entry.can_give(cores_per_machine))
            continue;
        const bool is_better =
            best == nullptr ||
            (best->demand->is_standby && !entry.demand->is_standby) ||
            (best->demand->is_standby == entry.demand->is_standby &&
             entry.idle.size() > best->idle.size());
        if (is_better)
            best = &entry;
    }
    return best;
}

void add_move(pool_balance& giver, pool_balance& receiver, bool needs_drain,
              double cores_per_machine, std::vector<machine_move>& moves)
{
    auto& machines = needs_drain ? giver.draining : giver.idle;
    moves.push_back({machines.back(), giver.demand->pool, receiver.demand->pool,
                     needs_drain});
    machines.pop_back();
    giver.cores -= cores_per_machine;
    receiver.cores += cores_per_machine;
    ++receiver.added;
}

void plan_demand_moves(std::vector<pool_balance>& balances,
                       const move_limits& limits,
                       std::vector<machine_move>& moves)
{
    while (moves.size() < limits.max_moves)
    {
        pool_balance* receiver = most_loaded(balances);
        if (receiver == nullptr)
            return;
        pool_balance* giver = best_giver(balances, limits.cores_per_machine);
        const bool needs_drain = giver == nullptr;
        const bool is_short = receiver->load_ratio() > 1.0;
        if (!is_short &&
            (needs_drain || giver->demand->is_standby ||
             giver->load_ratio() * min_load_factor > receiver->load_ratio()))
            return;
        if (needs_drain)
            giver = best_pool_to_drain(balances, limits.cores_per_machine);
        if (giver == nullptr || giver == receiver)
            return;
        add_move(*giver, *receiver, needs_drain, limits.cores_per_machine,
                 moves);
    }
}

void plan_replacements(std::vector<pool_balance>& balances,
                       const move_limits& limits,
                       std::vector<machine_move>& moves)
{
    for (pool_balance& receiver : balances)
        while (moves.size() < limits.max_moves && receiver.lacks_replacements())
        {
            pool_balance* giver =
                best_giver(balances, limits.cores_per_machine);
            if (giver == nullptr)
                return;
            add_move(*giver, receiver, false, limits.cores_per_machine, moves);
        }
}

// The pool with the most idle machines among those that can give one away.
pool_balance* most_idle(std::vector<pool_balance>& balances,
                        double cores_per_machine)
{
    pool_balance* best = nullptr;
    for (pool_balance& entry : balances)
        if (!entry.demand->is_standby && entry.can_give(cores_per_machine) &&
            (best == nullptr || entry.idle.size() > best->idle.size()))
            best = &entry;
    return best;
}

void plan_standby_moves(std::vector<pool_balance>& balances,
                        const move_limits& limits,
                        std::vector<machine_move>& moves)
{
    const auto standby = std::find_if(balances.begin(), balances.end(),
                                      [](const pool_balance& entry)
                                      { return entry.demand->is_standby; });
    if (standby == balances.end() || !moves.empty())
        return;
    double cores = 0.0;
    for (const pool_balance& entry : balances)
        if (!entry.demand->is_standby)
            cores += entry.cores;
    const std::size_t max_moves_to_standby =
        std::min(limits.max_moves, max_standby_moves);
    while (moves.size() < max_moves_to_standby &&
           cores - limits.cores_per_machine >= limits.kept_cores)
    {
        pool_balance* giver = most_idle(balances, limits.cores_per_machine);
        if (giver == nullptr)
            return;
        add_move(*giver, *standby, false, limits.cores_per_machine, moves);
        cores -= limits.cores_per_machine;
    }
}

} // namespace

std::vector<machine_move> plan_moves(std::span<const pool_demand> pools,
                                     const move_limits& limits)
{
    std::vector<pool_balance> balances;
    for (const pool_demand& entry : pools)
        balances.push_back({&entry, entry.cores, entry.idle_machines,
                            entry.draining_machines});
    std::vector<machine_move> moves;
    plan_replacements(balances, limits, moves);
    plan_demand_moves(balances, limits, moves);
    plan_standby_moves(balances, limits, moves);
    return moves;
}

} // namespace pimentograde::fleet
