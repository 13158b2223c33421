#include "load/log_fetcher.hpp"

#include "base/error.hpp"
#include "net/http_client.hpp"
#include "standin/request_reader.hpp"

#include <boost/json.hpp>

#include <utility>

namespace pimentograde::load
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds page_timeout{10};

standin::execution_outcome outcome_of(std::string_view word)
{
    using standin::execution_outcome;
    for (const auto outcome :
         {execution_outcome::running, execution_outcome::done,
          execution_outcome::failed, execution_outcome::stopped,
          execution_outcome::checkpointed, execution_outcome::lost})
        if (standin::to_string(outcome) == word)
            return outcome;
    throw base::error(base::error_code::invalid, "fetch log", "",
                      "unknown outcome");
}

standin::execution read_execution(const json::object& object)
{
    const standin::request_reader fields(object);
    standin::execution entry;
    entry.worker = fields.text("worker");
    entry.incarnation = fields.number("incarnation");
    entry.lease = fields.text("lease");
    entry.task = fields.text("task");
    entry.queue = fields.text("queue");
    entry.token = fields.text("token");
    entry.resumed = object.at("resumed").as_bool();
    entry.started_at_ms =
        static_cast<std::int64_t>(fields.number("started_at_ms"));
    entry.ended_at_ms = static_cast<std::int64_t>(fields.number("ended_at_ms"));
    entry.outcome = outcome_of(fields.text("outcome"));
    entry.answer = fields.text("answer");
    return entry;
}

} // namespace

std::vector<standin::execution> fetch_log(const net::endpoint& control)
{
    const auto client = net::http_client::builder{}.build();
    std::vector<standin::execution> entries;
    while (true)
    {
        const std::string target =
            "/log?from=" + std::to_string(entries.size());
        const auto response =
            client->send(control, {"GET", target, {}, {}, {}},
                         base::steady_now() + page_timeout, "fetch log");
        const json::value page = json::parse(response.body);
        for (const json::value& entry : page.at("entries").as_array())
            entries.push_back(read_execution(entry.as_object()));
        if (entries.size() >= page.at("total").to_number<std::size_t>())
            return entries;
    }
}

} // namespace pimentograde::load
