#include "entry/submission_codec.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

#include <array>
#include <string>

namespace pimentograde::entry
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds default_time_limit{30};
// Year 2255; larger numbers are not exact as a double.
constexpr double max_issued_at_ms = 9e12;
constexpr std::string_view parse_step = "parse submission";
constexpr std::array<std::string_view, 9> known_fields{
    "queue",        "priority",    "size",    "idempotent", "key",
    "issued_at_ms", "deadline_ms", "payload", "first"};

base::error field_error(std::string_view field, std::string_view expected)
{
    return {base::error_code::invalid, std::string(parse_step), "",
            "field '" + std::string(field) + "': expected " +
                std::string(expected)};
}

std::string read_text(const json::object& body, std::string_view field,
                      std::size_t max_bytes)
{
    const json::value* value = body.if_contains(field);
    if (value == nullptr || !value->is_string() ||
        value->get_string().size() > max_bytes)
        throw field_error(field, "text of at most " +
                                     std::to_string(max_bytes) + " bytes");
    return std::string(value->get_string());
}

double read_number(const json::object& body, std::string_view field,
                   double default_value, double highest)
{
    const json::value* value = body.if_contains(field);
    if (value == nullptr)
        return default_value;
    if (!value->is_number())
        throw field_error(field, "a number");
    const auto number = value->to_number<double>();
    if (!(number >= 0 && number <= highest))
        throw field_error(field, "0 to " + std::to_string(highest));
    return number;
}

bool read_flag(const json::object& body, std::string_view field)
{
    const json::value* value = body.if_contains(field);
    if (value == nullptr)
        return false;
    if (!value->is_bool())
        throw field_error(field, "true or false");
    return value->get_bool();
}

base::task_size read_size(const json::object& body)
{
    constexpr double max_cores = 4096;
    constexpr double max_memory_mb = 1e8;
    constexpr double max_accelerators = 1024;
    const json::value* value = body.if_contains("size");
    if (value == nullptr)
        return {};
    if (!value->is_object())
        throw field_error("size", "an object");
    const json::object& size = value->get_object();
    for (const auto& member : size)
        if (member.key() != "cores" && member.key() != "memory_mb" &&
            member.key() != "accelerators")
            throw field_error("size", "cores, memory_mb and accelerators only");
    return {read_number(size, "cores", 0, max_cores),
            static_cast<std::uint64_t>(
                read_number(size, "memory_mb", 0, max_memory_mb)),
            static_cast<std::uint32_t>(
                read_number(size, "accelerators", 0, max_accelerators))};
}

base::priority read_priority(const json::object& body)
{
    if (!body.contains("priority"))
        return base::priority::batch;
    const std::string word = read_text(body, "priority", max_key_bytes);
    if (word == "urgent")
        return base::priority::urgent;
    if (word == "batch")
        return base::priority::batch;
    throw field_error("priority", "urgent or batch");
}

json::object parse_object(std::string_view body)
{
    json::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        throw base::error(base::error_code::invalid, std::string(parse_step),
                          "", "body: expected a JSON object");
    return std::move(parsed.get_object());
}

void refuse_unknown_fields(const json::object& body)
{
    for (const auto& member : body)
        if (std::find(known_fields.begin(), known_fields.end(),
                      std::string_view(member.key())) == known_fields.end())
            throw field_error(std::string_view(member.key()), "no such field");
}

unsigned status_code(base::work_status status)
{
    switch (status)
    {
    case base::work_status::done:
        return 200;
    case base::work_status::accepted:
        return 202;
    case base::work_status::not_run:
        return 503;
    case base::work_status::unknown:
        return 504;
    case base::work_status::failed:
        break;
    }
    return 500;
}

} // namespace

base::submission parse_submission(std::string_view body, base::work_kind kind,
                                  base::wall_time now)
{
    const json::object fields = parse_object(body);
    refuse_unknown_fields(fields);
    base::submission work;
    work.kind = kind;
    work.queue = base::queue_name(read_text(fields, "queue", max_key_bytes));
    work.urgency = read_priority(fields);
    work.size = read_size(fields);
    if (!fields.contains("idempotent"))
        throw field_error("idempotent", "true or false");
    work.idempotent = read_flag(fields, "idempotent");
    work.first = read_flag(fields, "first");
    work.identity.key = read_text(fields, "key", max_key_bytes);
    if (work.identity.key.empty())
        throw field_error("key", "a non-empty idempotency key");
    const double issued_at = read_number(
        fields, "issued_at_ms", static_cast<double>(base::to_millis(now)),
        max_issued_at_ms);
    work.issued_at = base::from_millis(static_cast<std::int64_t>(issued_at));
    // A retry without the first attempt's time could pass the horizon of
    // dropped records.
    if (!work.idempotent && !fields.contains("issued_at_ms"))
        throw field_error("issued_at_ms",
                          "the time at which the key was created");
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::minutes(max_time_limit));
    work.time_limit = std::chrono::milliseconds(static_cast<std::int64_t>(
        read_number(fields, "deadline_ms",
                    std::chrono::milliseconds(default_time_limit).count(),
                    static_cast<double>(limit.count()))));
    work.payload = read_text(fields, "payload", max_payload_bytes);
    return work;
}

std::string_view to_string(base::work_status status)
{
    switch (status)
    {
    case base::work_status::done:
        return "done";
    case base::work_status::accepted:
        return "accepted";
    case base::work_status::not_run:
        return "not_run";
    case base::work_status::unknown:
        return "unknown";
    case base::work_status::failed:
        break;
    }
    return "failed";
}

net::http_response to_response(const base::work_result& result)
{
    json::object body{{"status", to_string(result.status)}};
    if (result.status == base::work_status::done)
        body["answer"] = result.answer;
    if (!result.job.empty())
        body["job"] = result.job.str();
    if (!result.reason.empty())
        body["reason"] = result.reason;
    return {status_code(result.status), json::serialize(body)};
}

} // namespace pimentograde::entry
