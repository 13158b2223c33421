#include "jobs/admission.hpp"

#include "jobs/seconds.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// A result later than this multiple of the objective is useless to callers.
// The users' requirements count a job as late up to three times its objective.
constexpr double useful_objective_multiple = 6.0;

} // namespace

admission_decision decide_admission(const admission_inputs& inputs)
{
    admission_decision decision;
    if (inputs.is_long_running)
        return decision;
    if (inputs.cores <= 0.0)
    {
        decision.is_accepted = false;
        decision.retry_after = min_retry_after;
        return decision;
    }
    decision.expected_wait = inputs.backlog / inputs.cores;
    if (inputs.is_excess && !inputs.has_room)
    {
        decision.is_accepted = false;
        decision.exceeds_share = true;
        decision.retry_after =
            std::clamp<base::duration>(from_seconds(decision.expected_wait),
                                       min_retry_after, max_retry_after);
        return decision;
    }
    const double latest_wait =
        std::max(0.0, useful_objective_multiple * inputs.objective -
                          inputs.critical_path);
    if (decision.expected_wait <= latest_wait)
        return decision;
    decision.is_accepted = false;
    decision.retry_after = std::clamp<base::duration>(
        from_seconds(decision.expected_wait - latest_wait), min_retry_after,
        max_retry_after);
    return decision;
}

} // namespace pimentograde::jobs
