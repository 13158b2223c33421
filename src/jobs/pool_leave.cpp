// Workers that are to leave: their long-running tasks move as far as the
// availability of their steps allows.

#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// A worker that has not reported for this long may be gone; idle workers report
// about every 2 s.
constexpr std::chrono::milliseconds max_report_age{2800};
// A report may have been under way for this long.
constexpr std::chrono::milliseconds report_delay{100};

bool awaits_place(const task& entry)
{
    return !entry.is_done &&
           (!entry.active || entry.active->state == run_state::stopping ||
            entry.active->state == run_state::stopped);
}

} // namespace

void pool_state::evacuate(worker_view& worker, base::time_point now)
{
    const auto runs = worker.runs;
    for (const auto& [name, number] : runs)
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || !entry->active ||
            entry->active->state != run_state::running)
            continue;
        const std::size_t position = subject->position_of(name);
        const step_spec& part = subject->spec_of(position);
        const bool is_draining = worker.description.is_draining;
        if (part.is_long_running &&
            (is_draining || may_interrupt(*subject, name, now)))
            stop_run(name, *entry, "the worker is leaving", now);
        else if (part.is_checkpointing && is_draining)
            stop_run(name, *entry, "the worker is draining", now);
    }
}

bool pool_state::is_serving(const task_id& name) const
{
    const job* subject = find_job(name.job);
    if (subject == nullptr || subject->steps.empty())
        return false;
    const auto& tasks = subject->steps[subject->position_of(name)].tasks;
    const auto& run = tasks[static_cast<std::size_t>(name.index)].active;
    return run && run->state == run_state::running &&
           run->percent == full_percent;
}

// A worker lists a run until it has stopped, and does not say that it was told
// to by an earlier owner.
bool pool_state::may_be_stopping(const worker_view& worker) const
{
    return worker.is_inherited &&
           worker.reported_at < worker.heard_since + stop_time_ + report_delay;
}

bool pool_state::may_interrupt(const job& subject, const task_id& id,
                               base::time_point now) const
{
    const std::size_t position = subject.position_of(id);
    const auto& tasks = subject.steps[position].tasks;
    int unavailable = 0;
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        bool is_available =
            is_serving(subject.id_of(position, static_cast<int>(index)));
        if (is_available)
        {
            const auto worker = workers_.find(tasks[index].active->worker);
            is_available = worker != workers_.end() &&
                           worker->second.is_reachable &&
                           now - worker->second.reported_at < max_report_age &&
                           now >= tasks[index].active->stops_by &&
                           !may_be_stopping(worker->second);
        }
        if (static_cast<int>(index) != id.index && !is_available)
            ++unavailable;
    }
    return unavailable < std::max(subject.spec_of(position).max_unavailable, 1);
}

lasting_places pool_state::places_on(
    const std::function<bool(const worker_view&)>& is_usable) const
{
    lasting_places places;
    for (const auto& [id, worker] : workers_)
        if (is_usable(worker))
            places.add_worker(worker);
    for (const job* subject : open_)
        for (std::size_t position = 0; position < subject->steps.size();
             ++position)
        {
            if (!subject->spec_of(position).is_long_running)
                continue;
            for (const task& entry : subject->steps[position].tasks)
                if (awaits_place(entry))
                    take_place(places, *subject, position);
        }
    return places;
}

bool pool_state::can_leave(const worker_view& leaving,
                           base::time_point now) const
{
    const lasting_places before = places_on(
        [&](const worker_view& worker)
        {
            return !worker.is_reserved(now) &&
                   (&worker == &leaving ? worker.accepts_starts_if_it_stays(now)
                                        : worker.accepts_starts(now));
        });
    lasting_places after = places_on(
        [&](const worker_view& worker)
        {
            return !worker.is_reserved(now) && &worker != &leaving &&
                   worker.accepts_starts(now);
        });
    if (after.taken() < before.taken())
        return false;
    return std::all_of(leaving.runs.begin(), leaving.runs.end(),
                       [&](const auto& run)
                       {
                           const job* subject = find_job(run.first.job);
                           const task* entry = subject == nullptr
                                                   ? nullptr
                                                   : subject->find(run.first);
                           if (entry == nullptr || awaits_place(*entry))
                               return true;
                           const std::size_t position =
                               subject->position_of(run.first);
                           return !subject->spec_of(position).is_long_running ||
                                  take_place(after, *subject, position);
                       });
}

bool pool_state::take_place(lasting_places& places, const job& subject,
                            std::size_t position) const
{
    return places.take(subject.spec_of(position), subject.steps[position],
                       [&](const worker_view& worker)
                       { return same_step_count(worker, subject, position); });
}

// Nobody has used it. The list of workers may name it before the order to its
// instance arrives.
void pool_state::hold_unknown_worker(std::string_view id,
                                     base::time_point until)
{
    base::time_point& held_until = held_unknown_[std::string(id)];
    held_until = std::max(held_until, until);
}

bool pool_state::prepare_leave(std::string_view id, base::time_point until,
                               base::time_point now)
{
    std::erase_if(held_unknown_,
                  [now](const auto& entry) { return entry.second <= now; });
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
    {
        hold_unknown_worker(id, until);
        return true;
    }
    // Long-running tasks would have no place to go to, for example while all
    // workers of a small pool are to leave.
    const bool is_last = std::none_of(
        workers_.begin(), workers_.end(),
        [&](const auto& entry) {
            return &entry.second != worker && entry.second.accepts_starts(now);
        });
    const bool has_long_running = std::any_of(
        open_.begin(), open_.end(),
        [](const job* subject) { return subject->spec.is_long_running(); });
    // An order to its instance may be under way once it has been released.
    const bool is_released = now < worker->released_until;
    const bool has_to_stay =
        (is_last && has_long_running) ||
        (!is_released && !worker->description.is_draining &&
         !can_leave(*worker, now));
    if (has_to_stay)
    {
        // It takes other tasks again: places may not come for long.
        if (!is_released)
            worker->leaving_until = {};
        return false;
    }
    worker->leaving_until = std::max(worker->leaving_until, until);
    evacuate(*worker, now);
    // Ends that are not stored would be lost with the worker.
    const bool is_free =
        worker->runs.empty() &&
        (worker->knowledge.has_reported() ||
         (!worker->is_listed && worker->knowledge.is_certain())) &&
        !knows_more_than_store(*worker);
    if (is_free)
        worker->released_until = worker->leaving_until;
    return is_free;
}

} // namespace pimentograde::jobs
