#include "node/fleet_records.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/pool_claims.hpp"
#include "node/session.hpp"
#include "platform/keys.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

constexpr std::string_view orders_prefix = "pimentograde-fleet/orders/";

std::string wave_record_key(std::int64_t number)
{
    return "pimentograde-fleet/wave/" + std::to_string(number);
}

std::string wave_ordered_key(std::int64_t number)
{
    return "pimentograde-fleet/ordered/" + std::to_string(number);
}

// Reads an array; each row goes to `read_row`, which may throw. Returns whether
// the record is readable.
template <typename Read>
bool read_rows(const platform::store_item& item, Read read_row)
{
    try
    {
        const json::value parsed = json::parse(item.value);
        for (const json::value& row : parsed.as_array())
            read_row(row);
        return true;
    }
    catch (const std::exception& failure)
    {
        log::write(event_fleet_record_invalid,
                   {{"key", item.key}, {"reason", failure.what()}});
        return false;
    }
}

bool commit(platform::store_client& store, std::int64_t fence,
            std::vector<platform::store_transaction::write> writes)
{
    const auto result = store.commit(
        {{{session::role_key(fleet_role), fence}}, std::move(writes), {}});
    return result.outcome == platform::commit_result::kind::committed;
}

} // namespace

earlier_orders fleet_records::read_orders(std::int64_t fence)
{
    // A record's key ends with its lease, so that none replaces another.
    const std::string own = std::string(orders_prefix) + std::to_string(fence);
    earlier_orders result;
    const auto listing = store_.list(orders_prefix);
    result.is_readable = listing.is_complete;
    for (const auto& item : listing.items)
    {
        if (item.key.starts_with(own + '/'))
            continue;
        const bool is_readable =
            read_rows(item,
                      [&](const json::value& source)
                      {
                          const json::object& row = source.as_object();
                          result.orders.push_back(
                              {std::string(row.at("machine").as_string()),
                               row.at("wave").to_number<std::int64_t>()});
                      });
        result.is_readable = result.is_readable && is_readable;
    }
    return result;
}

bool fleet_records::write_orders(std::int64_t fence,
                                 std::span<const fleet::recorded_order> orders,
                                 std::span<const unavailable_machines> waves,
                                 base::duration lifetime)
{
    json::array rows;
    for (const fleet::recorded_order& entry : orders)
        rows.push_back(
            json::object{{"machine", entry.machine}, {"wave", entry.wave}});
    const std::int64_t lease = store_.grant_lease(lifetime);
    const std::string key = std::string(orders_prefix) + std::to_string(fence) +
                            '/' + std::to_string(lease);
    const std::string value = json::serialize(rows);
    std::vector<platform::store_transaction::write> writes{{key, value, lease}};
    for (const unavailable_machines& entry : waves)
        writes.push_back({wave_ordered_key(entry.wave),
                          json::serialize(json::value_from(entry.machines)),
                          0});
    // Each key is written once, so a call that takes effect late cannot undo
    // what was written after this one.
    const auto result = store_.commit_repeatedly(
        {{{session::role_key(fleet_role), fence}, {key, 0}},
         std::move(writes),
         {}});
    return result.outcome == platform::commit_result::kind::committed ||
           std::any_of(result.actual.begin(), result.actual.end(),
                       [&](const platform::store_item& item)
                       { return item.key == key && item.value == value; });
}

std::vector<std::string> fleet_records::read_done(std::int64_t wave)
{
    std::vector<std::string> done;
    const auto stored = store_.get(wave_record_key(wave));
    // Machines of an unreadable record are ordered again, without effect.
    if (stored)
        (void)read_rows(*stored, [&](const json::value& row)
                        { done.emplace_back(row.as_string()); });
    return done;
}

std::vector<std::string> fleet_records::read_ordered(std::int64_t wave)
{
    std::vector<std::string> ordered;
    const auto stored = store_.get(wave_ordered_key(wave));
    if (stored && !read_rows(*stored, [&](const json::value& row)
                             { ordered.emplace_back(row.as_string()); }))
        throw base::error(base::error_code::invalid, "read ordered machines",
                          wave_ordered_key(wave), "the record is unreadable");
    return ordered;
}

bool fleet_records::write_wave(std::int64_t fence,
                               const fleet::wave_progress& wave)
{
    const std::int64_t number = wave.wave().number;
    return commit(store_, fence,
                  {{wave_record_key(number),
                    json::serialize(json::value_from(wave.done())), 0},
                   {wave_ordered_key(number),
                    json::serialize(json::value_from(
                        wave.machines_in(fleet::maintenance_stage::ordered))),
                    0},
                   {platform::wave_status_key(number),
                    platform::write_wave_status(wave.is_complete()), 0}});
}

} // namespace pimentograde::node
