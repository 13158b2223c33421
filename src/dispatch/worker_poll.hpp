#ifndef PIMENTOGRADE_DISPATCH_WORKER_POLL_HPP
#define PIMENTOGRADE_DISPATCH_WORKER_POLL_HPP

#include "capacity/fleet_observer.hpp"
#include "capacity/move_planner.hpp"
#include "config/bundle.hpp"
#include "provider/worker_operations.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace pimentograde::dispatch
{

struct worker_calls
{
    const provider::worker_operations& workers;
    const provider::instance_list_operations& instances;
    /// Clock of deadlines.
    const std::function<base::time_point()>& steady_now;
    /// Clock of ages, which also runs while the machine is suspended.
    const std::function<base::time_point()>& suspend_aware_now;
    /// Timeout of each call.
    base::duration timeout;
    /// Maximum number of concurrent calls.
    std::size_t concurrency;
};

/// Reports of all workers of a bundle, in the bundle's order.
struct worker_poll_result
{
    std::vector<capacity::worker_sighting> sightings;
    /// Per worker; empty if the worker did not answer.
    std::vector<std::vector<provider::task_usage>> usage;
    /// Time of each worker's call, on the clock of ages.
    std::vector<base::time_point> asked_at;
    std::size_t answered = 0;
};

/// Marks reports that were requested before `oldest` as outdated.
void mark_outdated(worker_poll_result& polled, base::time_point oldest);

/// Reads the instance list and requests a report from each worker. Suspends the
/// fiber. Does not throw when a call fails.
worker_poll_result poll_workers(const worker_calls& calls,
                                const config::bundle& bundle);

/// Slots in use per pool, counting only workers that answered.
std::vector<capacity::pool_load> used_slots(const config::bundle& bundle,
                                            const capacity::fleet_state& state,
                                            const worker_poll_result& polled);

/// Whether `run_worker_actions` would send a command to any worker.
bool has_actions(const config::bundle& bundle,
                 const capacity::fleet_state& state,
                 const worker_poll_result& polled, base::wall_time now);

/// Sends each worker the command that its state requires: drain, checkpoint,
/// reboot or undrain. Each call may be repeated. Sends nothing after
/// `valid_until` of the clock of ages, since another planner may have changed
/// the state by then.
void run_worker_actions(const worker_calls& calls, const config::bundle& bundle,
                        const capacity::fleet_state& state,
                        const worker_poll_result& polled, base::wall_time now,
                        base::time_point valid_until);

} // namespace pimentograde::dispatch

#endif
