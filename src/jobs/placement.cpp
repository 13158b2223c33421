#include "jobs/placement.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// Whether a crash right after the start would have one suspect.
bool keeps_suspects_apart(const worker_view& worker,
                          const placement_request& request,
                          base::time_point now)
{
    const auto is_same_unit = [&](const task_id& other)
    {
        return request.is_same_unit && request.is_same_unit(other);
    };
    if (!std::all_of(worker.observed.begin(), worker.observed.end(),
                     is_same_unit))
        return false;
    if (request.level == suspicion::none)
        return now >= worker.held_until && (!request.are_workers_crashing ||
                                            !worker.has_many_recent_starts());
    if (request.level == suspicion::runs_alone)
        return std::all_of(worker.runs.begin(), worker.runs.end(),
                           [&](const auto& entry)
                           { return is_same_unit(entry.first); });
    return std::all_of(worker.recent_starts.begin(), worker.recent_starts.end(),
                       [&](const recent_start& start)
                       { return is_same_unit(start.task); });
}

bool can_host(const worker_view& worker, const placement_request& request,
              base::time_point now)
{
    const step_spec& step = *request.step;
    if (!worker.accepts_starts(now) ||
        !worker.free().covers(reserved_resources(step)) ||
        !keeps_suspects_apart(worker, request, now) ||
        (request.level != suspicion::none && request.crashes != nullptr &&
         request.crashes->contains_address(worker.description.address)))
        return false;
    return meets_constraints(worker, request);
}

struct preference
{
    bool is_avoided = false;
    /// How many times as long the task takes if a worker is slow.
    double run_factor = 1.0;
    bool is_on_data_rack = false;
    /// The CPU left, or less than 0 where more is better.
    std::int64_t cpu_left = 0;

    [[nodiscard]] bool is_better_than(const preference& other) const
    {
        if (is_avoided != other.is_avoided)
            return !is_avoided;
        if (run_factor != other.run_factor)
            return run_factor < other.run_factor;
        if (is_on_data_rack != other.is_on_data_rack)
            return is_on_data_rack;
        return cpu_left < other.cpu_left;
    }
};

} // namespace

resource_amount reserved_resources(const step_spec& step)
{
    resource_amount room = step.need;
    if (step.is_filler)
        room.cpu_millis = 0;
    return room;
}

bool meets_constraints(const worker_view& worker,
                       const placement_request& request)
{
    const step_spec& step = *request.step;
    if (!step.required_label.empty() && !worker.has_label(step.required_label))
        return false;
    if (!request.rack.empty() && worker.rack() != request.rack)
        return false;
    return step.max_per_worker == 0 ||
           request.same_step_count(worker) < step.max_per_worker;
}

worker_view* choose_worker(std::span<worker_view* const> workers,
                           const placement_request& request,
                           base::time_point now)
{
    worker_view* best = nullptr;
    preference best_preference;
    bool has_slow = false;
    for (worker_view* worker : workers)
    {
        if (!can_host(*worker, request, now))
            continue;
        const bool would_move_soon =
            request.step->is_long_running && worker->is_leaving_soon;
        const bool is_near = !request.step->data_rack.empty() &&
                             worker->has_label(request.step->data_rack);
        const bool is_remote = !request.step->data_rack.empty() && !is_near;
        has_slow |= worker->slowness > 1.0;
        const bool is_suspect = request.level != suspicion::none;
        const preference current{
            worker->description.id == request.avoided || would_move_soon,
            worker->slowness * (is_remote ? request.remote_factor : 1.0),
            is_near,
            is_suspect ? -worker->free().cpu_millis
                       : worker->free().cpu_millis};
        if (best != nullptr && !current.is_better_than(best_preference))
            continue;
        best = worker;
        best_preference = current;
    }
    if (request.passes_slow_worker != nullptr)
        *request.passes_slow_worker =
            has_slow && best != nullptr && best->slowness <= 1.0;
    return best;
}

} // namespace pimentograde::jobs
