#include "jobs/quota_record.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

#include <exception>

namespace pimentograde::jobs
{

namespace json = boost::json;

namespace
{

json::object encode_amounts(const quota_record::amounts& amounts)
{
    json::object rows;
    for (const auto& [pool, amount] : amounts)
        rows[pool] =
            json::array{amount.cpu_millis, amount.memory_mb, amount.gpus};
    return rows;
}

quota_record::amounts decode_amounts(const json::object& object,
                                     std::string_view name)
{
    quota_record::amounts amounts;
    const json::value* rows = object.if_contains(name);
    if (rows == nullptr)
        return amounts;
    for (const auto& row : rows->as_object())
    {
        const json::array& values = row.value().as_array();
        resource_amount amount;
        for (std::size_t index = 0; index < quota_resources.size(); ++index)
        {
            const auto value = values.at(index).to_number<std::int64_t>();
            if (value < 0)
                throw base::error(base::error_code::invalid, "decode quota", "",
                                  "an amount is negative");
            amount.*quota_resources.at(index) = value;
        }
        amounts.emplace(row.key(), amount);
    }
    return amounts;
}

} // namespace

resource_amount quota_record::grant_of(std::string_view pool) const
{
    const auto found = grants.find(pool);
    return found == grants.end() ? resource_amount{} : found->second;
}

resource_amount quota_record::total() const
{
    resource_amount sum;
    for (const auto& [pool, amount] : grants)
        sum += amount;
    return sum;
}

std::string encode_quota(const quota_record& record)
{
    json::object object{{"grants", encode_amounts(record.grants)}};
    if (!record.wanted.empty())
        object["wanted"] = encode_amounts(record.wanted);
    return json::serialize(object);
}

quota_record decode_quota(std::string_view text)
{
    try
    {
        const json::value document = json::parse(text);
        const json::object& object = document.as_object();
        return {decode_amounts(object, "grants"),
                decode_amounts(object, "wanted")};
    }
    catch (const base::error&)
    {
        throw;
    }
    catch (const std::exception& failure)
    {
        throw base::error(base::error_code::invalid, "decode quota", "",
                          failure.what());
    }
}

} // namespace pimentograde::jobs
