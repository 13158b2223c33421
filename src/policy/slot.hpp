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

/// A request for one slot to run one task.
struct slot_request
{
    base::queue_name queue;
    base::pool_name pool;
    base::department_name department;
    base::priority urgency = base::priority::batch;
    base::task_size size;
    /// In the steady clock of the requesting process.
    base::time_point deadline{};
    /// Workers that already failed this task.
    std::vector<base::worker_id> excluded;
    /// Whether this is a retry, which takes a token of the retry budget.
    bool retry = false;
    /// Unique per acquisition and reused as the id of the grant, so that a
    /// caller that lost the response can return the slot. Set by
    /// `slot_service`.
    std::string id;
    /// Estimated run time, 0 if unknown. Set by `slot_service`.
    base::duration expected_time{};
    /// Whether the task can be stopped early without losing its progress.
    bool checkpointable = false;
};

/// Permission to use one slot. The worker may still refuse when it is full.
struct slot_grant
{
    std::string id;
    base::worker_id worker;
    /// Pool of the worker. Differs from the requested pool if the slot is
    /// borrowed.
    base::pool_name pool;
    /// Member that issued the grant; empty if it was granted without a broker.
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
    /// The worker refused the task because it has no free slot.
    worker_full,
    /// The worker refused the task because it accepts no new tasks.
    worker_leaving,
    worker_unreachable,
    /// The slot was returned without being used.
    unused
};

std::string_view to_string(slot_outcome outcome);

/// Callbacks to acquire and release slots for tasks.
struct slot_operations
{
    /// Suspends the fiber until the request is granted or refused.
    std::function<slot_decision(const slot_request&)> acquire;
    /// `run_time` is the run time of the task, 0 if it did not run.
    std::function<void(const slot_request&, const slot_grant&, slot_outcome,
                       base::duration run_time)>
        release;
};

} // namespace pimentograde::policy

#endif
