#ifndef PIMENTOGRADE_BASE_WORK_HPP
#define PIMENTOGRADE_BASE_WORK_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"

#include <compare>
#include <string>

namespace pimentograde::base
{

enum class work_kind
{
    /// The caller waits for the complete answer.
    request,
    /// Accepted with an id and run later.
    job
};

/// Identifies a piece of work across retries through any entry instance.
struct work_identity
{
    department_name department;
    caller_name caller;
    /// Idempotency key, chosen by the caller.
    std::string key;

    auto operator<=>(const work_identity&) const = default;
};

/// What a caller submits.
struct submission
{
    work_identity identity;
    work_kind kind = work_kind::request;
    queue_name queue;
    base::priority urgency = base::priority::batch;
    task_size size;
    bool idempotent = false;
    /// The caller states that it has never submitted this key before and
    /// waits for the answer before it does so again.
    bool first = false;
    /// When the caller created the key, by the caller's clock.
    wall_time issued_at{};
    /// How long the caller waits, from arrival.
    duration time_limit{};
    std::string payload;
};

enum class work_status
{
    done,
    /// Recorded; will end as done, failed or not run.
    accepted,
    /// Certainly not run, and it will not be.
    not_run,
    /// May have run; not resolved yet.
    unknown,
    /// Ran and reported a failure, or was stopped after it started.
    failed
};

/// What a caller learns.
struct work_result
{
    work_status status = work_status::unknown;
    std::string answer;
    job_id job;
    /// Why the work was not run or failed, as a short stable word such as
    /// `queue_full`.
    std::string reason;
};

} // namespace pimentograde::base

#endif
