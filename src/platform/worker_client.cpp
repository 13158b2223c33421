#include "platform/worker_client.hpp"

#include "base/error.hpp"
#include "jobs/task_id.hpp"
#include "platform/json_call.hpp"

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned conflict = 409;
constexpr unsigned misdirected = 421;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;
// Ends that one answer holds.
constexpr std::size_t ends_per_answer = 500;
// JSON numbers are exact up to 2^53.
constexpr std::int64_t max_clock_ms = std::int64_t{1} << 53;

bool is_unhealthy(unsigned status)
{
    return status == too_many_requests || status == service_unavailable;
}

json_request to_request(const char* path, const order_target& target,
                        json::object body)
{
    body["FencingToken"] = target.fence;
    return {"POST",
            path,
            std::move(body),
            {{"X-Pimentograde-Expect-Instance", target.worker}},
            target.may_order};
}

jobs::end_kind to_end_kind(std::string_view word)
{
    using jobs::end_kind;
    for (const end_kind kind :
         {end_kind::done, end_kind::failed, end_kind::stopped, end_kind::lapsed,
          end_kind::broken, end_kind::alone})
        if (to_string(kind) == word)
            return kind;
    throw base::error(base::error_code::invalid, "read ends", "",
                      "unknown kind of end: " + std::string(word));
}

// Rows of another form name tasks that this system did not start.
std::optional<jobs::listed_run> to_run(const json::value& row)
{
    const json::array& cells = row.as_array();
    const auto task = jobs::parse_task_id(cells.at(0).as_string());
    if (!task)
        return std::nullopt;
    return jobs::listed_run{*task, cells.at(1).to_number<int>(),
                            std::string(cells.at(2).as_string()),
                            cells.at(3).to_number<int>()};
}

std::optional<jobs::listed_end> to_end(const json::value& row)
{
    const json::array& cells = row.as_array();
    const auto task = jobs::parse_task_id(cells.at(1).as_string());
    if (!task)
        return std::nullopt;
    return jobs::listed_end{cells.at(0).to_number<std::int64_t>(), *task,
                            cells.at(2).to_number<int>(),
                            to_end_kind(cells.at(3).as_string()),
                            std::string(cells.at(4).as_string())};
}

jobs::worker_report to_report(const json::object& body)
{
    jobs::worker_report report;
    report.born_ms = read_integer(body, "born");
    for (const json::value& row : read_array(body, "Running"))
        if (auto run = to_run(row))
            report.running.push_back(std::move(*run));
    const json::array& ended = read_array(body, "Finished");
    report.is_truncated = ended.size() >= ends_per_answer;
    for (const json::value& row : ended)
        if (auto end = to_end(row))
            report.ended.push_back(std::move(*end));
    return report;
}

// A run whose row were left out would be taken for absent and started again, so
// an unreadable row makes the whole list unreadable.
void read_listing(const json::object& body, const net::endpoint& where,
                  worker_listing& listing)
{
    try
    {
        listing.clock_ms = read_bounded(body, "ClockMs", max_clock_ms);
        listing.report = to_report(body);
    }
    catch (const std::exception& failure)
    {
        throw base::error(base::error_code::cut_off, "list runs",
                          net::to_string(where), failure.what());
    }
}

jobs::start_answer to_start_answer(std::string_view reason)
{
    if (reason == "room")
        return jobs::start_answer::no_room;
    if (reason == "old")
        return jobs::start_answer::outdated_run;
    if (reason == "late")
        return jobs::start_answer::too_late;
    return jobs::start_answer::rejected;
}

start_result to_start_result(const json_response& response,
                             const order_target& target)
{
    start_result result;
    if (response.status == ok)
    {
        require_members(response, {"ClockMs"}, target.where, "start task");
        result.answer = jobs::start_answer::started;
    }
    else if (response.status == conflict)
    {
        const std::string reason = read_text(response.body, "Reason");
        result.answer = to_start_answer(reason);
        result.is_fenced_off = reason == "fence";
    }
    else if (response.status == bad_request)
        result.answer = jobs::start_answer::rejected;
    else if (is_unhealthy(response.status))
        result.answer = jobs::start_answer::unhealthy;
    else if (response.status == misdirected)
    {
        result.answer = jobs::start_answer::rejected;
        result.is_replaced = true;
    }
    else
        throw unexpected_status(response.status, target.where, "start task");
    return result;
}

} // namespace

start_result worker_client::start(const order_target& target,
                                  const jobs::start_order& order,
                                  std::int64_t lease_until_ms,
                                  base::time_point deadline)
{
    json::object body{{"Task", to_string(order.task)},
                      {"RunId", order.run},
                      {"Spec", order.payload},
                      {"UntilMs", lease_until_ms}};
    if (!order.checkpoint.empty())
        body["Checkpoint"] = order.checkpoint;
    const json_response response =
        call_json(client_, target.where,
                  to_request("/-/run-start", target, std::move(body)), deadline,
                  "start task");
    return to_start_result(response, target);
}

bool worker_client::stop(const order_target& target,
                         const jobs::stop_order& order,
                         base::time_point deadline)
{
    const json_response response = call_json(
        client_, target.where,
        to_request("/-/run-stop", target,
                   {{"Task", to_string(order.task)}, {"RunId", order.run}}),
        deadline, "stop task");
    if (response.status != ok)
        return false;
    require_members(response, {"ClockMs"}, target.where, "stop task");
    return true;
}

worker_listing worker_client::list(const order_target& target,
                                   const listing_request& request,
                                   base::time_point deadline)
{
    json::object body{{"LastSeen", request.stored_end}};
    if (request.lease_until_ms > 0)
        body["UntilMs"] = request.lease_until_ms;
    if (request.wait > base::duration::zero())
        body["WaitMs"] = base::count_millis(request.wait);
    const json_response response = call_json(
        client_, target.where, to_request("/-/hold", target, std::move(body)),
        deadline, "list runs");
    worker_listing listing;
    if (response.status == conflict)
        listing.outcome = worker_listing::kind::fenced_off;
    else if (response.status == misdirected)
        listing.outcome = worker_listing::kind::replaced;
    else if (is_unhealthy(response.status))
        listing.outcome = worker_listing::kind::unhealthy;
    else if (response.status != ok)
        throw unexpected_status(response.status, target.where, "list runs");
    else
    {
        require_members(response, {"ClockMs", "Running", "Finished"},
                        target.where, "list runs");
        read_listing(response.body, target.where, listing);
    }
    return listing;
}

} // namespace pimentograde::platform
