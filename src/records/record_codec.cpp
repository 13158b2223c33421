#include "records/record_codec.hpp"

#include "base/error.hpp"

#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace pimentograde::records
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t shard_format = 1;

// Field names are short because a shard holds thousands of records in 768 KiB.
constexpr std::string_view hex_suffix = "_x";

constexpr std::array<std::pair<record_state, std::string_view>, 5> state_names{
    {{record_state::accepted, "accepted"},
     {record_state::started, "started"},
     {record_state::done, "done"},
     {record_state::not_run, "not_run"},
     {record_state::failed, "failed"}}};

[[noreturn]] void refuse(std::string_view detail)
{
    throw base::error(base::error_code::invalid, "decode record", "store",
                      detail);
}

bool is_utf8(std::string_view text)
{
    if (std::ranges::all_of(text, [](char c)
                            { return static_cast<unsigned char>(c) < 0x80; }))
        return true;
    json::error_code failure;
    json::parse(json::serialize(json::string(text)), failure);
    return !failure;
}

void put_text(json::object& out, std::string_view name, std::string_view text)
{
    if (text.empty())
        return;
    if (is_utf8(text))
    {
        out[name] = text;
        return;
    }
    std::string digits;
    boost::algorithm::hex_lower(text.begin(), text.end(),
                                std::back_inserter(digits));
    out[std::string(name).append(hex_suffix)] = digits;
}

/// Takes fields out of an object; `finish` refuses what is left.
class field_reader
{
public:
    explicit field_reader(const json::value& source)
    {
        if (!source.is_object())
            refuse("not an object");
        fields_ = source.get_object();
    }

    std::string text(std::string_view name)
    {
        if (const auto plain = take(name); !plain.is_null())
            return to_text(plain, name);
        const auto digits = take(std::string(name).append(hex_suffix));
        if (digits.is_null())
            return {};
        std::string out;
        try
        {
            boost::algorithm::unhex(to_text(digits, name),
                                    std::back_inserter(out));
        }
        catch (const boost::algorithm::hex_decode_error&)
        {
            refuse(name);
        }
        return out;
    }

    template <class Number>
    Number number(std::string_view name)
    {
        const auto found = take(name);
        return found.is_null() ? Number{} : to_number<Number>(found, name);
    }

    bool flag(std::string_view name)
    {
        const auto found = take(name);
        if (found.is_null())
            return false;
        if (!found.is_bool())
            refuse(name);
        return found.get_bool();
    }

    json::array list(std::string_view name)
    {
        const auto found = take(name);
        if (found.is_null())
            return {};
        if (!found.is_array())
            refuse(name);
        return found.get_array();
    }

    void finish() const
    {
        if (!fields_.empty())
            refuse("unknown field " + std::string(fields_.begin()->key()));
    }

    template <class Number>
    static Number to_number(const json::value& value, std::string_view name)
    {
        json::error_code failure;
        const auto number = value.to_number<Number>(failure);
        if (failure)
            refuse(name);
        return number;
    }

    static std::string to_text(const json::value& value, std::string_view name)
    {
        if (!value.is_string())
            refuse(name);
        return std::string(value.get_string());
    }

private:
    json::value take(std::string_view name)
    {
        const auto found = fields_.find(name);
        if (found == fields_.end())
            return nullptr;
        json::value value = std::move(found->value());
        if (value.is_null())
            refuse(name);
        fields_.erase(found);
        return value;
    }

    json::object fields_;
};

record_state parse_state(std::string_view name)
{
    for (const auto& [state, text] : state_names)
        if (text == name)
            return state;
    refuse("state");
}

base::task_size parse_size(const json::array& parts)
{
    if (parts.size() != 3)
        refuse("size");
    return {field_reader::to_number<double>(parts[0], "size"),
            field_reader::to_number<std::uint64_t>(parts[1], "size"),
            field_reader::to_number<std::uint32_t>(parts[2], "size")};
}

json::object encode_attempt(const record& value)
{
    json::object out;
    put_text(out, "st", to_string(value.state));
    if (value.attempt != 0)
        out["n"] = value.attempt;
    put_text(out, "w", value.worker.str());
    if (value.incarnation != 0)
        out["b"] = value.incarnation;
    put_text(out, "l", value.lease.str());
    if (!value.failed_on.empty())
    {
        json::array workers;
        for (const auto& worker : value.failed_on)
        {
            json::object entry;
            put_text(entry, "w", worker.str());
            workers.push_back(std::move(entry));
        }
        out["f"] = std::move(workers);
    }
    if (value.failures != 0)
        out["fn"] = value.failures;
    if (value.cancel_requested)
        out["x"] = true;
    put_text(out, "a", value.answer);
    put_text(out, "h", value.answer_sha256);
    put_text(out, "r", value.reason);
    return out;
}

void decode_attempt(field_reader& in, record& out)
{
    out.state = parse_state(in.text("st"));
    out.attempt = in.number<std::uint32_t>("n");
    out.worker = base::worker_id(in.text("w"));
    out.incarnation = in.number<std::uint64_t>("b");
    out.lease = base::lease_id(in.text("l"));
    for (const auto& worker : in.list("f"))
    {
        field_reader entry(worker);
        out.failed_on.emplace_back(entry.text("w"));
        entry.finish();
    }
    out.failures = in.number<std::uint32_t>("fn");
    out.cancel_requested = in.flag("x");
    out.answer = in.text("a");
    out.answer_sha256 = in.text("h");
    out.reason = in.text("r");
    if (out.state == record_state::started && out.lease.empty())
        refuse("started without a lease");
}

record decode_value(const json::value& source)
{
    field_reader in(source);
    record out;
    out.identity = {base::department_name(in.text("d")),
                    base::caller_name(in.text("c")), in.text("k")};
    out.job = base::job_id(in.text("j"));
    out.kind = in.flag("o") ? base::work_kind::job : base::work_kind::request;
    out.issued_at = base::from_millis(in.number<std::int64_t>("i"));
    out.queue = base::queue_name(in.text("q"));
    out.urgency = in.flag("u") ? base::priority::urgent : base::priority::batch;
    out.size = parse_size(in.list("s"));
    out.idempotent = in.flag("m");
    out.payload = in.text("p");
    decode_attempt(in, out);
    out.created_at = base::from_millis(in.number<std::int64_t>("ca"));
    out.changed_at = base::from_millis(in.number<std::int64_t>("ch"));
    in.finish();
    if (out.identity.key.empty())
        refuse("empty key");
    return out;
}

} // namespace

std::string_view to_string(record_state state)
{
    for (const auto& [known, name] : state_names)
        if (known == state)
            return name;
    return "invalid";
}

std::string encode_record(const record& value)
{
    json::object out = encode_attempt(value);
    put_text(out, "d", value.identity.department.str());
    put_text(out, "c", value.identity.caller.str());
    put_text(out, "k", value.identity.key);
    put_text(out, "j", value.job.str());
    if (value.kind == base::work_kind::job)
        out["o"] = true;
    out["i"] = base::to_millis(value.issued_at);
    put_text(out, "q", value.queue.str());
    if (value.urgency == base::priority::urgent)
        out["u"] = true;
    out["s"] = {value.size.cores, value.size.memory_mb,
                value.size.accelerators};
    if (value.idempotent)
        out["m"] = true;
    put_text(out, "p", value.payload);
    out["ca"] = base::to_millis(value.created_at);
    out["ch"] = base::to_millis(value.changed_at);
    return json::serialize(out);
}

record decode_record(std::string_view text)
{
    json::error_code failure;
    const auto value = json::parse(text, failure);
    if (failure)
        refuse(failure.message());
    return decode_value(value);
}

std::string encode_shard(base::wall_time horizon,
                         const std::vector<std::string_view>& encoded)
{
    std::size_t bytes = shard_frame_bytes;
    for (const auto part : encoded)
        bytes += part.size() + 1;
    std::string out;
    out.reserve(bytes);
    out += R"({"format":)" + std::to_string(shard_format) + R"(,"horizon":)" +
           std::to_string(base::to_millis(horizon)) + R"(,"records":[)";
    const char* separator = "";
    for (const auto part : encoded)
    {
        out += separator;
        out += part;
        separator = ",";
    }
    out += "]}";
    return out;
}

shard_contents decode_shard(std::string_view text)
{
    if (text.empty())
        return {};
    json::error_code failure;
    const auto value = json::parse(text, failure);
    if (failure)
        refuse(failure.message());
    field_reader in(value);
    if (in.number<std::int64_t>("format") != shard_format)
        refuse("another format");
    shard_contents out;
    out.horizon = base::from_millis(in.number<std::int64_t>("horizon"));
    const auto entries = in.list("records");
    in.finish();
    out.entries.reserve(entries.size());
    for (const auto& entry : entries)
        out.entries.push_back(decode_value(entry));
    return out;
}

std::size_t encoded_text_bytes(std::string_view text)
{
    return is_utf8(text) ? json::serialize(json::string(text)).size()
                         : 2 * text.size() + 2;
}

} // namespace pimentograde::records
