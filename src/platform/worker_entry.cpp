#include "platform/worker_entry.hpp"

#include "net/endpoint.hpp"
#include "platform/json_call.hpp"

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

[[noreturn]] void reject(std::string_view id, std::string_view reason)
{
    throw base::error(base::error_code::invalid, "read worker entry",
                      std::string(id), reason);
}

std::string required_text(const json::object& source, std::string_view name)
{
    std::string text = read_text(source, name);
    if (text.empty())
        reject(name, "the member is missing or empty");
    return text;
}

jobs::worker_description read_entry(std::string_view id,
                                    const json::object& source)
{
    jobs::worker_description worker;
    worker.id = std::string(id);
    worker.pool = required_text(source, "Service");
    worker.address = required_text(source, "Address");
    worker.zone = read_text(source, "Zone");
    if (!net::parse_endpoint(worker.address))
        reject(id, "the address is not an IP address and port");
    const std::string state = required_text(source, "State");
    if (state != "ready" && state != "draining")
        reject(id, "unknown state");
    worker.is_draining = state == "draining";
    if (source.if_contains("Capacity") == nullptr)
        reject(id, "no capacity");
    worker.capacity = read_capacity(source);
    for (const json::value& label : read_array(source, "Labels"))
    {
        if (!label.is_string())
            reject(id, "a label is not a string");
        worker.labels.emplace_back(label.get_string());
    }
    worker.born_ms = read_integer(source, "born");
    worker.remaining =
        std::chrono::milliseconds(read_integer(source, "RemainingMs"));
    return worker;
}

} // namespace

jobs::resource_amount read_capacity(const json::object& source)
{
    const json::object& capacity = read_object(source, "Capacity");
    return {read_integer(capacity, "Cpu"), read_integer(capacity, "MemMb"),
            read_integer(capacity, "Gpu")};
}

jobs::worker_description read_worker_entry(std::string_view id,
                                           std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        reject(id, "not a JSON object");
    return read_entry(id, parsed.get_object());
}

} // namespace pimentograde::platform
