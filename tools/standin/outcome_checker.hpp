#ifndef PIMENTOGRADE_STANDIN_OUTCOME_CHECKER_HPP
#define PIMENTOGRADE_STANDIN_OUTCOME_CHECKER_HPP

#include "base/work.hpp"
#include "standin/execution_log.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::standin
{

/// One piece of work as its caller knows it.
struct caller_view
{
    /// `answer` of the payload, unique to this piece of work.
    std::string token;
    bool idempotent = false;
    /// Whether any response said `not_run`.
    bool told_not_run = false;
    /// The last status; `unknown` also when there was no response.
    base::work_status status = base::work_status::unknown;
    /// Answer of `done`.
    std::string answer;
};

enum class violation_kind
{
    /// A non-idempotent task was started more than once.
    ran_twice,
    /// Told not run, but started.
    not_run_but_started,
    /// Told done, but no worker completed it with this answer.
    done_without_execution,
    /// The answer belongs to another task or is damaged.
    wrong_answer,
    /// Told failed, but never started.
    failed_without_start
};

std::string_view to_string(violation_kind kind);

struct violation
{
    violation_kind kind;
    std::string token;
    std::string detail;
};

/// Whether `answer` is a worker's complete answer to the task with `token`.
bool answer_belongs_to(std::string_view answer, std::string_view token);

/// Compares what callers were told with what workers ran.
std::vector<violation> check_outcomes(std::span<const caller_view> callers,
                                      std::span<const execution> executions);

} // namespace pimentograde::standin

#endif
