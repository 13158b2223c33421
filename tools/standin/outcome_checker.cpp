#include "standin/outcome_checker.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

using runs_by_token =
    std::unordered_map<std::string, std::vector<const execution*>>;

// A run from a checkpoint continues an earlier one.
std::size_t count_starts(const std::vector<const execution*>& runs)
{
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(),
                                                  [](const execution* run)
                                                  { return !run->resumed; }));
}

bool completed_with(const std::vector<const execution*>& runs,
                    std::string_view answer)
{
    return std::any_of(runs.begin(), runs.end(),
                       [answer](const execution* run) {
                           return run->outcome == execution_outcome::done &&
                                  run->answer == answer;
                       });
}

void check_one(const caller_view& caller,
               const std::vector<const execution*>& runs,
               std::vector<violation>& found)
{
    const std::size_t starts = count_starts(runs);
    const auto report = [&](violation_kind kind, std::string detail)
    {
        found.push_back({kind, caller.token, std::move(detail)});
    };
    if (!caller.idempotent && starts > 1)
        report(violation_kind::ran_twice,
               std::to_string(starts) + " starts, first on " +
                   runs.front()->worker + ", last on " + runs.back()->worker);
    if (caller.told_not_run && !runs.empty())
        report(violation_kind::not_run_but_started,
               "started on " + runs.front()->worker);
    if (caller.status == base::work_status::failed && runs.empty())
        report(violation_kind::failed_without_start, "");
    if (caller.status != base::work_status::done)
        return;
    if (!answer_belongs_to(caller.answer, caller.token))
        report(violation_kind::wrong_answer, caller.answer);
    else if (!completed_with(runs, caller.answer))
        report(violation_kind::done_without_execution, caller.answer);
}

} // namespace

std::string_view to_string(violation_kind kind)
{
    switch (kind)
    {
    case violation_kind::ran_twice:
        return "ran_twice";
    case violation_kind::not_run_but_started:
        return "not_run_but_started";
    case violation_kind::done_without_execution:
        return "done_without_execution";
    case violation_kind::wrong_answer:
        return "wrong_answer";
    case violation_kind::failed_without_start:
        break;
    }
    return "failed_without_start";
}

bool answer_belongs_to(std::string_view answer, std::string_view token)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(answer, failure);
    if (failure || !parsed.is_object())
        return false;
    const json::value* repeated = parsed.get_object().if_contains("answer");
    return repeated != nullptr && repeated->is_string() &&
           std::string_view(repeated->get_string()) == token;
}

std::vector<violation> check_outcomes(std::span<const caller_view> callers,
                                      std::span<const execution> executions)
{
    runs_by_token runs;
    for (const execution& run : executions)
        runs[run.token].push_back(&run);
    std::vector<violation> found;
    for (const caller_view& caller : callers)
        check_one(caller, runs[caller.token], found);
    return found;
}

} // namespace pimentograde::standin
