#ifndef PIMENTOGRADE_JOBS_PLACEMENT_HPP
#define PIMENTOGRADE_JOBS_PLACEMENT_HPP

#include "base/time.hpp"
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
    /// Id of a worker to use only when no other fits; empty for none.
    std::string avoided;
    /// Returns the number of tasks of the same step on a worker.
    std::function<int(const worker_view&)> same_step_count;
};

/// Resources that a task of the step reserves on its worker. Filler tasks
/// reserve no CPU.
resource_amount reserved_resources(const step_spec& step);

/// Chooses the worker for a task; returns null when no worker fits. For
/// long-running tasks, avoids workers that are to be maintained soon. Prefers
/// the rack of the task's data, then the worker with the least free CPU (best
/// fit), so that whole workers stay free for large tasks and for moves.
worker_view* choose_worker(std::span<worker_view* const> workers,
                           const placement_request& request,
                           base::time_point now);

} // namespace pimentograde::jobs

#endif
