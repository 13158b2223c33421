#ifndef PIMENTOGRADE_CAPACITY_FLEET_STATE_HPP
#define PIMENTOGRADE_CAPACITY_FLEET_STATE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "config/bundle.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace pimentograde::capacity
{

enum class worker_state
{
    serving,
    /// Takes no new work; running tasks finish.
    draining,
    /// Drained, about to change its pool.
    moving,
    rebooting,
    /// Back, but not yet proven healthy; takes no work from queues.
    probation,
    /// Does not report.
    down
};

std::string_view to_string(worker_state state);

/// What an operator asked for.
enum class hold_kind
{
    none,
    /// Waves and moves leave the worker alone.
    hold,
    /// Drained and kept out of service until released.
    drain
};

std::string_view to_string(hold_kind kind);

struct worker_status
{
    base::pool_name pool;
    worker_state state = worker_state::serving;
    base::wall_time since{};
    /// When the worker left service; the epoch while it serves.
    base::wall_time out_since{};
    /// End of the last maintenance; the epoch when there was none.
    base::wall_time maintained{};
    /// Last change of pool; the epoch when there was none.
    base::wall_time moved{};
    /// Wave for which the worker is out of service; else empty.
    std::string wave;
    /// Pool to which the worker moves once it is drained; else empty.
    base::pool_name target;
    hold_kind hold = hold_kind::none;
    /// The platform takes the worker away.
    bool leaving = false;
    /// Incarnation before the reboot that the wave ordered. A different one
    /// proves that the reboot took place, to any planner.
    std::uint64_t incarnation = 0;

    bool operator==(const worker_status&) const = default;
};

enum class wave_pause
{
    none,
    /// Ends by itself when the budgets hold again.
    failure,
    /// Ends by an operator's command.
    ordered
};

std::string_view to_string(wave_pause pause);

struct wave_status
{
    /// Start of the current pass. A worker counts as done in this pass when it
    /// was maintained at or after this time.
    base::wall_time started{};
    /// Started by an operator: every worker is due at once. Otherwise the due
    /// times are spread over the wave's period.
    bool immediate = false;
    wave_pause pause = wave_pause::none;
    std::string pause_reason;
    /// Running mean of the time that one worker is out of service; 0 unknown.
    base::duration worker_time{};

    bool operator==(const wave_status&) const = default;
};

/// The document under the store key `fleet/state`. It lists each worker once,
/// so a worker is in one pool at any time.
struct fleet_state
{
    /// Grows by one with each write.
    std::uint64_t version = 0;
    base::wall_time written{};
    /// Member that wrote this version.
    std::string writer;
    std::map<base::worker_id, worker_status> workers;
    std::map<std::string, wave_status> waves;

    bool operator==(const fleet_state&) const = default;
};

/// The first state: each worker serves in the pool that the bundle names.
fleet_state initial_state(const config::bundle& bundle, base::wall_time now);

/// Adapts `state` to a new bundle; returns whether anything changed. New
/// workers start in probation; workers that the bundle no longer lists are
/// dropped. A worker whose pool is gone is drained and moves to the pool that
/// the bundle names for it; a move to a pool that is gone is cancelled.
bool reconcile(fleet_state& state, const config::bundle& bundle,
               base::wall_time now);

} // namespace pimentograde::capacity

#endif
