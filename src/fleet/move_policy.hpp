#ifndef PIMENTOGRADE_FLEET_MOVE_POLICY_HPP
#define PIMENTOGRADE_FLEET_MOVE_POLICY_HPP

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

/// Demand of a pool and the machines that it could give away.
struct pool_demand
{
    std::string pool;
    /// The machines of this pool are powered off until another pool borrows
    /// them.
    bool is_standby = false;
    /// Work that waits for free cores, in core-seconds.
    double backlog = 0.0;
    /// Number of cores that keep up with the submitted work.
    double arriving = 0.0;
    /// Cores that accept work, including machines that are moving to the pool.
    double cores = 0.0;
    /// Cores in use by tasks that end soon.
    double active = 0.0;
    /// Machines that run nothing and may leave the pool.
    std::vector<std::string> idle_machines;
    /// Machines that become free when their tasks end, sorted by descending
    /// number of tasks.
    std::vector<std::string> draining_machines;
    /// Machines that a maintenance wave is freeing of long-running tasks.
    std::size_t machines_to_free = 0;
    /// Machines without tasks that are moving to the pool or came lately.
    std::size_t new_machines = 0;
};

struct machine_move
{
    std::string machine;
    std::string from;
    std::string to;
    /// The machine gets no new tasks and moves after its last one has ended.
    bool needs_drain = false;
};

/// Limits of one round of moves.
struct move_limits
{
    double cores_per_machine = 0.0;
    std::size_t max_moves = 0;
    /// Cores that stay in the pools (see `kept_capacity`); machines beyond that
    /// may go to standby.
    double kept_cores = 0.0;
};

/// Chooses machines to move to pools that need more cores than they have, for
/// arriving work and for their backlog. Designed for load where one queue after
/// another needs several times the capacity of its pool while the other pools
/// are idle or finish their last burst. A few machines that no pool is likely
/// to need soon go to standby.
std::vector<machine_move> plan_moves(std::span<const pool_demand> pools,
                                     const move_limits& limits);

} // namespace pimentograde::fleet

#endif
