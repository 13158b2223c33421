#ifndef PIMENTOGRADE_DISPATCH_RUNNER_HOOKS_HPP
#define PIMENTOGRADE_DISPATCH_RUNNER_HOOKS_HPP

#include "config/bundle.hpp"
#include "policy/slot.hpp"
#include "provider/worker_operations.hpp"
#include "records/record_table.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace pimentograde::dispatch
{

/// Dependencies of the runners.
struct runner_hooks
{
    provider::worker_operations workers;
    policy::slot_operations slots;
    /// Returns the current bundle.
    std::function<std::shared_ptr<const config::bundle>()> bundle;
    /// Whether this member currently owns a record shard.
    std::function<bool(std::size_t shard)> owns_shard;
    records::clocks time;
};

/// Timeouts and limits. Correctness does not depend on them.
struct runner_settings
{
    /// A lease expires when it is neither started nor renewed for this long.
    base::duration lease_ttl = std::chrono::seconds{10};
    /// Timeout of store calls, after which recorded work is refused.
    base::duration store_attempt = std::chrono::milliseconds{500};
    /// Timeout of worker calls that do not wait for a task.
    base::duration worker_call = std::chrono::seconds{1};
    /// How long one `start` call waits for the end of a task. After this, the
    /// lease is polled.
    base::duration start_wait = std::chrono::seconds{30};
    base::duration first_poll = std::chrono::milliseconds{100};
    base::duration longest_poll = std::chrono::seconds{2};
    /// A reserved lease found in a record is not stopped for this long, since
    /// its holder may be about to start it.
    base::duration reserved_grace = std::chrono::seconds{1};
    /// How long a fiber waits for a lease whose worker does not answer. After
    /// this, the periodic scan resolves it.
    base::duration follow_time = std::chrono::seconds{60};
    base::duration first_retry = std::chrono::milliseconds{20};
    base::duration longest_retry = std::chrono::seconds{10};
    /// Period of the scan for accepted and orphaned work.
    base::duration scan_interval = std::chrono::seconds{1};
    /// Age of a cached shard after which the scan reads it from the store.
    /// Longer than the scan interval because each read transfers the whole
    /// shard, and only members that could not reach the owner write to the
    /// store without its knowledge.
    base::duration refresh_interval = std::chrono::seconds{5};
    /// The scan skips a started record until it has not changed for this long.
    base::duration orphan_age = std::chrono::seconds{5};
    /// Interval between checks of work whose outcome is lost.
    base::duration unknown_interval = std::chrono::seconds{30};
    /// Maximum time of one wait of a job in the broker's queue.
    base::duration job_slot_wait = std::chrono::seconds{10};
    /// A job for an unknown queue waits this long for a newer bundle before it
    /// ends.
    base::duration unknown_queue_grace = std::chrono::minutes{1};
    /// Maximum age of cached records when callers poll for results. Changes are
    /// always checked against the store.
    base::duration read_age = std::chrono::milliseconds{500};
    std::size_t max_running_jobs = 128;
    std::size_t max_attempts = 4;
    /// An idempotent job ends as failed after failing on this many distinct
    /// workers.
    std::size_t max_failed_workers = 3;
    /// Limits the failed attempts of a job whose pool has fewer workers than
    /// `max_failed_workers`.
    std::size_t max_failures = 6;
};

/// Returns the queue with this name, or null if the bundle has none.
inline const config::queue* find_queue(const config::bundle& bundle,
                                       const base::queue_name& name)
{
    for (const auto& queue : bundle.queues)
        if (queue.name == name)
            return &queue;
    return nullptr;
}

/// Returns the endpoint of a worker, or nullopt if it is not in the bundle.
inline std::optional<provider::worker_endpoint>
find_worker(const config::bundle& bundle, const base::worker_id& id)
{
    for (const auto& worker : bundle.workers)
        if (worker.id == id)
            return provider::worker_endpoint{worker.id, worker.address};
    return std::nullopt;
}

/// Whether the task fits at least one worker of the bundle. The pool is ignored
/// because workers move between pools and slots are lent.
inline bool fits_any_worker(const config::bundle& bundle,
                            const base::task_size& size)
{
    for (const auto& worker : bundle.workers)
        if (base::fits(size, worker.size))
            return true;
    return false;
}

} // namespace pimentograde::dispatch

#endif
