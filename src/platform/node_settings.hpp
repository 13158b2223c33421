#ifndef PIMENTOGRADE_PLATFORM_NODE_SETTINGS_HPP
#define PIMENTOGRADE_PLATFORM_NODE_SETTINGS_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::platform
{

/// What the platform's settings file tells an entry instance.
struct node_settings
{
    std::string name;
    std::string zone;
    std::string address;
    /// Ports that are free for the system's own use.
    std::uint16_t first_internal_port = 0;
    std::uint16_t last_internal_port = 0;
    net::endpoint caller_listen;
    net::endpoint readiness_listen;
    net::endpoint store;
    net::endpoint machine_service;
    std::optional<net::endpoint> advice_service;
    base::duration least_lease{};
    /// Longest lease that a worker grants.
    base::duration longest_worker_lease{};
    /// How long a worker may take to stop a run.
    base::duration stop_time{};
    base::duration grace{};
    base::duration move_time{};
    base::duration maintenance_time{};
    /// Pause between two holders that give orders to machines.
    base::duration machine_holder_pause{};
    /// How long an ended job can be asked for.
    base::duration status_retention{};
    /// A task away for this long counts as unavailable.
    base::duration unavailability_notice{};
    /// How many times as long a gang runs on more than one rack.
    double remote_factor = 1.5;
    /// By how much of its cap a tenant may exceed it.
    double quota_excess = 0.1;
    /// The deployment states that its callers press for more than there is
    /// room for.
    bool expects_pressure = false;
    bool fencing_enforced = false;
    /// The whole system starts for the first time: no instance has run before.
    bool is_first_start = false;
    /// Orders to machines that the platform accepts a second, from all
    /// instances together.
    double machine_orders_per_second = 64.0;
    std::size_t memory_mb = 0;
    /// Processor time that the instance gets, in cores.
    double cores = 1.0;
};

/// Reads the settings from JSON. Unknown members are ignored. Throws
/// `base::error` with `invalid` that names the member at fault.
node_settings read_node_settings(std::string_view text);

} // namespace pimentograde::platform

#endif
