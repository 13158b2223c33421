#include "platform/caller_protocol.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

constexpr std::string_view time_left_field = "X-Pimentograde-Deadline-Ms";
// Far beyond the time of any call; more could overflow a duration.
constexpr std::chrono::milliseconds max_time_left = std::chrono::hours{24};

std::string_view word_of(jobs::reported_status status)
{
    switch (status)
    {
    case jobs::reported_status::queued:
        return "queued";
    case jobs::reported_status::running:
        return "running";
    case jobs::reported_status::completed:
        return "completed";
    case jobs::reported_status::failed:
        return "failed";
    case jobs::reported_status::cancelled:
        break;
    }
    return "cancelled";
}

} // namespace

std::optional<base::duration> caller_time_left(const net::http_request& call)
{
    for (const net::http_field& field : call.headers)
    {
        if (!boost::algorithm::iequals(field.first, time_left_field))
            continue;
        std::int64_t millis = 0;
        const char* end = field.second.data() + field.second.size();
        const auto parsed = std::from_chars(field.second.data(), end, millis);
        if (parsed.ec == std::errc{} && parsed.ptr == end && millis >= 0)
            return std::chrono::milliseconds(
                std::min(millis, max_time_left.count()));
    }
    return std::nullopt;
}

std::string write_status(jobs::reported_status status)
{
    return json::serialize(json::object{{"State", word_of(status)}});
}

std::string write_pending(std::int64_t count)
{
    return json::serialize(json::object{{"Pending", count}});
}

std::string write_reason(std::string_view reason)
{
    return json::serialize(json::object{{"Reason", reason}});
}

} // namespace pimentograde::platform
