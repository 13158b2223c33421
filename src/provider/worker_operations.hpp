#ifndef PIMENTOGRADE_PROVIDER_WORKER_OPERATIONS_HPP
#define PIMENTOGRADE_PROVIDER_WORKER_OPERATIONS_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"
#include "net/endpoint.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pimentograde::provider
{

struct worker_endpoint
{
    base::worker_id id;
    net::endpoint address;
};

enum class lease_state
{
    /// The worker does not know the lease: another incarnation issued it, or
    /// its retention time is over.
    unknown,
    /// Nothing has run; one start is allowed.
    reserved,
    running,
    done,
    /// Ran and reported a failure.
    failed,
    /// Stopped or expired before a start; a later start is refused.
    stopped_unstarted,
    /// Stopped or expired after the start.
    stopped_started
};

struct lease_status
{
    lease_state state = lease_state::unknown;
    std::string answer;
    std::string reason;
    /// Identifies one boot of the worker.
    std::uint64_t incarnation = 0;
    /// Run time so far, or in all.
    base::duration run_time{};
};

enum class reserve_outcome
{
    granted,
    /// No free slot; nothing was done.
    full,
    /// The worker takes no new work.
    leaving,
    /// The task is larger than the worker.
    too_large
};

struct reserve_result
{
    reserve_outcome outcome = reserve_outcome::full;
    base::lease_id lease;
    std::uint64_t incarnation = 0;
    std::uint32_t slots_used = 0;
};

struct task_spec
{
    /// Name of the task in the worker's log.
    std::string task;
    std::string queue;
    base::task_size size;
    std::string payload;
};

/// Result of `run`, which reserves and starts in one call.
struct run_result
{
    reserve_outcome outcome = reserve_outcome::full;
    lease_status status;
};

/// Resource use of one task, sampled some time ago.
struct task_usage
{
    base::lease_id lease;
    std::string queue;
    base::task_size used;
    base::duration run_time{};
};

struct worker_report
{
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::uint32_t slots = 0;
    std::uint32_t slots_used = 0;
    std::vector<task_usage> usage;
};

/// What the platform lets the system do with workers. Each throws
/// `base::error`: with `unavailable` nothing was done, with `timeout` or
/// `cut_off` the worker may have acted.
struct worker_operations
{
    /// Reserves a slot. The lease ends after `ttl` unless started or renewed.
    std::function<reserve_result(const worker_endpoint&, const base::task_size&,
                                 base::duration ttl, base::time_point deadline)>
        reserve;
    /// Starts the task under a reserved lease and waits for its end. A second
    /// start of the same lease returns the state of the first.
    std::function<lease_status(const worker_endpoint&, const base::lease_id&,
                               const task_spec&, base::time_point deadline)>
        start;
    /// Reserves, starts and waits for the end: for idempotent tasks.
    std::function<run_result(const worker_endpoint&, const task_spec&,
                             base::time_point deadline)>
        run;
    std::function<lease_status(const worker_endpoint&, const base::lease_id&,
                               base::time_point deadline)>
        query;
    /// Extends the lease by `ttl` from now.
    std::function<lease_status(const worker_endpoint&, const base::lease_id&,
                               base::duration ttl, base::time_point deadline)>
        renew;
    /// Ends the lease; returns its final state. A later start is refused.
    std::function<lease_status(const worker_endpoint&, const base::lease_id&,
                               base::time_point deadline)>
        stop;
    /// Saves the progress of a running task and ends the lease; the task can
    /// be started again from there.
    std::function<lease_status(const worker_endpoint&, const base::lease_id&,
                               base::time_point deadline)>
        checkpoint;
    /// Limits a running task to `share` (0 to 1] of its size.
    std::function<void(const worker_endpoint&, const base::lease_id&,
                       double share, base::time_point deadline)>
        throttle;
    std::function<worker_report(const worker_endpoint&,
                                base::time_point deadline)>
        report;
    /// Makes the worker refuse new work.
    std::function<void(const worker_endpoint&, base::time_point deadline)>
        drain;
    std::function<void(const worker_endpoint&, base::time_point deadline)>
        undrain;
    /// Restarts an idle worker; its incarnation changes.
    std::function<void(const worker_endpoint&, base::time_point deadline)>
        reboot;
};

enum class listed_state
{
    live,
    leaving
};

struct listed_instance
{
    base::worker_id id;
    listed_state state = listed_state::live;
};

/// The platform's lagging list of live and leaving instances.
struct instance_list_operations
{
    std::function<std::vector<listed_instance>(base::time_point deadline)> list;
};

} // namespace pimentograde::provider

#endif
