#ifndef PIMENTOGRADE_POLICY_SLOT_HPP
#define PIMENTOGRADE_POLICY_SLOT_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::policy
{

/// Asks for one slot for one task.
struct slot_request
{
    base::queue_name queue;
    base::pool_name pool;
    base::department_name department;
    base::priority urgency = base::priority::batch;
    base::task_size size;
    /// Steady-clock time of the process that asks.
    base::time_point deadline{};
    /// Workers that already failed this task.
    std::vector<base::worker_id> excluded;
    /// Whether this is another attempt, charged to the retry budget.
    bool retry = false;
    /// Unique for this acquisition; becomes the id of the grant, so that a
    /// caller that lost the response can return it. `slot_service` sets it.
    std::string id;
    /// Estimated run time; 0 unknown. `slot_service` sets it.
    base::duration expected_time{};
    /// Whether the task can be stopped early without losing its progress.
    bool checkpointable = false;
};

/// Permission to use one slot. The worker may still refuse when it is full.
struct slot_grant
{
    std::string id;
    base::worker_id worker;
    /// Pool of the worker; differs from the request's when borrowed.
    base::pool_name pool;
    /// Member that issued the grant; empty when chosen without a broker.
    base::member_id broker;
};

enum class slot_refusal
{
    queue_full,
    wait_too_long,
    too_large,
    no_worker,
    retry_budget,
    stopping
};

std::string_view to_string(slot_refusal refusal);

/// Either a grant or the reason for a refusal.
struct slot_decision
{
    std::optional<slot_grant> grant;
    slot_refusal refusal = slot_refusal::no_worker;
};

inline slot_decision refuse(slot_refusal reason)
{
    return {std::nullopt, reason};
}

enum class slot_outcome
{
    succeeded,
    /// The task ran and failed.
    failed,
    /// The worker refused: no free slot.
    worker_full,
    /// The worker refused: it takes no new work.
    worker_leaving,
    worker_unreachable,
    /// Returned without use.
    unused
};

std::string_view to_string(slot_outcome outcome);

/// How the code that runs tasks gets and returns slots.
struct slot_operations
{
    /// Suspends the fiber until a grant or a refusal.
    std::function<slot_decision(const slot_request&)> acquire;
    /// `run_time` is the time that the task took, 0 when it did not run.
    std::function<void(const slot_request&, const slot_grant&, slot_outcome,
                       base::duration run_time)>
        release;
};

} // namespace pimentograde::policy

#endif
