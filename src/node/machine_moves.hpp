#ifndef PIMENTOGRADE_NODE_MACHINE_MOVES_HPP
#define PIMENTOGRADE_NODE_MACHINE_MOVES_HPP

#include "base/time.hpp"
#include "fleet/kept_capacity.hpp"
#include "fleet/move_policy.hpp"
#include "node/machine_inventory.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace pimentograde::node
{

/// Moves machines between pools: tracks the moves in progress and the machines
/// that are drained for a move, and sends the orders that `fleet::plan_moves`
/// decides on, within the platform's rate limit.
class machine_moves
{
public:
    struct hooks
    {
        /// Whether orders may be sent now.
        std::function<bool()> may_order;
        /// Whether the machine must not be moved now: a maintenance wave is
        /// preparing or maintaining it, or an earlier holder of the role may
        /// have ordered it lately.
        std::function<bool(const std::string& machine)> is_reserved;
        /// Records the orders before they are sent; returns whether they may
        /// be.
        std::function<bool(std::span<const fleet::machine_move>)> record;
        /// Keeps new tasks off the machine's worker; returns whether it is
        /// free.
        std::function<bool(const fleet::machine&)> release;
        /// Sends the move order for a free machine.
        std::function<void(const fleet::machine_move&)> order;
    };

    machine_moves(const machine_inventory& inventory, double orders_per_second,
                  hooks functions);

    void run_round(base::time_point now);
    /// Sets how many machines a maintenance wave is freeing of long-running
    /// tasks, by pool.
    void set_machines_to_free(std::map<std::string, std::size_t> machines)
    {
        machines_to_free_ = std::move(machines);
    }
    /// Drops all moves: another holder of the role may have sent orders since.
    void clear();

private:
    struct recent_move
    {
        std::string to;
        base::time_point at;
    };
    struct draining_move
    {
        fleet::machine_move move;
        base::time_point since;
    };

    [[nodiscard]] std::vector<fleet::pool_demand>
    demands(base::time_point now) const;
    double update_kept_cores(std::span<const fleet::pool_demand> needs,
                             base::time_point now);
    [[nodiscard]] fleet::pool_demand
    demand_of(const platform::pool_settings& pool) const;
    [[nodiscard]] bool is_moving(const fleet::machine& entry,
                                 base::time_point now) const;
    void add_movable_machine(const fleet::machine& entry,
                             fleet::pool_demand& demand) const;
    void log_demands(std::span<const fleet::pool_demand> needs,
                     base::time_point now);
    /// Removes the moves whose machines are gone, reserved, or not free in
    /// time.
    void drop_obsolete_drains(base::time_point now);
    /// Removes and returns the moves whose machines have become free. All their
    /// machines are listed.
    std::vector<fleet::machine_move> take_drained();
    void execute_moves(std::span<const fleet::machine_move> moves);
    bool release(const fleet::machine_move& move);
    void order(const fleet::machine_move& move);

    const machine_inventory& inventory_;
    double orders_per_second_;
    fleet::kept_capacity kept_;
    hooks hooks_;
    std::map<std::string, recent_move> moves_;
    std::map<std::string, draining_move> draining_;
    std::map<std::string, std::size_t> machines_to_free_;
    /// Rate limit budget: number of moves that may be ordered now.
    double rate_budget_ = 0.0;
    base::time_point planned_at_{};
    base::time_point demands_logged_at_{};
};

} // namespace pimentograde::node

#endif
