#include "jobs/admission.hpp"

#include "jobs/seconds.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// A result later than this multiple of the objective is useless to callers.
// The users' requirements count a job as late up to three times its objective.
constexpr double useful_multiple = 6.0;
constexpr std::chrono::seconds shortest_retry{1};
constexpr std::chrono::seconds longest_retry{20};

} // namespace

admission_decision decide_admission(const admission_inputs& inputs)
{
    admission_decision decision;
    if (inputs.is_long_running)
        return decision;
    if (inputs.cores <= 0.0)
    {
        decision.is_accepted = false;
        decision.retry_after = shortest_retry;
        return decision;
    }
    decision.expected_wait = inputs.backlog / inputs.cores;
    const double latest_wait =
        std::max(0.0, useful_multiple * inputs.objective - inputs.chain);
    if (decision.expected_wait <= latest_wait)
        return decision;
    decision.is_accepted = false;
    decision.retry_after = std::clamp<base::duration>(
        from_seconds(decision.expected_wait - latest_wait), shortest_retry,
        longest_retry);
    return decision;
}

} // namespace pimentograde::jobs
