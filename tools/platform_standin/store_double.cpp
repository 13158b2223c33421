#include "platform_standin/store_double.hpp"

#include "base/error.hpp"
#include "platform/store_client.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <iterator>

namespace pimentograde::platform_standin
{

namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

// The mixing step of SplitMix64: equal on every machine.
std::uint64_t mixed(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

} // namespace

std::string query_value(const net::http_request& request,
                        const std::string& name)
{
    const auto target = boost::urls::parse_origin_form(request.target);
    if (!target)
        return {};
    for (const auto& parameter : target->params())
        if (parameter.key == name)
            return parameter.value;
    return {};
}

net::http_response json_answer(unsigned status, const json::object& body)
{
    return {status, json::serialize(body)};
}

std::string garbled_body(int number)
{
    const std::string bodies[] = {
        "",
        "{",
        "[[[[",
        "null",
        R"({"items":{},"events":7,"AsOf":"x"})",
        R"({"items":[1,null,"a"],"events":[null,[]],"Rev":{}})",
        R"({"Lease":"none","TtlMs":[]})",
        R"({"Running":[[],[1,2],{"a":1}],"Finished":[["x"]],"ClockMs":5})",
        R"({"Machines":[3,{"Machine":7}],"NextToken":{}})",
        std::string(100, '[') + std::string(100, ']'),
        std::string("{\"Key\":\"") + '\0' + "\xff\"}"};
    return bodies[static_cast<std::size_t>(number) % std::size(bodies)];
}

void store_double::end_leases()
{
    for (auto& [id, held] : leases_)
        held.ends = {};
}

void store_double::expire(base::time_point now)
{
    for (auto entry = leases_.begin(); entry != leases_.end();)
    {
        if (now < entry->second.ends)
        {
            ++entry;
            continue;
        }
        const std::int64_t id = entry->first;
        entry = leases_.erase(entry);
        std::vector<std::string> keys;
        for (const auto& [key, value] : items_)
            if (value.lease == id)
                keys.push_back(key);
        ++revision_;
        for (const std::string& key : keys)
            erase(key, revision_);
    }
}

void store_double::write(const std::string& key, const std::string& value,
                         std::int64_t lease_id, std::int64_t revision)
{
    item& target = items_[key];
    if (target.created == 0)
        target.created = revision;
    target.value = value;
    target.revision = revision;
    target.lease = lease_id;
    history_.push_back({revision, key, false});
}

void store_double::erase(const std::string& key, std::int64_t revision)
{
    if (items_.erase(key) > 0)
        history_.push_back({revision, key, true});
}

void store_double::put(const std::string& key, const std::string& value)
{
    write(key, value, 0, ++revision_);
}

void store_double::remove(const std::string& key)
{
    erase(key, ++revision_);
}

std::string store_double::value_of(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? std::string{} : found->second.value;
}

std::int64_t store_double::revision_of(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? 0 : found->second.revision;
}

std::int64_t store_double::changes_of(const std::string& key) const
{
    return std::count_if(history_.begin(), history_.end(),
                         [&](const change& entry) { return entry.key == key; });
}

std::vector<std::string>
store_double::keys_under(const std::string& prefix) const
{
    std::vector<std::string> keys;
    for (const auto& [key, value] : items_)
        if (key.starts_with(prefix))
            keys.push_back(key);
    return keys;
}

json::object store_double::to_json(const std::string& key) const
{
    const item& source = items_.at(key);
    return {{"Key", key},
            {"Value", platform::encode_base64(source.value)},
            {"Rev", source.revision},
            {"Created", source.created},
            {"Lease", source.lease}};
}

net::http_response store_double::handle(const net::http_request& request)
{
    if (faults.is_silent)
    {
        while (faults.is_silent)
            boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
        return json_answer(503);
    }
    expire(base::steady_now());
    if (faults.is_down)
        return json_answer(503);
    if (faults.is_garbled)
        return {200, garbled_body(++garbled_)};
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (faults.answer_delay > 0ms && path != "/-/kv-watch")
        boost::this_fiber::sleep_for(faults.answer_delay);
    if (path == "/-/kv-key")
        return read_key(request);
    if (path == "/-/kv-range")
        return read_range(request);
    if (path == "/-/kv-watch")
        return watch(request);
    if (!draw_loss())
        return handle_write(request, path);
    const auto spread = base::count_millis(faults.late_to - faults.late_from);
    boost::this_fiber::sleep_for(
        faults.late_from +
        std::chrono::milliseconds(
            spread == 0
                ? 0
                : static_cast<std::int64_t>(
                      mixed(++draws_) % static_cast<std::uint64_t>(spread))));
    expire(base::steady_now());
    handle_write(request, path);
    // Longer than any caller waits.
    boost::this_fiber::sleep_for(1500ms);
    return json_answer(503);
}

bool store_double::draw_loss()
{
    constexpr std::uint64_t whole = 100;
    return faults.lost_writes > 0 &&
           mixed(faults.loss_seed * 1'000'003 + ++draws_) % whole <
               static_cast<std::uint64_t>(faults.lost_writes);
}

net::http_response store_double::handle_write(const net::http_request& request,
                                              const std::string& path)
{
    if (path.starts_with("/-/kv-keep/"))
        return keep(std::stoll(path.substr(path.rfind('/') + 1)));
    if (path.starts_with("/-/kv-lease-end/"))
    {
        const auto found =
            leases_.find(std::stoll(path.substr(path.rfind('/') + 1)));
        if (found != leases_.end())
            found->second.ends = {};
        expire(base::steady_now());
        return json_answer(200);
    }
    const json::value body = json::parse(request.body);
    if (path == "/-/kv-txn")
        return commit(body.as_object());
    if (path == "/-/kv-lease")
        return grant(body.as_object());
    return json_answer(404);
}

net::http_response store_double::read_key(const net::http_request& request)
{
    const std::string key = query_value(request, "Key");
    if (!items_.contains(key))
        return json_answer(404);
    json::object body = to_json(key);
    body["AsOf"] = revision_;
    return json_answer(200, body);
}

net::http_response store_double::read_range(const net::http_request& request)
{
    // Small pages, so that tests with few items see several.
    constexpr std::size_t page = 5;
    const std::string prefix = query_value(request, "Prefix");
    const std::string after = query_value(request, "After");
    if (prefix == "servers/" && faults.worker_listing_delay > 0ms)
        boost::this_fiber::sleep_for(faults.worker_listing_delay);
    json::array rows;
    bool is_truncated = false;
    for (const std::string& key : keys_under(prefix))
    {
        if (!after.empty() && key <= after)
            continue;
        is_truncated = rows.size() == page;
        if (is_truncated)
            break;
        rows.push_back(to_json(key));
    }
    return json_answer(200, {{"items", std::move(rows)},
                             {"Truncated", is_truncated},
                             {"AsOf", revision_}});
}

net::http_response store_double::watch(const net::http_request& request)
{
    const std::string prefix = query_value(request, "Prefix");
    const std::int64_t after = std::stoll(query_value(request, "After"));
    const auto deadline =
        base::steady_now() +
        std::chrono::milliseconds(std::stoll(query_value(request, "WaitMs")));
    while (true)
    {
        expire(base::steady_now());
        if (faults.is_down)
            return json_answer(503);
        if (faults.is_compacted)
            return json_answer(410);
        json::array rows;
        const bool is_silent = prefix == faults.silent_watch;
        for (const change& entry : history_)
        {
            if (is_silent || entry.revision <= after ||
                !entry.key.starts_with(prefix))
                continue;
            if (entry.is_deleted || !items_.contains(entry.key))
                rows.push_back(json::object{{"Key", entry.key},
                                            {"Rev", entry.revision},
                                            {"Deleted", true}});
            else
                rows.push_back(to_json(entry.key));
        }
        if (!rows.empty() || base::steady_now() >= deadline)
            return json_answer(200, {{"events", std::move(rows)},
                                     {"AsOf", is_silent ? after : revision_}});
        boost::this_fiber::sleep_for(5ms);
    }
}

net::http_response store_double::commit(const json::object& body)
{
    if (faults.commit_delay > base::duration::zero())
        boost::this_fiber::sleep_for(faults.commit_delay);
    const auto& conditions = body.at("Expected").as_array();
    const auto& writes = body.at("Writes").as_array();
    const auto& removals = body.at("Remove").as_array();
    constexpr std::size_t max_entries = 32;
    if (conditions.size() + writes.size() + removals.size() > max_entries)
        return json_answer(400);
    for (const json::value& row : removals)
        if (row.as_string() == faults.kept_key)
            return json_answer(503);
    bool holds = true;
    json::array actual;
    for (const json::value& row : conditions)
    {
        const std::string key(row.at("Key").as_string());
        holds = holds &&
                revision_of(key) == row.at("Rev").to_number<std::int64_t>();
        if (items_.contains(key))
            actual.push_back(to_json(key));
    }
    if (!holds)
        return json_answer(412, {{"items", std::move(actual)}});
    ++revision_;
    for (const json::value& row : writes)
    {
        const json::value* lease_id = row.as_object().if_contains("Lease");
        const std::int64_t id =
            lease_id == nullptr ? 0 : lease_id->to_number<std::int64_t>();
        if (id != 0 && !leases_.contains(id))
            return json_answer(404);
        write(std::string(row.at("Key").as_string()),
              platform::decode_base64(row.at("Value").as_string()), id,
              revision_);
    }
    for (const json::value& row : removals)
        erase(std::string(row.as_string()), revision_);
    if (faults.commit_answer_delay > base::duration::zero())
    {
        const std::int64_t committed = revision_;
        boost::this_fiber::sleep_for(faults.commit_answer_delay);
        return json_answer(200, {{"Rev", committed}});
    }
    // 37 and 100 have no common factor: the losses are spread evenly.
    if (++commits_ * 37 % 100 < faults.lost_commits)
        boost::this_fiber::sleep_for(2s);
    return json_answer(200, {{"Rev", revision_}});
}

net::http_response store_double::grant(const json::object& body)
{
    const auto length =
        std::chrono::milliseconds(body.at("TtlMs").to_number<std::int64_t>());
    const std::int64_t id = ++next_lease_;
    leases_[id] = {length, base::steady_now() + length};
    return json_answer(200, {{"Lease", id}, {"TtlMs", length.count()}});
}

net::http_response store_double::keep(std::int64_t id)
{
    const auto found = leases_.find(id);
    if (found == leases_.end())
        return json_answer(404);
    found->second.ends = base::steady_now() + found->second.length;
    return json_answer(200, {{"TtlMs", 0}});
}

} // namespace pimentograde::platform_standin
