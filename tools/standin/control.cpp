#include "standin/control.hpp"

#include "base/error.hpp"
#include "standin/fake_worker.hpp"
#include "standin/platform_standin.hpp"
#include "standin/request_reader.hpp"
#include "standin/store_model.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

std::uint64_t number_after(std::string_view target, std::string_view prefix)
{
    std::uint64_t value = 0;
    const std::string_view digits = target.substr(prefix.size());
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        throw base::error(base::error_code::invalid, "control", "",
                          "not a number");
    return value;
}

fault read_fault(const request_reader& request)
{
    const auto kind = parse_fault_kind(request.text("kind"));
    if (!kind)
        throw base::error(base::error_code::invalid, "control", "",
                          "unknown kind of fault");
    fault what;
    what.kind = *kind;
    if (request.has("worker"))
        what.worker = request.text("worker");
    if (request.has("probability"))
        what.probability = request.real("probability");
    if (request.has("duration_ms"))
        what.duration = request.millis("duration_ms");
    if (request.has("delay_ms"))
        what.delay = request.millis("delay_ms");
    if (request.has("factor"))
        what.factor = std::max(request.real("factor"), 1.0);
    return what;
}

json::object list_faults(const platform_standin& standin)
{
    json::array list;
    const auto now = base::steady_now();
    for (const active_fault& active : standin.faults().list(now))
    {
        json::object item{{"id", active.id},
                          {"kind", to_string(active.what.kind)},
                          {"worker", active.what.worker},
                          {"probability", active.what.probability},
                          {"delay_ms", base::count_millis(active.what.delay)},
                          {"factor", active.what.factor}};
        if (active.end)
            item["left_ms"] = base::count_millis(*active.end - now);
        list.push_back(std::move(item));
    }
    return {{"faults", std::move(list)}};
}

json::object counts(platform_standin& standin)
{
    json::object by_operation;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    for (const auto& [name, count] : standin.store().counts())
    {
        by_operation[name] = count;
        const bool read = name == "get" || name == "list" || name == "watch";
        (read ? reads : writes) += count;
    }
    return {{"reads", reads},
            {"writes", writes},
            {"bytes", standin.store().model().total_bytes()},
            {"store", std::move(by_operation)}};
}

json::object to_json(const execution& entry)
{
    return {{"worker", entry.worker},
            {"incarnation", entry.incarnation},
            {"lease", entry.lease},
            {"task", entry.task},
            {"queue", entry.queue},
            {"token", entry.token},
            {"resumed", entry.resumed},
            {"started_at_ms", entry.started_at_ms},
            {"ended_at_ms", entry.ended_at_ms},
            {"outcome", to_string(entry.outcome)},
            {"answer", entry.answer}};
}

json::object log_from(const platform_standin& standin, std::size_t from)
{
    const auto& entries = standin.log().entries();
    const std::size_t first = std::min(from, entries.size());
    const std::size_t last = std::min(first + log_page, entries.size());
    json::array page;
    for (std::size_t position = first; position < last; ++position)
        page.push_back(to_json(entries[position]));
    return {{"entries", std::move(page)},
            {"next", last},
            {"total", entries.size()}};
}

json::object list_workers(platform_standin& standin)
{
    json::array list;
    for (const auto& endpoint : standin.worker_endpoints())
    {
        fake_worker& worker = standin.worker(endpoint.id.str());
        list.push_back(
            json::object{{"id", endpoint.id.str()},
                         {"address", net::to_string(endpoint.address)},
                         {"up", worker.is_up()},
                         {"leaving", worker.model().leaving()},
                         {"slots_used", worker.model().slots_used()},
                         {"incarnation", worker.model().incarnation()}});
    }
    return {{"workers", std::move(list)}};
}

json::object act(platform_standin& standin, const net::http_request& request)
{
    constexpr std::string_view fault_prefix = "/faults/";
    constexpr std::string_view log_prefix = "/log?from=";
    const std::string_view target = request.target;
    const bool is_get = request.method == "GET";
    const bool is_delete = request.method == "DELETE";
    if (request.method == "POST" && target == "/faults")
        return {{"id",
                 standin.set_fault(read_fault(request_reader(request.body)))}};
    if (is_get && target == "/faults")
        return list_faults(standin);
    if (is_delete && target == "/faults")
    {
        standin.clear_faults();
        return {{"cleared", true}};
    }
    if (is_delete && target.starts_with(fault_prefix))
        return {{"cleared",
                 standin.clear_fault(number_after(target, fault_prefix))}};
    if (is_get && target == "/counts")
        return counts(standin);
    if (is_get && target == "/log")
        return log_from(standin, 0);
    if (is_get && target.starts_with(log_prefix))
        return log_from(standin, number_after(target, log_prefix));
    if (is_get && target == "/workers")
        return list_workers(standin);
    throw base::error(base::error_code::not_found, "control", "",
                      "unknown operation");
}

} // namespace

net::http_response serve_control(platform_standin& standin,
                                 const net::http_request& request)
{
    return {200, json::serialize(act(standin, request))};
}

} // namespace pimentograde::standin
