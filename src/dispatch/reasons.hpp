#ifndef PIMENTOGRADE_DISPATCH_REASONS_HPP
#define PIMENTOGRADE_DISPATCH_REASONS_HPP

#include "policy/slot.hpp"

#include <string_view>

/// Values of `base::work_result::reason`. They are part of the callers' API:
/// their meaning must not change.
namespace pimentograde::dispatch::reason
{

/// The queue holds as many waiting tasks as the bundle allows.
inline constexpr std::string_view queue_full = "queue_full";
/// No slot became free within the queue's or the caller's time limit.
inline constexpr std::string_view wait_too_long = "wait_too_long";
/// Larger than any worker of the pool.
inline constexpr std::string_view too_large = "too_large";
/// No worker can currently take the task.
inline constexpr std::string_view no_worker = "no_worker";
/// Another attempt would exceed the department's retry budget.
inline constexpr std::string_view retry_budget = "retry_budget";
/// The instance is shutting down.
inline constexpr std::string_view stopping = "stopping";
/// The bundle has no such queue.
inline constexpr std::string_view unknown_queue = "unknown_queue";
/// The payload of the job exceeds what a record can hold.
inline constexpr std::string_view payload_too_large = "payload_too_large";
/// The platform's store did not answer. If the status is `unknown`, a retry
/// with the same key returns the outcome.
inline constexpr std::string_view store_unavailable = "store_unavailable";
/// The shard has no room for another record.
inline constexpr std::string_view records_full = "records_full";
/// The key is older than the record retention or too far in the future.
inline constexpr std::string_view key_expired = "key_expired";
/// The worker could not be reached.
inline constexpr std::string_view worker_unreachable = "worker_unreachable";
/// All slots of the worker were in use.
inline constexpr std::string_view worker_full = "worker_full";
/// The worker takes no new work.
inline constexpr std::string_view worker_leaving = "worker_leaving";
/// The worker lost the lease, for example in a reboot; the task may have run.
inline constexpr std::string_view outcome_unknown = "outcome_unknown";
/// The task was stopped after it started, or its lease expired.
inline constexpr std::string_view stopped = "stopped";
/// Failed on three distinct workers, or too often when there are fewer workers;
/// see `failure_limits`.
inline constexpr std::string_view failed_on_workers = "failed_on_workers";
/// Cancelled by its caller.
inline constexpr std::string_view cancelled = "cancelled";
/// The entry instance was lost before it started the task.
inline constexpr std::string_view instance_lost = "instance_lost";
/// The task is still running; a retry with the same key returns the answer.
inline constexpr std::string_view time_limit = "time_limit";
/// The job was ended by an operator.
inline constexpr std::string_view settled = "settled";
/// There is no record of this key or job.
inline constexpr std::string_view no_record = "no_record";
/// The answer is too long for the record and the worker no longer has it.
inline constexpr std::string_view answer_expired = "answer_expired";
/// The task failed without giving a reason.
inline constexpr std::string_view task_failed = "task_failed";

/// Reason text for a broker's refusal.
constexpr std::string_view of(policy::slot_refusal refusal)
{
    switch (refusal)
    {
    case policy::slot_refusal::queue_full:
        return queue_full;
    case policy::slot_refusal::wait_too_long:
        return wait_too_long;
    case policy::slot_refusal::too_large:
        return too_large;
    case policy::slot_refusal::retry_budget:
        return retry_budget;
    case policy::slot_refusal::stopping:
        return stopping;
    case policy::slot_refusal::no_worker:
        break;
    }
    return no_worker;
}

} // namespace pimentograde::dispatch::reason

#endif
