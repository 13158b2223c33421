// Worker speed: keeps the workers' estimates and decides whether a task waits
// for a faster worker.

#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>
#include <vector>

namespace pimentograde::jobs
{

namespace
{

// Several late runs are to be seen within a second. A pass over 400 workers
// costs too much for each plan of a burst.
constexpr std::chrono::milliseconds refresh_interval{200};

} // namespace

void pool_state::note_speed(job& subject, std::size_t position,
                            worker_view& worker, base::duration length,
                            base::time_point now)
{
    const step_spec& part = subject.spec_of(position);
    if (!uses_speed_ || part.is_long_running || part.is_filler)
        return;
    const double expected =
        statistics_of(subject).run_times.expected_seconds(part.estimate) *
        (runs_remotely(subject, position, worker) ? remote_factor_ : 1.0);
    worker.speed.note_end(base::count_seconds(length), expected, now);
}

void pool_state::refresh_speeds(std::span<worker_view* const> workers,
                                base::time_point now)
{
    if (!uses_speed_ || now < next_speed_refresh_)
        return;
    next_speed_refresh_ = now + refresh_interval;
    std::vector<double> ratios;
    ratios.reserve(workers.size());
    std::vector<running_evidence> evidence;
    for (worker_view* worker : workers)
    {
        evidence.clear();
        for (const auto& [name, number] : worker->runs)
        {
            job* subject = find(name.job);
            const task* entry =
                subject == nullptr ? nullptr : subject->find(name);
            if (entry == nullptr || !entry->active ||
                entry->active->state != run_state::running)
                continue;
            const std::size_t position = subject->position_of(name);
            const step_spec& part = subject->spec_of(position);
            if (part.is_long_running || part.is_filler)
                continue;
            const active_run& run = *entry->active;
            evidence.push_back(
                {base::count_seconds(now - run.ordered_at),
                 base::count_seconds(run.progressed_at - run.ordered_at),
                 run.percent,
                 statistics_of(*subject).run_times.expected_seconds(
                     part.estimate) *
                     (runs_remotely(*subject, position, *worker)
                          ? remote_factor_
                          : 1.0)});
        }
        const double ratio =
            worker->speed.log_ratio(evidence, usual_log_ratio_, now);
        ratios.push_back(ratio);
        const double slowness =
            slowness_of(ratio, usual_log_ratio_, worker->slowness > 1.0);
        if ((slowness > 1.0) != (worker->slowness > 1.0))
            log_decision({slowness > 1.0 ? "worker_slow" : "worker_usual",
                          {},
                          {},
                          0,
                          worker->description.id,
                          "factor=" + std::to_string(slowness) +
                              " runs=" + std::to_string(evidence.size())});
        worker->slowness = slowness;
    }
    usual_log_ratio_ = usual_log_ratio(ratios);
}

// `worker` is the best place now, and a slow one.
bool pool_state::waits_for_faster(job& subject, std::size_t position, int index,
                                  const worker_view& worker,
                                  std::span<worker_view* const> workers,
                                  base::time_point now)
{
    const step_spec& part = subject.spec_of(position);
    const task& entry =
        subject.steps[position].tasks[static_cast<std::size_t>(index)];
    if (!uses_speed_ || worker.slowness <= 1.0 ||
        !may_wait(subject, position) || entry.level() != suspicion::none ||
        is_bound_to_late_start(entry, part, now))
        return false;
    const resource_amount need = reserved_resources(part);
    const auto accepts = [&](const worker_view& candidate)
    {
        return candidate.slowness <= 1.0 &&
               is_worth_waiting_for(candidate, subject, position, entry);
    };
    rack_forecast& forecast =
        forecast_of(forecast_scope::all, {}, workers, now);
    const expected_place place = forecast.next_place(need, accepts);
    locality_case input = locality_case_of(subject, position, now);
    input.remote_factor = worker.slowness;
    // Nobody gains from the room on a slow worker that the task leaves.
    input.delay_of_others = 0.0;
    if (place.worker != nullptr)
    {
        input.place_seconds = place.seconds;
        input.is_certain = place.is_certain;
    }
    const locality_decision chosen = decide_locality(input);
    if (chosen.waits)
    {
        forecast.claim(place, need, input.run_seconds);
        near_.reserve(place);
    }
    note_near_decision(subject, position, chosen, place.seconds, now);
    return chosen.waits;
}

} // namespace pimentograde::jobs
