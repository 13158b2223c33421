#ifndef PIMENTOGRADE_DISPATCH_FLEET_SERVICE_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_SERVICE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "capacity/fleet_observer.hpp"
#include "capacity/fleet_state.hpp"
#include "capacity/move_planner.hpp"
#include "capacity/wave_planner.hpp"
#include "config/bundle.hpp"
#include "provider/kv_operations.hpp"
#include "provider/worker_operations.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::dispatch
{

struct fleet_settings
{
    base::duration interval = std::chrono::milliseconds{500};
    base::duration lease_ttl = std::chrono::seconds{5};
    /// Timeout of each call to the store or a worker.
    base::duration call_timeout = std::chrono::milliseconds{500};
    /// Maximum age of the cached fleet state while nothing changes. Each read
    /// transfers the whole document: 40 KB with 400 workers.
    base::duration read_interval = std::chrono::seconds{4};
    /// Maximum number of concurrent calls to workers.
    std::size_t concurrency = 64;
    /// Worker reports older than this are not used for decisions, and a fleet
    /// state older than this is not used to send commands to workers.
    base::duration longest_action_age = std::chrono::seconds{2};
    capacity::wave_settings waves;
    capacity::move_settings moves;
    capacity::observer_settings observer;
};

/// Result of an operator's command.
struct command_result
{
    /// Version of the fleet state that includes the command's effect.
    std::uint64_t version = 0;
    /// Whether the fleet state already had the requested effect.
    bool unchanged = false;
};

/// The planner of one entry instance. Each instance runs one, but only the
/// holder of the store lease `planner` plans. The lease only avoids duplicate
/// work and is not needed for correctness: each decision is written with a
/// compare-and-swap against the state it was based on, and any planner may
/// repeat a call to a worker. While nothing changes, a step uses the cached
/// state; if that is stale, the compare-and-swap fails and the next step reads
/// the state again.
class fleet_service
{
public:
    struct hooks
    {
        provider::kv_operations store;
        provider::worker_operations workers;
        provider::instance_list_operations instances;
        /// Returns the current bundle; null while there is none.
        std::function<std::shared_ptr<const config::bundle>()> bundle;
        /// Slots needed per pool, including those for waiting work. Optional;
        /// defaults to the used slots that workers report.
        std::function<std::vector<capacity::pool_load>()> loads;
        /// Called with each new fleet state that this service reads or writes,
        /// in version order.
        std::function<void(const capacity::fleet_state&)> on_state;
        /// Default to the system clocks. Deadlines of calls are on the steady
        /// one, the age of the lease and of what was read on the one that also
        /// runs while the machine is suspended.
        std::function<base::time_point()> steady_now = base::steady_now;
        std::function<base::time_point()> suspend_aware_now =
            base::suspend_aware_now;
        std::function<base::wall_time()> wall_now = base::wall_now;
    };

    class builder
    {
    public:
        builder& self(base::member_id id);
        builder& settings(fleet_settings values);
        builder& use(hooks calls);
        /// Throws `base::error` when a required hook is missing.
        std::unique_ptr<fleet_service> build();

    private:
        base::member_id self_;
        fleet_settings settings_;
        hooks hooks_;
    };

    ~fleet_service();
    fleet_service(const fleet_service&) = delete;
    fleet_service& operator=(const fleet_service&) = delete;

    /// Starts the loop in a fiber.
    void start();
    /// Ends the loop after the current step and releases the lease.
    void stop();
    /// Runs one iteration of the loop. Does not throw when the store or a
    /// worker fails.
    void step();

    /// Records that the fleet state has at least this version, as learned for
    /// example from another member's heartbeat. If the cached state is older,
    /// the next step reads it again.
    void note_version(std::uint64_t version);
    /// Adopts a fleet state received from another member, if it is newer, for
    /// `state` and `snapshot`. Does not call `on_state`.
    void note_state(const capacity::fleet_state& state);

    /// Operator commands. They do not need the planner lease. Each throws
    /// `base::error`: `refused` with the reason, for example the budget that
    /// would be violated; `not_found`; `conflict` after repeated write
    /// conflicts; or the store's error, after which the command may be retried.
    command_result hold_worker(const base::worker_id& worker);
    /// Drains the worker and keeps it out of service until it is released.
    command_result drain_worker(const base::worker_id& worker);
    /// Clears the worker's hold. If it has none, cancels an unfinished move.
    command_result release_worker(const base::worker_id& worker);
    command_result start_wave(std::string_view wave);
    command_result pause_wave(std::string_view wave, std::string_view reason);
    command_result resume_wave(std::string_view wave);
    command_result create_move(const base::worker_id& worker,
                               const base::pool_name& pool);

    /// The newest fleet state known to this service; version 0 if none.
    [[nodiscard]] const capacity::fleet_state& state() const;
    /// State for the dump: role, store status, worker counts by state, waves
    /// with progress and pause reason, violated budgets.
    [[nodiscard]] boost::json::object snapshot() const;

private:
    struct impl;
    explicit fleet_service(std::unique_ptr<impl> parts);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
