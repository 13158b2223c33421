#include "node/fleet_records.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/pool_claims.hpp"
#include "node/session.hpp"
#include "platform/keys.hpp"

#include <boost/json.hpp>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

constexpr std::string_view orders_key = "pimentograde-fleet/orders";

std::string wave_record_key(std::int64_t number)
{
    return "pimentograde-fleet/wave/" + std::to_string(number);
}

// Reads a record that is an array; each row goes to `read_row`, which may
// throw. Returns whether the record is absent or readable.
template <typename Read>
bool read_rows(platform::store_client& store, const std::string& key,
               Read read_row)
{
    const auto stored = store.get(key);
    if (!stored)
        return true;
    try
    {
        const json::value parsed = json::parse(stored->value);
        for (const json::value& row : parsed.as_array())
            read_row(row);
        return true;
    }
    catch (const std::exception& failure)
    {
        log::write(event_fleet_record_invalid,
                   {{"key", key}, {"reason", failure.what()}});
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

std::optional<std::vector<fleet::recorded_order>> fleet_records::read_orders()
{
    std::vector<fleet::recorded_order> orders;
    const bool is_readable = read_rows(
        store_, std::string(orders_key),
        [&](const json::value& source)
        {
            const json::object& row = source.as_object();
            orders.push_back({std::string(row.at("machine").as_string()),
                              row.at("wave").to_number<std::int64_t>()});
        });
    if (!is_readable)
        return std::nullopt;
    return orders;
}

bool fleet_records::write_orders(std::int64_t fence,
                                 std::span<const fleet::recorded_order> orders)
{
    json::array rows;
    for (const fleet::recorded_order& entry : orders)
        rows.push_back(
            json::object{{"machine", entry.machine}, {"wave", entry.wave}});
    return commit(store_, fence,
                  {{std::string(orders_key), json::serialize(rows), 0}});
}

std::vector<std::string> fleet_records::read_done(std::int64_t wave)
{
    std::vector<std::string> done;
    // Machines of an unreadable record are ordered again, without effect.
    (void)read_rows(store_, wave_record_key(wave),
                    [&](const json::value& row)
                    { done.emplace_back(row.as_string()); });
    return done;
}

bool fleet_records::write_wave(std::int64_t fence,
                               const fleet::wave_progress& wave)
{
    const std::int64_t number = wave.wave().number;
    return commit(store_, fence,
                  {{wave_record_key(number),
                    json::serialize(json::value_from(wave.done())), 0},
                   {platform::wave_status_key(number),
                    platform::write_wave_status(wave.is_complete()), 0}});
}

} // namespace pimentograde::node
