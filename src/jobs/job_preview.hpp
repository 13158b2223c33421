#ifndef PIMENTOGRADE_JOBS_JOB_PREVIEW_HPP
#define PIMENTOGRADE_JOBS_JOB_PREVIEW_HPP

#include "jobs/admission.hpp"
#include "jobs/placement.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::jobs
{

/// Where the tasks of one step would start now.
struct step_preview
{
    std::size_t step = 0;
    int tasks = 0;
    /// Number of its tasks that would start at once.
    int starting = 0;
    /// Worker and rack of the first of them; empty for none.
    std::string worker;
    std::string rack;
    /// Number of workers without room for the first task, by obstacle.
    std::map<std::string, int> obstacles;
    std::string reason;
};

/// What would happen to a job if it were submitted now.
struct job_preview
{
    admission_decision admission;
    double backlog_core_seconds = 0.0;
    double cores = 0.0;
    /// Jobs that wait for room and rank before it.
    int jobs_ahead = 0;
    std::vector<step_preview> steps;
};

/// Why the worker would not get a task now; empty if it would.
std::string_view obstacle_to(const worker_view& worker,
                             const placement_request& request,
                             base::time_point now);

/// Chooses places for the tasks of a step as the planner does, but for crash
/// suspects and waits for a rack. Changes the room of the workers given, which
/// are copies.
step_preview preview_step(const step_spec& part, std::size_t position,
                          std::span<worker_view* const> workers,
                          base::time_point now);

} // namespace pimentograde::jobs

#endif
