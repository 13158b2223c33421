#include "load/call_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace pimentograde::load
{

namespace json = boost::json;

namespace
{

constexpr double middle = 0.5;
constexpr double tail = 0.99;

json::value quantile(const std::vector<std::int64_t>& ordered, double share)
{
    if (ordered.empty())
        return nullptr;
    const auto position =
        static_cast<std::size_t>(share * static_cast<double>(ordered.size()));
    return ordered[std::min(position, ordered.size() - 1)];
}

json::object waits_of(std::vector<std::int64_t> waits)
{
    std::sort(waits.begin(), waits.end());
    return {{"count", waits.size()},
            {"p50", quantile(waits, middle)},
            {"p99", quantile(waits, tail)},
            {"max", quantile(waits, 1)}};
}

std::string status_word(const call& one)
{
    switch (one.view.status)
    {
    case base::work_status::done:
        return "done";
    case base::work_status::accepted:
        return "accepted";
    case base::work_status::not_run:
        return "not_run";
    case base::work_status::failed:
        return "failed";
    case base::work_status::unknown:
        break;
    }
    return one.ended ? "unknown" : "pending";
}

// An accepted job waits for its turn, a request only within its bounds.
std::string kind_of(const call& one)
{
    return std::string(one.urgent ? "urgent_" : "batch_") +
           (one.is_job ? "jobs" : "requests");
}

json::object to_json(const std::map<std::string, std::uint64_t>& counts)
{
    json::object result;
    for (const auto& [name, count] : counts)
        result[name] = count;
    return result;
}

} // namespace

std::optional<std::int64_t> started_at_ms(std::string_view answer)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(answer, failure);
    if (failure || !parsed.is_object())
        return std::nullopt;
    const json::value* started =
        parsed.get_object().if_contains("started_at_ms");
    if (started == nullptr || !started->is_int64())
        return std::nullopt;
    return started->get_int64();
}

call& call_table::add(call added)
{
    calls_.push_back(std::move(added));
    return calls_.back();
}

json::object call_table::summary() const
{
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> failures;
    std::map<std::string, std::uint64_t> unresolved;
    std::map<std::string, std::vector<std::int64_t>> waits;
    std::uint64_t resent = 0;
    std::uint64_t wrong = 0;
    for (const call& one : calls_)
    {
        ++statuses[status_word(one)];
        resent += one.resent;
        if (one.view.status == base::work_status::not_run)
            ++refusals[one.reason];
        if (one.view.status == base::work_status::failed)
            ++failures[one.reason];
        if (one.view.status == base::work_status::unknown && one.ended)
            ++unresolved[one.reason];
        if (one.view.status == base::work_status::done &&
            !standin::answer_belongs_to(one.view.answer, one.view.token))
            ++wrong;
        if (one.start_wait_ms)
            waits[kind_of(one)].push_back(*one.start_wait_ms);
    }
    json::object start_waits;
    for (auto& [kind, values] : waits)
        start_waits[kind] = waits_of(std::move(values));
    return {{"calls", calls_.size()},
            {"status", to_json(statuses)},
            {"refused", to_json(refusals)},
            {"failed", to_json(failures)},
            {"unknown", to_json(unresolved)},
            {"resent", resent},
            {"wrong_answers", wrong},
            {"start_wait_ms", std::move(start_waits)}};
}

std::vector<standin::caller_view> call_table::views() const
{
    std::vector<standin::caller_view> views;
    views.reserve(calls_.size());
    for (const call& one : calls_)
        views.push_back(one.view);
    return views;
}

} // namespace pimentograde::load
