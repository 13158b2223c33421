#include "standin/bundle_workers.hpp"

#include "base/error.hpp"
#include "standin/request_reader.hpp"

#include <boost/json.hpp>

#include <utility>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

[[noreturn]] void fail(std::string_view detail)
{
    throw base::error(base::error_code::invalid, "read bundle", "", detail);
}

worker_settings read_worker(const request_reader& fields)
{
    worker_settings settings;
    settings.id = base::worker_id(fields.text("id"));
    const auto address = net::parse_endpoint(fields.text("address"));
    if (!address)
        fail("worker " + settings.id.str() + " has no valid address");
    settings.address = *address;
    if (fields.has("slots"))
        settings.slots = static_cast<std::uint32_t>(fields.number("slots"));
    if (fields.has("connections"))
        settings.connections =
            static_cast<std::uint32_t>(fields.number("connections"));
    const request_reader size =
        fields.has("size") ? fields.nested("size") : fields;
    if (size.has("cores"))
        settings.size.cores = size.real("cores");
    if (size.has("memory_mb"))
        settings.size.memory_mb = size.number("memory_mb");
    if (size.has("accelerators"))
        settings.size.accelerators =
            static_cast<std::uint32_t>(size.number("accelerators"));
    return settings;
}

} // namespace

std::vector<worker_settings> workers_of_bundle(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        fail("not a JSON object");
    const json::value* list = parsed.get_object().if_contains("workers");
    if (list == nullptr || !list->is_array())
        fail("no list of workers");
    std::vector<worker_settings> workers;
    for (const json::value& element : list->get_array())
    {
        if (!element.is_object())
            fail("a worker is not an object");
        workers.push_back(read_worker(request_reader(element.get_object())));
    }
    return workers;
}

} // namespace pimentograde::standin
