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

/// What the runners depend on.
struct runner_hooks
{
    provider::worker_operations workers;
    policy::slot_operations slots;
    /// The bundle in force.
    std::function<std::shared_ptr<const config::bundle>()> bundle;
    /// Whether this member owns a record shard now.
    std::function<bool(std::size_t shard)> owns_shard;
    records::clocks time;
};

/// Waits and limits. Correctness does not depend on them.
struct runner_settings
{
    /// A lease that is neither started nor renewed for this long ends.
    base::duration lease_ttl = std::chrono::seconds{10};
    /// Recorded work is refused when the store has not answered by then.
    base::duration store_attempt = std::chrono::milliseconds{500};
    /// Bound of each short call to a worker.
    base::duration worker_call = std::chrono::seconds{1};
    /// How long one `start` or `run` call waits for the end of a task;
    /// afterwards the lease is queried.
    base::duration start_wait = std::chrono::seconds{30};
    base::duration first_poll = std::chrono::milliseconds{100};
    base::duration longest_poll = std::chrono::seconds{2};
    /// A reserved lease found in a record is left alone this long, since its
    /// holder may be about to start it.
    base::duration reserved_grace = std::chrono::seconds{1};
    /// How long a fiber waits for a lease whose worker does not answer,
    /// before the periodic scan takes over.
    base::duration follow_time = std::chrono::seconds{60};
    base::duration first_retry = std::chrono::milliseconds{20};
    base::duration longest_retry = std::chrono::seconds{10};
    /// Period of the scan for accepted and orphaned work.
    base::duration scan_interval = std::chrono::seconds{1};
    /// Age of a shard's cache after which the scan reads the store. Each read
    /// transfers the whole shard, and only members that could not reach the
    /// owner write behind its back, so this is longer than the scan's period.
    base::duration refresh_interval = std::chrono::seconds{5};
    /// A started record is looked at by the scan only after this time without
    /// a change.
    base::duration orphan_age = std::chrono::seconds{5};
    /// Period at which a lost outcome is looked at again.
    base::duration unknown_interval = std::chrono::seconds{30};
    /// How long a job waits in the broker's queue at a time.
    base::duration job_slot_wait = std::chrono::seconds{10};
    /// Jobs of an unknown queue wait this long for a newer bundle.
    base::duration unknown_queue_grace = std::chrono::minutes{1};
    /// Callers poll for results; their view may be this old. Changes are
    /// checked against the store in any case.
    base::duration read_age = std::chrono::milliseconds{500};
    std::size_t max_running_jobs = 128;
    std::size_t max_attempts = 4;
    /// An idempotent job ends as failed after this many distinct workers.
    std::size_t max_failed_workers = 3;
    /// Bounds the attempts of a job whose pool has fewer workers.
    std::size_t max_failures = 6;
};

/// The queue of a bundle, or null.
inline const config::queue* find_queue(const config::bundle& bundle,
                                       const base::queue_name& name)
{
    for (const auto& queue : bundle.queues)
        if (queue.name == name)
            return &queue;
    return nullptr;
}

/// The address of a worker, or nothing when the bundle does not list it.
inline std::optional<provider::worker_endpoint>
find_worker(const config::bundle& bundle, const base::worker_id& id)
{
    for (const auto& worker : bundle.workers)
        if (worker.id == id)
            return provider::worker_endpoint{worker.id, worker.address};
    return std::nullopt;
}

/// Whether at least one worker of the bundle is large enough. Workers move
/// between pools and slots are lent, so the pool does not matter.
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
