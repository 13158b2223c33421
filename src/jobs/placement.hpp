#ifndef PIMENTOGRADE_JOBS_PLACEMENT_HPP
#define PIMENTOGRADE_JOBS_PLACEMENT_HPP

#include "base/time.hpp"
#include "jobs/crash_history.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/worker_view.hpp"

#include <functional>
#include <span>
#include <string>

namespace pimentograde::jobs
{

/// Requirements of a task on its worker.
struct placement_request
{
    const step_spec* step = nullptr;
    /// Rack to use; empty for any.
    std::string rack;
    /// Id of a worker to use only when no other fits; empty for none.
    std::string avoided;
    /// Returns the number of tasks of the same step on a worker.
    std::function<int(const worker_view&)> same_step_count;
    /// Set for a task that may be the cause of crashes.
    suspicion level = suspicion::none;
    /// Addresses to avoid, if not null.
    const crash_history* crashes = nullptr;
    /// Workers of the pool crash: starts are spread over time.
    bool are_workers_crashing = false;
    /// Whether the task starts together with the other one, as in a gang; such
    /// tasks need not be told apart.
    std::function<bool(const task_id&)> is_same_unit;
    /// How many times as long the task takes away from the rack of its data.
    double remote_factor = 1.0;
    /// If not null, set to whether a slow worker had room and another was
    /// chosen.
    bool* passes_slow_worker = nullptr;
};

/// Resources that a task of the step reserves on its worker. Filler tasks
/// reserve no CPU.
resource_amount reserved_resources(const step_spec& step);

/// Whether the worker has what the step asks for beside resources: the label,
/// and a place under the limit of tasks of the step on one worker.
bool meets_constraints(const worker_view& worker,
                       const placement_request& request);

/// Chooses the worker for a task; returns null when no worker fits. For
/// long-running tasks, avoids workers that are to be maintained soon. Avoids
/// slow workers as far as the task takes longer there. Prefers the rack of the
/// task's data, then the worker with the least free CPU (best fit), so that
/// whole workers stay free for large tasks and for moves. A task that may be
/// the cause of crashes goes to the worker with most free CPU, at an address
/// where none has crashed under it.
worker_view* choose_worker(std::span<worker_view* const> workers,
                           const placement_request& request,
                           base::time_point now);

} // namespace pimentograde::jobs

#endif
