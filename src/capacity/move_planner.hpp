#ifndef PIMENTOGRADE_CAPACITY_MOVE_PLANNER_HPP
#define PIMENTOGRADE_CAPACITY_MOVE_PLANNER_HPP

#include "capacity/budget_checker.hpp"
#include "capacity/fleet_change.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace pimentograde::capacity
{

/// Slots that the work of a pool's queues uses or waits for at one moment.
struct pool_load
{
    base::pool_name pool;
    double wanted_slots = 0;
};

struct move_settings
{
    /// Time constant of the smoothed load. Bursts last seconds and recur, so
    /// over this time a burst counts only with its share of the time.
    base::duration smoothing = std::chrono::minutes{10};
    /// A shortage must last this long before a worker moves.
    base::duration lasting = std::chrono::minutes{10};
    /// Least time between two moves in the fleet.
    base::duration between_moves = std::chrono::minutes{5};
    /// A worker that moved stays in its pool for this time.
    base::duration stay = std::chrono::hours{1};
    /// Smoothed load above this share of the pool's slots is a shortage.
    double shortage_above = 0.9;
    /// A shortage ends only below this share (hysteresis).
    double shortage_below = 0.75;
    /// A pool gives a worker only when its load stays below this share of the
    /// slots that remain.
    double give_below = 0.6;
};

/// Decides on moves between pools. It remembers the smoothed load; a new
/// planner starts without memory and therefore moves nothing before it has
/// seen a shortage for the whole of `lasting`. The times of earlier moves come
/// from the fleet state and survive a change of planner.
class move_planner
{
public:
    explicit move_planner(move_settings settings = {});

    /// Takes one sample of the loads. Call about once a second.
    void observe(std::span<const pool_load> loads, const config::bundle& bundle,
                 const fleet_state& state, base::wall_time now);

    /// The next move as a `start_drain` change, or empty.
    [[nodiscard]] std::optional<fleet_change> plan(const config::bundle& bundle,
                                                   const fleet_state& state,
                                                   base::wall_time now) const;

    /// Smoothed load of a pool in slots; 0 when not observed.
    [[nodiscard]] double smoothed_load(const base::pool_name& pool) const;

private:
    struct memory
    {
        double weighted = 0;
        double weight = 0;
        std::optional<base::wall_time> short_since;

        [[nodiscard]] double load() const
        {
            return weight > 0 ? weighted / weight : 0;
        }
    };

    [[nodiscard]] const base::pool_name*
    neediest_pool(const std::map<base::pool_name, double>& slots,
                  base::wall_time now) const;

    move_settings settings_;
    std::map<base::pool_name, memory> pools_;
    std::optional<base::wall_time> first_sample_;
    base::wall_time last_sample_{};
};

} // namespace pimentograde::capacity

#endif
