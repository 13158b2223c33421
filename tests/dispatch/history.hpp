#ifndef PIMENTOGRADE_TESTS_DISPATCH_HISTORY_HPP
#define PIMENTOGRADE_TESTS_DISPATCH_HISTORY_HPP

#include "dispatch/instance.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentograde::tests
{

/// One key that callers submit in a history.
struct history_key
{
    base::submission work;
    dispatch::submission_origin origin;
};

/// A result that a caller received.
struct caller_answer
{
    std::string key;
    base::work_result result;
};

/// The externally visible events of a history.
struct history_log
{
    std::map<std::string, history_key> keys;
    std::vector<caller_answer> answers;
    /// Jobs that were reported as accepted to a caller.
    std::map<std::string, base::job_id> accepted;
    /// Answers after all faults have ended.
    std::vector<caller_answer> final_answers;
    std::vector<execution> executions;
    bool any_reboot = false;
};

/// Submits work to the design under test.
using submit_function = std::function<base::work_result(
    instance& through, const base::submission&, dispatch::submission_origin)>;

/// Submits through the runners of `src/dispatch`.
base::work_result submit_to_runners(instance& through,
                                    const base::submission& work,
                                    dispatch::submission_origin origin);

/// Runs callers against several instances, one store and four workers, with two
/// rounds of faults: kills, freezes, lost requests and responses, stale reads,
/// store outages, unreachable and rebooting workers, and ownership changes.
history_log run_history(std::uint64_t seed, const submit_function& submit);

/// Checks a history using only the callers' results and the workers' log.
/// Returns the violations found.
std::vector<std::string> check_history(const history_log& log);

} // namespace pimentograde::tests

#endif
