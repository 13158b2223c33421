#include "config/bundle_parser.hpp"
#include "config/bundle_words.hpp"

#include <chrono>
#include <cmath>

namespace pimentograde::config
{

namespace json = boost::json;

namespace
{

std::int64_t whole_seconds(base::duration length)
{
    return std::chrono::duration_cast<std::chrono::seconds>(length).count();
}

// Whole numbers without an exponent: 32, not 3.2E1.
json::value plain_number(double value)
{
    constexpr double exact_limit = 1e15;
    if (std::trunc(value) == value && std::abs(value) < exact_limit)
        return static_cast<std::int64_t>(value);
    return value;
}

template <class Words, class Enum>
std::string_view word(const Words& words, Enum value)
{
    return words.at(static_cast<std::size_t>(value));
}

json::value to_value(const caller_entry& entry)
{
    return {{"name", entry.name.str()}, {"token_sha256", entry.token_sha256}};
}

template <class Entry>
json::array to_array(const std::vector<Entry>& entries);

json::value to_value(const department& entry)
{
    return {{"name", entry.name.str()},
            {"quota_slots", entry.quota_slots},
            {"retry_ratio", plain_number(entry.retry_ratio)},
            {"callers", to_array(entry.callers)}};
}

json::value to_value(const pool& entry)
{
    return {{"name", entry.name.str()}, {"spare", entry.spare}};
}

json::value to_value(const queue& entry)
{
    return {{"name", entry.name.str()},
            {"department", entry.department.str()},
            {"pool", entry.pool.str()},
            {"priority", word(priority_words, entry.urgency)},
            {"max_waiting", entry.max_waiting},
            {"max_wait_ms", base::count_millis(entry.max_wait)},
            {"expected_time_ms", base::count_millis(entry.expected_time)}};
}

json::value to_value(const worker& entry)
{
    return {{"id", entry.id.str()},
            {"pool", entry.pool.str()},
            {"zone", entry.zone.str()},
            {"rack", entry.rack.str()},
            {"address", net::to_string(entry.address)},
            {"size",
             {{"cores", plain_number(entry.size.cores)},
              {"memory_mb", entry.size.memory_mb},
              {"accelerators", entry.size.accelerators}}},
            {"slots", entry.slots},
            {"connections", entry.connections}};
}

json::value to_value(const budget& entry)
{
    return {{"department", entry.department.str()},
            {"pool", entry.pool.str()},
            {"min_workers", entry.min_workers},
            {"survive", word(survive_words, entry.survive)}};
}

template <class Tag>
json::value to_value(const base::strong_id<Tag>& entry)
{
    return json::string(entry.str());
}

json::value to_value(const wave& entry)
{
    return {{"name", entry.name},
            {"pools", to_array(entry.pools)},
            {"max_parallel", entry.max_parallel},
            {"period_s", whole_seconds(entry.period)},
            {"checkpoint_after_s", whole_seconds(entry.checkpoint_after)}};
}

json::value to_value(const operator_entry& entry)
{
    return {{"name", entry.name},
            {"role", word(role_words, entry.role)},
            {"token_sha256", entry.token_sha256}};
}

template <class Entry>
json::array to_array(const std::vector<Entry>& entries)
{
    json::array result;
    for (const Entry& entry : entries)
        result.push_back(to_value(entry));
    return result;
}

} // namespace

std::string to_json(const bundle& value)
{
    const json::value document{
        {"format", bundle_format},
        {"deployment", value.deployment},
        {"weights",
         {{"buffer_cost", plain_number(value.weights.buffer_cost)},
          {"rollout_time", plain_number(value.weights.rollout_time)},
          {"moves", plain_number(value.weights.moves)}}},
        {"zones", to_array(value.zones)},
        {"departments", to_array(value.departments)},
        {"pools", to_array(value.pools)},
        {"queues", to_array(value.queues)},
        {"workers", to_array(value.workers)},
        {"budgets", to_array(value.budgets)},
        {"waves", to_array(value.waves)},
        {"operators", to_array(value.operators)}};
    return json::serialize(document);
}

} // namespace pimentograde::config
