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
    /// Limit of each call to the store or a worker.
    base::duration call_timeout = std::chrono::milliseconds{500};
    /// Longest use of one read of the fleet state while nothing changes. Each
    /// read transfers the whole document: 40 KB at 400 workers.
    base::duration read_interval = std::chrono::seconds{4};
    /// Calls to workers at the same time.
    std::size_t concurrency = 64;
    /// Nothing is decided from a worker's answer, and no worker is told
    /// anything from a state, that is older.
    base::duration longest_action_age = std::chrono::seconds{2};
    capacity::wave_settings waves;
    capacity::move_settings moves;
    capacity::observer_settings observer;
};

/// Result of an operator's command.
struct command_result
{
    /// Version of the fleet state that contains the command's effect.
    std::uint64_t version = 0;
    /// Whether the effect was already there.
    bool unchanged = false;
};

/// The planner of one entry instance. Each instance runs one; the holder of
/// the store lease `planner` does the work. The lease only saves work: each
/// decision takes effect by a compare-and-swap of the state that it was made
/// from, and each call to a worker may be repeated by any planner. While
/// nothing changes, a step decides from the last state that was read; if that
/// is out of date, the compare-and-swap refuses, and the next step reads again.
class fleet_service
{
public:
    struct hooks
    {
        provider::kv_operations store;
        provider::worker_operations workers;
        provider::instance_list_operations instances;
        /// Bundle in force; null while there is none.
        std::function<std::shared_ptr<const config::bundle>()> bundle;
        /// Slots wanted per pool, including waiting work. Optional: without
        /// it the used slots that workers report are taken.
        std::function<std::vector<capacity::pool_load>()> loads;
        /// Called with each new fleet state that this service has read or
        /// written, in order of versions.
        std::function<void(const capacity::fleet_state&)> on_state;
        /// Clocks; the system's by default.
        std::function<base::time_point()> steady_now = base::steady_now;
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
    /// Ends the loop after the step in progress and gives up the lease.
    void stop();
    /// One round of the loop. Throws nothing for a failed store or worker.
    void step();

    /// Tells that the fleet state has at least this version, for example by a
    /// heartbeat of another member. The next step then reads a newer one.
    void note_version(std::uint64_t version);
    /// Takes over a fleet state that came from another member, if it is newer,
    /// for `state` and `snapshot`. Does not call `on_state`.
    void note_state(const capacity::fleet_state& state);

    /// Commands of operators. They need no planner lease. Each throws
    /// `base::error`: `refused` with the reason, for example the budget that
    /// would break; `not_found`; `conflict` after repeated races; or the
    /// store's error, after which the command may be repeated.
    command_result hold_worker(const base::worker_id& worker);
    /// Drains the worker and keeps it out of service until released.
    command_result drain_worker(const base::worker_id& worker);
    /// Ends a hold; without one, gives up a move that is not finished.
    command_result release_worker(const base::worker_id& worker);
    command_result start_wave(std::string_view wave);
    command_result pause_wave(std::string_view wave, std::string_view reason);
    command_result resume_wave(std::string_view wave);
    command_result create_move(const base::worker_id& worker,
                               const base::pool_name& pool);

    /// The newest fleet state that this service knows; version 0 when none.
    [[nodiscard]] const capacity::fleet_state& state() const;
    /// For the dump: role, store, counts of worker states, waves with progress
    /// and pause reason, broken budgets.
    [[nodiscard]] boost::json::object snapshot() const;

private:
    struct impl;
    explicit fleet_service(std::unique_ptr<impl> parts);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
