#ifndef PIMENTOGRADE_NODE_FLEET_MANAGER_HPP
#define PIMENTOGRADE_NODE_FLEET_MANAGER_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"
#include "fleet/move_policy.hpp"
#include "fleet/ordered_workers.hpp"
#include "fleet/recent_orders.hpp"
#include "fleet/wave_progress.hpp"
#include "net/http_client.hpp"
#include "net/task_group.hpp"
#include "node/fleet_records.hpp"
#include "node/machine_inventory.hpp"
#include "node/machine_moves.hpp"
#include "node/pool_gateway.hpp"
#include "node/session.hpp"
#include "platform/configuration.hpp"
#include "platform/machine_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace pimentograde::node
{

/// Sends orders to machines for maintenance waves and for moves between pools.
/// Only the instance that holds the role `fleet` does so.
class fleet_manager
{
public:
    struct timing
    {
        base::duration move_time{};
        base::duration maintenance_time{};
        /// Time between orders of two holders of the role for one machine.
        base::duration holder_pause{};
        /// Rate limit of the platform.
        double orders_per_second = 0.0;
    };

    fleet_manager(session& members, pool_gateway& gateway,
                  platform::store_client& store, net::http_client& http,
                  net::endpoint machine_service, timing times);
    ~fleet_manager();
    fleet_manager(const fleet_manager&) = delete;
    fleet_manager& operator=(const fleet_manager&) = delete;

    void start();
    void stop();
    void set_configuration(const platform::configuration& current);
    void set_wave(const fleet::maintenance_wave& wave, base::time_point now);

private:
    static constexpr std::chrono::milliseconds call_timeout{1200};
    static constexpr std::chrono::milliseconds load_timeout{400};

    void run();
    void run_round(base::time_point now);
    [[nodiscard]] bool hold_role(base::time_point now);
    void reset_role_state();
    void read_earlier_orders(base::time_point now);
    [[nodiscard]] bool may_order() const;
    /// Records that the orders are about to be sent; returns whether they may
    /// be.
    bool record_orders(std::span<const fleet::recorded_order> orders,
                       std::span<const unavailable_machines> waves);
    bool record_moves(std::span<const fleet::machine_move> moves);
    [[nodiscard]] bool may_send() const;
    void refresh_machines(base::time_point now);
    /// Tells the owners which workers have ended with an order, by the latest
    /// listing.
    void end_workers();
    void refresh_loads();
    [[nodiscard]] std::map<std::string, std::vector<std::string>>
    workers_leaving_soon() const;
    [[nodiscard]] std::map<std::string, std::size_t> machines_to_free() const;
    void advance_wave(fleet::wave_progress& wave, base::time_point now);
    /// Calls `work` for all machines, several of them concurrently.
    static void
    for_each_concurrently(std::span<const std::string> machines,
                          const std::function<void(const std::string&)>& work);
    /// Asks the pools to free the machines; returns those that are free.
    std::vector<std::string>
    release_machines(std::span<const std::string> machines);
    void order_maintenance(fleet::wave_progress& wave,
                           const std::string& machine);
    void try_record_wave(fleet::wave_progress& wave, base::time_point now);
    void record_wave(fleet::wave_progress& wave);
    /// The wave's progress, with what earlier holders have recorded when this
    /// holder meets the wave first. Throws `base::error`.
    fleet::wave_progress& progress_of(const fleet::maintenance_wave& wave,
                                      base::time_point now);
    bool release(const fleet::machine& entry);
    /// Sends the order and remembers the worker of the machine, which is listed
    /// as `entry`. Throws `base::error`.
    platform::machine_answer
    send_order(const fleet::machine& entry,
               const std::function<platform::machine_answer()>& send);
    void order_move(const fleet::machine_move& move);
    [[nodiscard]] bool is_reserved(const std::string& machine) const;
    [[nodiscard]] bool is_in_wave(const std::string& machine) const;
    [[nodiscard]] platform::machine_authority authority() const;

    session& session_;
    pool_gateway& gateway_;
    platform::machine_client machines_client_;
    timing times_;
    machine_inventory inventory_;
    machine_moves moves_;
    fleet_records records_;
    fleet::recent_orders recent_;
    fleet::ordered_workers ordered_workers_;
    base::time_point records_read_at_{};
    /// When the recording of the latest orders began, on the clock that also
    /// runs while the machine is suspended.
    base::time_point recorded_at_{};
    std::vector<std::string> roles_;
    std::map<std::int64_t, fleet::maintenance_wave> known_waves_;
    std::map<std::int64_t, base::time_point> wave_first_seen_;
    std::map<std::int64_t, fleet::wave_progress> waves_;
    std::map<std::int64_t, std::size_t> recorded_done_counts_;
    std::set<std::int64_t> completed_waves_;
    std::optional<std::int64_t> fence_;
    base::time_point role_free_since_{};
    /// Of the latest listing, which may have failed.
    base::time_point listing_requested_at_{};
    /// Earliest next write of wave progress after the store failed.
    base::time_point next_record_at_{};
    bool service_answers_ = true;
    net::stop_signal stop_;
    net::task_group fibers_;
};

} // namespace pimentograde::node

#endif
