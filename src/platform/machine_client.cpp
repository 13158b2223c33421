#include "platform/machine_client.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "platform/events.hpp"
#include "platform/json_call.hpp"
#include "platform/worker_entry.hpp"

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned conflict = 409;

fleet::machine_status to_status(const std::string& word)
{
    if (word == "up")
        return fleet::machine_status::up;
    if (word == "moving")
        return fleet::machine_status::moving;
    if (word == "upkeep")
        return fleet::machine_status::in_maintenance;
    return fleet::machine_status::down;
}

fleet::machine to_machine(const json::object& source)
{
    fleet::machine entry;
    entry.id = read_text(source, "Machine");
    entry.pool = read_text(source, "Pool");
    entry.status = to_status(read_text(source, "State"));
    entry.worker = read_text(source, "Id");
    for (const json::value& label : read_array(source, "Labels"))
        if (label.is_string())
            entry.labels.emplace_back(label.get_string());
    entry.capacity = read_capacity(source);
    return entry;
}

// A machine that were missing would count as gone from its wave, so one whose
// other members are unreadable is listed as down.
fleet::machine to_listed_machine(const json::value& row,
                                 const net::endpoint& where)
{
    const json::object* source = row.if_object();
    const json::value* id =
        source == nullptr ? nullptr : source->if_contains("Machine");
    if (id == nullptr || !id->is_string() || id->get_string().empty())
        throw base::error(base::error_code::cut_off, "list machines",
                          net::to_string(where), "a row names no machine");
    try
    {
        return to_machine(*source);
    }
    catch (const base::error& failure)
    {
        log::write(event_machine_unreadable,
                   {{"machine", std::string_view(id->get_string())},
                    {"reason", failure.what()}});
        fleet::machine entry;
        entry.id = std::string(id->get_string());
        entry.status = fleet::machine_status::down;
        return entry;
    }
}

machine_answer order(net::http_client& client, const net::endpoint& where,
                     const machine_authority& authority, const char* path,
                     json::object body, base::time_point deadline,
                     std::string_view step)
{
    const json_response response = call_json(
        client, where,
        {"POST",
         path,
         std::move(body),
         {{"X-Pimentograde-Lease-Holder", authority.holder},
          {"X-Pimentograde-Fencing-Token", std::to_string(authority.fence)}},
         authority.may_order},
        deadline, step);
    if (response.status == ok)
        return machine_answer::done;
    if (response.status == bad_request)
        return machine_answer::invalid;
    if (response.status != conflict)
        throw unexpected_status(response.status, where, step);
    const std::string reason = read_text(response.body, "Reason");
    if (reason == "fence")
        return machine_answer::fenced_off;
    return reason == "wave" ? machine_answer::not_in_wave
                            : machine_answer::busy;
}

} // namespace

std::string_view to_string(machine_answer answer)
{
    switch (answer)
    {
    case machine_answer::done:
        return "done";
    case machine_answer::busy:
        return "busy";
    case machine_answer::fenced_off:
        return "fenced_off";
    case machine_answer::not_in_wave:
        return "not_in_wave";
    case machine_answer::invalid:
        break;
    }
    return "invalid";
}

std::vector<fleet::machine> machine_client::list(base::time_point deadline)
{
    std::vector<fleet::machine> machines;
    std::string token;
    do
    {
        std::string target = "/-/machines";
        if (!token.empty())
            target += "?PageToken=" + encode_query(token);
        const json_response response =
            call_json(client_, where_, {"GET", target, nullptr, {}}, deadline,
                      "list machines");
        if (response.status != ok)
            throw unexpected_status(response.status, where_, "list machines");
        require_members(response, {"Machines"}, where_, "list machines");
        for (const json::value& row : read_array(response.body, "Machines"))
            machines.push_back(to_listed_machine(row, where_));
        const json::value* next = response.body.if_contains("NextToken");
        token.clear();
        if (next != nullptr && next->is_string())
            token = std::string(next->get_string());
    } while (!token.empty());
    return machines;
}

machine_answer machine_client::move(const machine_authority& authority,
                                    const std::string& machine,
                                    const std::string& pool,
                                    base::time_point deadline)
{
    return order(client_, where_, authority, "/-/machine-move",
                 {{"Machine", machine}, {"Pool", pool}}, deadline,
                 "move machine");
}

machine_answer machine_client::maintain(const machine_authority& authority,
                                        const std::string& machine,
                                        std::int64_t wave,
                                        base::time_point deadline)
{
    return order(client_, where_, authority, "/-/machine-upkeep",
                 {{"Machine", machine}, {"Wave", wave}}, deadline,
                 "maintain machine");
}

} // namespace pimentograde::platform
