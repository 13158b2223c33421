#ifndef PIMENTOGRADE_DISPATCH_WORKER_ROUND_HPP
#define PIMENTOGRADE_DISPATCH_WORKER_ROUND_HPP

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
    const std::function<base::time_point()>& steady_now;
    /// Limit of each call.
    base::duration timeout;
    /// Calls at the same time.
    std::size_t concurrency;
};

/// Answers of all workers of a bundle, in its order.
struct worker_round
{
    std::vector<capacity::worker_sighting> sightings;
    /// Per worker, empty for one that did not answer.
    std::vector<std::vector<provider::task_usage>> usage;
    /// When each worker was asked.
    std::vector<base::time_point> asked_at;
    std::size_t answered = 0;
};

/// Marks the answers to questions before `oldest` as outdated.
void drop_outdated(worker_round& round, base::time_point oldest);

/// Asks the instance list and each worker. Suspends the fiber; throws nothing
/// for a call that fails.
worker_round ask_workers(const worker_calls& calls,
                         const config::bundle& bundle);

/// Slots in use per pool, as far as workers answered.
std::vector<capacity::pool_load> used_slots(const config::bundle& bundle,
                                            const capacity::fleet_state& state,
                                            const worker_round& round);

/// Whether `act_on_workers` would tell a worker anything.
bool has_actions(const config::bundle& bundle,
                 const capacity::fleet_state& state, const worker_round& round,
                 base::wall_time now);

/// Tells the workers what their state asks for: drain, checkpoint, reboot or
/// undrain. Each call may be repeated. Nothing is told after `until`, since
/// another planner may have changed the state by then.
void act_on_workers(const worker_calls& calls, const config::bundle& bundle,
                    const capacity::fleet_state& state,
                    const worker_round& round, base::wall_time now,
                    base::time_point until);

} // namespace pimentograde::dispatch

#endif
