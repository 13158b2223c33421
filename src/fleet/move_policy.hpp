#ifndef PIMENTOGRADE_FLEET_MOVE_POLICY_HPP
#define PIMENTOGRADE_FLEET_MOVE_POLICY_HPP

#include <span>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

/// What a pool needs and what it could give.
struct pool_demand
{
    std::string pool;
    /// Its machines are off and only lent out.
    bool is_standby = false;
    /// Work that waits or runs, core-seconds.
    double backlog = 0.0;
    /// Cores that accept work, with those of machines on their way here.
    double cores = 0.0;
    /// Machines on which nothing runs and that may leave.
    std::vector<std::string> idle_machines;
};

struct machine_move
{
    std::string machine;
    std::string from;
    std::string to;
};

/// Chooses idle machines to move to pools whose backlog takes long. Answers
/// queues that ask in turn for several times what their pool holds, while the
/// other pools idle.
std::vector<machine_move> plan_moves(std::span<const pool_demand> pools,
                                     double cores_per_machine);

} // namespace pimentograde::fleet

#endif
