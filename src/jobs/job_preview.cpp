#include "jobs/job_preview.hpp"

#include "jobs/pool_state.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

std::string list_steps(std::span<const int> steps)
{
    std::string text;
    for (const int step : steps)
        text.append(text.empty() ? "" : ", ").append(std::to_string(step));
    return text;
}

std::string explain_choice(const step_preview& preview, const step_spec& part,
                           const worker_view& chosen)
{
    if (part.data_rack.empty())
        return "the worker with the least free CPU that fits";
    if (chosen.has_label(part.data_rack))
        return "on the rack of its data";
    const auto full = preview.obstacles.find("no room");
    return full == preview.obstacles.end()
               ? "remote: no worker of the rack of its data is usable"
               : "remote: no room on the rack of its data";
}

bool has_ready_tasks(const job& subject, base::wall_time wall)
{
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
        if (subject.steps[position].waiting() > 0 &&
            subject.is_step_ready(position, wall))
            return true;
    return false;
}

std::string explain_refusal(const step_preview& preview)
{
    std::string text = "no worker fits:";
    if (preview.obstacles.empty())
        return "the pool has no worker";
    for (const auto& [obstacle, count] : preview.obstacles)
        text.append(" ")
            .append(std::to_string(count))
            .append(" ")
            .append(obstacle + ",");
    text.pop_back();
    return text;
}

} // namespace

std::string_view obstacle_to(const worker_view& worker,
                             const placement_request& request,
                             base::time_point now)
{
    if (!worker.accepts_starts(now))
        return "not usable";
    if (!request.step->required_label.empty() &&
        !worker.has_label(request.step->required_label))
        return "without the label";
    if (worker.is_reserved(now))
        return "reserved for suspects of crashes";
    if (!worker.free().covers(reserved_resources(*request.step)))
        return "no room";
    if (!meets_constraints(worker, request))
        return "at the limit of the step's tasks";
    return {};
}

step_preview preview_step(const step_spec& part, std::size_t position,
                          std::span<worker_view* const> workers,
                          base::time_point now)
{
    step_preview preview;
    preview.step = position;
    preview.tasks = part.task_count;
    if (!part.after.empty())
    {
        preview.reason = "starts after step " + list_steps(part.after);
        return preview;
    }
    std::map<std::string, int, std::less<>> placed;
    placement_request request;
    request.step = &part;
    request.same_step_count = [&](const worker_view& worker)
    {
        const auto found = placed.find(worker.description.id);
        return found == placed.end() ? 0 : found->second;
    };
    for (const worker_view* worker : workers)
        if (const auto obstacle = obstacle_to(*worker, request, now);
            !obstacle.empty())
            ++preview.obstacles[std::string(obstacle)];
    while (preview.starting < part.task_count)
    {
        worker_view* chosen = choose_worker(workers, request, now);
        if (chosen == nullptr)
            break;
        if (preview.starting++ == 0)
        {
            preview.worker = chosen->description.id;
            preview.rack = chosen->rack();
            preview.reason = explain_choice(preview, part, *chosen);
        }
        chosen->used += reserved_resources(part);
        ++placed[chosen->description.id];
    }
    if (preview.starting == 0)
        preview.reason = explain_refusal(preview);
    else if (part.is_gang && preview.starting < part.task_count)
        preview.reason = "the gang waits: no room for all its tasks at once";
    return preview;
}

job_preview pool_state::preview(const job_spec& spec, std::string_view queue,
                                std::string_view tenant, base::time_point now,
                                base::wall_time wall) const
{
    job subject;
    subject.queue = std::string(queue);
    subject.tenant = std::string(tenant);
    subject.spec = spec;
    subject.accepted_at = now;
    subject.accepted_wall = wall;
    subject.prepare_steps();
    const queue_statistics& statistics = known_statistics(subject);
    subject.refresh_estimates(statistics.run_times);
    subject.is_excess =
        !spec.is_long_running() && shares_.would_exceed(tenant, now);
    const admission_inputs inputs = inputs_for(subject, now, wall);
    job_preview result;
    result.admission = decide_admission(inputs);
    result.backlog_core_seconds = inputs.backlog;
    result.cores = inputs.cores;
    const job_rank rank = rank_of(subject, policy_of(subject), statistics, now);
    result.jobs_ahead = static_cast<int>(
        std::count_if(open_.begin(), open_.end(),
                      [&](const job* other)
                      {
                          return has_ready_tasks(*other, wall) &&
                                 rank_of(*other, policy_of(*other),
                                         known_statistics(*other), now)
                                     .goes_before(rank);
                      }));
    std::vector<worker_view> copies;
    copies.reserve(workers_.size());
    for (const auto& [id, worker] : workers_)
        copies.push_back(worker);
    std::vector<worker_view*> workers;
    workers.reserve(copies.size());
    for (worker_view& worker : copies)
        workers.push_back(&worker);
    for (std::size_t position = 0; position < spec.steps.size(); ++position)
        result.steps.push_back(
            preview_step(spec.steps[position], position, workers, now));
    return result;
}

} // namespace pimentograde::jobs
