#include "platform/configuration.hpp"

#include "base/digest.hpp"
#include "platform/json_call.hpp"

#include <algorithm>
#include <limits>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

// Longer times mean the same to routes.
constexpr std::chrono::hours max_time{24 * 365};
// Machines, attempts, ranks.
constexpr std::int64_t max_count = 1'000'000;
// Jobs per second.
constexpr double max_weight = 1e9;

json::object parse_object(std::string_view text, std::string_view step)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        throw base::error(base::error_code::invalid, std::string(step), "",
                          "not a JSON object");
    return std::move(parsed.get_object());
}

const json::object& to_object(const json::value& row)
{
    if (!row.is_object())
        throw base::error(base::error_code::invalid, "read configuration", "",
                          "a row is not an object");
    return row.get_object();
}

// The store accepts any whole number that its own checks allow.
std::int64_t read_clamped(const json::object& source, std::string_view name,
                          std::int64_t min, std::int64_t max,
                          std::int64_t fallback)
{
    return std::clamp(read_integer(source, name, fallback), min, max);
}

base::duration read_time(const json::object& source, std::string_view name)
{
    return std::chrono::milliseconds(read_clamped(
        source, name, 0, std::chrono::milliseconds(max_time).count(), 0));
}

queue_route read_route(const json::object& source)
{
    queue_route route;
    route.host = read_text(source, "Host");
    route.path_prefix = read_text(source, "Prefix");
    route.timeout = read_time(source, "TimeoutMs");
    route.policy.name = read_text(source, "Name");
    // The pool whose workers run the queue's tasks.
    route.policy.pool = read_text(source, "Service");
    route.policy.priority = static_cast<int>(
        read_clamped(source, "Priority", -max_count, max_count, 0));
    route.policy.max_attempts =
        static_cast<int>(read_clamped(source, "MaxAttempts", 1, max_count, 1));
    route.policy.stretch = read_number(source, "Stretch", 1.0);
    route.policy.target = read_time(source, "TargetDurationMs");
    route.is_public = read_flag(source, "Public");
    return route;
}

jobs::resource_amount read_cap(const json::object& source)
{
    const auto amount = [&](std::string_view name)
    {
        return read_clamped(source, name, 0,
                            std::numeric_limits<std::int64_t>::max() / 2, 0);
    };
    return {amount("Cpu"), amount("MemMb"), amount("Gpu")};
}

tenant_settings read_tenant(const json::object& source)
{
    tenant_settings tenant;
    tenant.policy.name = read_text(source, "Name");
    tenant.policy.weight =
        std::clamp(read_number(source, "Weight", 0.0), 0.0, max_weight);
    tenant.policy.cap = read_cap(read_object(source, "Cap"));
    for (const json::value& key : read_array(source, "ApiKeys"))
    {
        if (!key.is_string())
            throw base::error(base::error_code::invalid, "read configuration",
                              "", "a tenant's key is not a string");
        tenant.key_digests.push_back(base::sha256_hex(key.get_string()));
    }
    return tenant;
}

} // namespace

bool configuration::has_active_pool(std::string_view pool) const
{
    return std::any_of(pools.begin(), pools.end(),
                       [pool](const pool_settings& entry)
                       { return entry.name == pool && !entry.is_standby; });
}

const queue_route* configuration::match(std::string_view host,
                                        std::string_view path) const
{
    const queue_route* best = nullptr;
    for (const queue_route& route : queues)
        if (route.host == host && path.starts_with(route.path_prefix) &&
            (best == nullptr ||
             route.path_prefix.size() > best->path_prefix.size()))
            best = &route;
    return best;
}

configuration read_configuration(std::string_view text)
{
    const json::object source = parse_object(text, "read configuration");
    configuration result;
    result.version = read_integer(source, "Version");
    for (const json::value& row : read_array(source, "Routes"))
        result.queues.push_back(read_route(to_object(row)));
    for (const json::value& row : read_array(source, "Services"))
    {
        const json::object& entry = to_object(row);
        result.pools.push_back({read_text(entry, "Name"),
                                read_flag(entry, "Standby"),
                                read_flag(entry, "EnforcesCapacity")});
    }
    result.has_tenants = source.contains("Tenants");
    for (const json::value& row : read_array(source, "Tenants"))
        result.tenants.push_back(read_tenant(to_object(row)));
    const json::object& limits = read_object(source, "Limits");
    result.max_body_bytes = static_cast<std::size_t>(
        read_integer(limits, "MaxBodyBytes",
                     static_cast<std::int64_t>(result.max_body_bytes)));
    return result;
}

fleet::maintenance_wave read_wave(std::string_view text)
{
    const json::object source = parse_object(text, "read wave");
    fleet::maintenance_wave wave;
    wave.number = read_integer(source, "Wave");
    for (const json::value& row : read_array(source, "Machines"))
    {
        if (!row.is_string())
            throw base::error(base::error_code::invalid, "read wave", "",
                              "a machine is not a string");
        wave.machines.emplace_back(row.get_string());
    }
    const double limit_s = read_number(source, "FinishByS", 0.0);
    if (!(limit_s >= 0.0 && limit_s <= base::count_seconds(max_time)))
        throw base::error(base::error_code::invalid, "read wave", "",
                          "FinishByS is out of range");
    constexpr double nanos_per_second = 1e9;
    wave.time_limit =
        base::duration(static_cast<std::int64_t>(limit_s * nanos_per_second));
    // Bound of the machines that are down at once, not of their number.
    wave.max_down = static_cast<int>(read_bounded(source, "Cap", max_count, 1));
    return wave;
}

std::string write_wave_status(bool is_completed)
{
    return json::serialize(
        json::object{{"State", is_completed ? "completed" : "running"}});
}

} // namespace pimentograde::platform
