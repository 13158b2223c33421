#include "platform/worker_entry.hpp"

#include "net/endpoint.hpp"
#include "platform/json_call.hpp"

#include <algorithm>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

// Sums over the workers of a pool stay far below the range of 64 bits.
constexpr std::int64_t max_cpu_millis = 1'000'000'000;
constexpr std::int64_t max_memory_mb = 1'000'000'000;
constexpr std::int64_t max_gpus = 1'000'000;
constexpr std::chrono::hours max_remaining{24 * 365};
// JSON numbers are exact up to 2^53.
constexpr std::int64_t max_born_ms = std::int64_t{1} << 53;
constexpr std::size_t max_text_bytes = 200;
constexpr std::size_t max_labels = 100;

[[noreturn]] void reject(std::string_view id, std::string_view reason)
{
    throw base::error(base::error_code::invalid, "read worker entry",
                      std::string(id), reason);
}

std::string short_text(std::string_view id, std::string text)
{
    if (text.size() > max_text_bytes)
        reject(id, "a text is too long");
    return text;
}

std::string required_text(std::string_view id, const json::object& source,
                          std::string_view name)
{
    std::string text = short_text(id, read_text(source, name));
    if (text.empty())
        reject(id, std::string(name) + " is missing or empty");
    return text;
}

// The id becomes part of a header of each order.
bool is_valid_id(std::string_view id)
{
    return !id.empty() && id.size() <= max_text_bytes &&
           std::all_of(id.begin(), id.end(),
                       [](char letter)
                       { return letter > ' ' && letter < 0x7f; });
}

std::vector<std::string> read_labels(std::string_view id,
                                     const json::object& source)
{
    std::vector<std::string> labels;
    const json::array& rows = read_array(source, "Labels");
    if (rows.size() > max_labels)
        reject(id, "too many labels");
    for (const json::value& label : rows)
    {
        if (!label.is_string())
            reject(id, "a label is not a string");
        labels.push_back(short_text(id, std::string(label.get_string())));
    }
    return labels;
}

jobs::worker_description read_entry(std::string_view id,
                                    const json::object& source)
{
    jobs::worker_description worker;
    worker.id = std::string(id);
    worker.pool = required_text(id, source, "Service");
    worker.address = required_text(id, source, "Address");
    worker.zone = short_text(id, read_text(source, "Zone"));
    if (!net::parse_peer_endpoint(worker.address))
        reject(id, "the address is not an IP address and port");
    const std::string state = required_text(id, source, "State");
    if (state != "ready" && state != "draining")
        reject(id, "unknown state");
    worker.is_draining = state == "draining";
    if (source.if_contains("Capacity") == nullptr)
        reject(id, "no capacity");
    worker.capacity = read_capacity(source);
    worker.labels = read_labels(id, source);
    worker.born_ms = read_bounded(source, "born", max_born_ms);
    worker.remaining = std::chrono::milliseconds(
        read_bounded(source, "RemainingMs",
                     std::chrono::milliseconds(max_remaining).count()));
    return worker;
}

} // namespace

jobs::resource_amount read_capacity(const json::object& source)
{
    const json::object& capacity = read_object(source, "Capacity");
    return {read_bounded(capacity, "Cpu", max_cpu_millis),
            read_bounded(capacity, "MemMb", max_memory_mb),
            read_bounded(capacity, "Gpu", max_gpus)};
}

jobs::worker_description read_worker_entry(std::string_view id,
                                           std::string_view text)
{
    if (!is_valid_id(id))
        reject("", "the id is not valid");
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        reject(id, "not a JSON object");
    return read_entry(id, parsed.get_object());
}

} // namespace pimentograde::platform
