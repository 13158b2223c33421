#include "platform/node_settings.hpp"

#include "platform/json_call.hpp"

#include <algorithm>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::hours max_time{24 * 365};

[[noreturn]] void reject(std::string_view name, std::string_view expected)
{
    throw base::error(base::error_code::invalid, "read settings", "",
                      std::string(name) + ": expected " +
                          std::string(expected));
}

net::endpoint read_endpoint(const json::object& source, std::string_view name)
{
    const auto where = net::parse_endpoint(read_text(source, name));
    if (!where)
        reject(name, "an IP address and port");
    return *where;
}

std::string required_text(const json::object& source, std::string_view name)
{
    std::string text = read_text(source, name);
    if (text.empty())
        reject(name, "a text");
    return text;
}

base::duration read_millis(const json::object& source, std::string_view name,
                           std::int64_t fallback)
{
    const std::int64_t value = read_integer(source, name, fallback);
    if (value < 0 || value > base::count_millis(max_time))
        reject(name, "milliseconds");
    return std::chrono::milliseconds(value);
}

base::duration read_seconds(const json::object& source, std::string_view name,
                            double fallback)
{
    constexpr double nanos_per_second = 1e9;
    const double value = read_number(source, name, fallback);
    if (!(value >= 0 && value <= base::count_seconds(max_time)))
        reject(name, "seconds");
    return base::duration(static_cast<std::int64_t>(value * nanos_per_second));
}

std::uint16_t read_port(const json::array& ports, std::size_t index)
{
    boost::system::error_code failure;
    const auto port = ports.size() <= index
                          ? std::uint16_t{0}
                          : ports[index].to_number<std::uint16_t>(failure);
    if (failure || port == 0)
        reject("InternalPorts", "two port numbers");
    return port;
}

void read_bounds(const json::object& bounds, node_settings& settings)
{
    settings.longest_worker_lease = read_millis(bounds, "HoldMaxMs", 6000);
    settings.stop_time = read_millis(bounds, "StopMs", 900);
    settings.grace = read_seconds(bounds, "GraceS", 6.0);
    settings.move_time = read_seconds(bounds, "MoveS", 1.5);
    settings.maintenance_time = read_seconds(bounds, "UpkeepS", 2.0);
    settings.machine_holder_pause = read_millis(bounds, "LeaseMs", 3000);
    settings.status_retention = read_seconds(bounds, "status_s", 120.0);
    settings.unavailability_notice = read_millis(bounds, "NoticeMs", 4500);
    settings.remote_factor = read_number(bounds, "RemoteFactor", 1.5);
    // Missing where tenants have no quotas.
    settings.quota_excess = read_number(bounds, "QuotaExcess", 0.0);
    settings.fencing_enforced = read_flag(bounds, "FencingEnforced");
}

} // namespace

node_settings read_node_settings(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        reject("settings file", "a JSON object");
    const json::object& source = parsed.get_object();
    node_settings settings;
    settings.name = required_text(source, "NodeName");
    settings.zone = required_text(source, "Zone");
    settings.address = required_text(source, "Ip");
    const json::array& ports = read_array(source, "InternalPorts");
    settings.first_internal_port = read_port(ports, 0);
    settings.last_internal_port = read_port(ports, 1);
    const json::object& listen = read_object(source, "ListenAddrs");
    settings.caller_listen = read_endpoint(listen, "Front");
    settings.readiness_listen = read_endpoint(listen, "ReadyAddr");
    const json::object& store = read_object(source, "platform");
    settings.store = read_endpoint(store, "Address");
    settings.least_lease = read_millis(store, "TtlMinMs", 1000);
    const json::object& machine_service = read_object(source, "CloudApi");
    settings.machine_service = read_endpoint(machine_service, "Address");
    settings.machine_orders_per_second =
        read_number(machine_service, "DutyPerS", 64.0);
    if (!read_text(source, "Advice").empty())
        settings.advice_service = read_endpoint(source, "Advice");
    settings.is_first_start = read_flag(source, "Bootstrap");
    const json::array& contracts = read_array(source, "Contracts");
    settings.expects_pressure = std::find(contracts.begin(), contracts.end(),
                                          "pressure") != contracts.end();
    read_bounds(read_object(source, "Bounds"), settings);
    const json::object& limits = read_object(source, "Limits");
    settings.memory_mb =
        static_cast<std::size_t>(read_integer(limits, "MemoryMb"));
    // A share of a core that is as fast as that many cores.
    settings.cores = read_number(limits, "CpuShare", 1.0) *
                     read_number(limits, "Cores", 1.0);
    return settings;
}

} // namespace pimentograde::platform
