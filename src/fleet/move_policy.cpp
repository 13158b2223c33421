#include "fleet/move_policy.hpp"

#include <algorithm>

namespace pimentograde::fleet
{

namespace
{

// A backlog that takes longer is worth the 1.5 s that a move takes; see the
// measurements of the users' days in docs/policy.md.
constexpr double drain_seconds = 0.5;
// Machines that a giving pool keeps idle for its next jobs.
constexpr std::size_t kept_idle = 1;

struct pool_balance
{
    const pool_demand* demand = nullptr;
    double cores = 0.0;
    std::vector<std::string> idle;

    [[nodiscard]] double needed() const
    {
        return demand->arriving + demand->backlog / drain_seconds;
    }
    [[nodiscard]] double pressure() const
    {
        constexpr double least_cores = 1.0;
        return needed() / std::max(cores, least_cores);
    }
    [[nodiscard]] bool may_give(double cores_per_machine) const
    {
        if (demand->is_standby)
            return !idle.empty();
        return idle.size() > kept_idle && cores - needed() >= cores_per_machine;
    }
};

pool_balance* most_pressed(std::vector<pool_balance>& balances)
{
    pool_balance* worst = nullptr;
    for (pool_balance& entry : balances)
        if (!entry.demand->is_standby &&
            (worst == nullptr || entry.pressure() > worst->pressure()))
            worst = &entry;
    return worst != nullptr && worst->pressure() > 1.0 ? worst : nullptr;
}

// Standby machines cost something once they run, so they come last.
pool_balance* best_giver(std::vector<pool_balance>& balances,
                         double cores_per_machine)
{
    pool_balance* best = nullptr;
    for (pool_balance& entry : balances)
    {
        if (!entry.may_give(cores_per_machine))
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

} // namespace

std::vector<machine_move> plan_moves(std::span<const pool_demand> pools,
                                     double cores_per_machine,
                                     std::size_t max_moves)
{
    std::vector<pool_balance> balances;
    for (const pool_demand& entry : pools)
        balances.push_back({&entry, entry.cores, entry.idle_machines});
    std::vector<machine_move> moves;
    while (moves.size() < max_moves)
    {
        pool_balance* receiver = most_pressed(balances);
        pool_balance* giver = receiver == nullptr
                                  ? nullptr
                                  : best_giver(balances, cores_per_machine);
        if (giver == nullptr || giver == receiver)
            return moves;
        moves.push_back(
            {giver->idle.back(), giver->demand->pool, receiver->demand->pool});
        giver->idle.pop_back();
        giver->cores -= cores_per_machine;
        receiver->cores += cores_per_machine;
    }
    return moves;
}

} // namespace pimentograde::fleet
