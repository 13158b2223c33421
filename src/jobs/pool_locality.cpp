// Locality wait: decides for tasks with a rack, and for gangs on one rack,
// whether they wait for a rack-local place or start remotely.

#include "jobs/ordering.hpp"
#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace pimentograde::jobs
{

namespace
{

bool has_active_run(const job& subject)
{
    return std::any_of(subject.steps.begin(), subject.steps.end(),
                       [](const step& part) { return part.active > 0; });
}

// Number of places for the step in the room on one worker.
int places_in(resource_amount room, const step_spec& part)
{
    const resource_amount need = reserved_resources(part);
    const int most =
        part.max_per_worker == 0 ? part.task_count : part.max_per_worker;
    int places = 0;
    for (; places < most && room.covers(need); ++places)
        room -= need;
    return places;
}

std::string format_seconds(double seconds)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return text.data();
}

} // namespace

// Whether a run of the step is slower there than near its data or its group.
bool pool_state::runs_remotely(const job& subject, std::size_t position,
                               const worker_view& worker) const
{
    const step_spec& part = subject.spec_of(position);
    if (!part.needs_same_rack)
        return !part.data_rack.empty() && !worker.has_label(part.data_rack);
    const auto& tasks = subject.steps[position].tasks;
    return std::any_of(tasks.begin(), tasks.end(),
                       [&](const task& member)
                       {
                           if (!member.active)
                               return false;
                           const auto other =
                               workers_.find(member.active->worker);
                           return other != workers_.end() &&
                                  other->second.rack() != worker.rack();
                       });
}

std::vector<room_release>
pool_state::expected_releases(const worker_view& worker, base::time_point now)
{
    std::vector<room_release> releases;
    releases.reserve(worker.runs.size());
    for (const auto& [name, number] : worker.runs)
    {
        job* subject = find(name.job);
        const task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || !entry->active)
            continue;
        const std::size_t position = subject->position_of(name);
        const step_spec& part = subject->spec_of(position);
        if (part.is_long_running)
            continue;
        const active_run& run = *entry->active;
        const double expected =
            statistics_of(*subject).run_times.expected_seconds(part.estimate) *
            (runs_remotely(*subject, position, worker) ? remote_factor_ : 1.0) *
            worker.slowness;
        const auto rest = rest_of_run(
            {base::count_seconds(now - run.ordered_at),
             base::count_seconds(run.progressed_at - run.ordered_at),
             run.percent, expected});
        if (rest)
            releases.push_back(
                {rest->seconds, reserved_resources(part), rest->is_certain});
    }
    return releases;
}

rack_forecast& pool_state::forecast_of(forecast_scope scope,
                                       const std::string& name,
                                       std::span<worker_view* const> workers,
                                       base::time_point now)
{
    const std::string key =
        std::to_string(static_cast<int>(scope)) + ' ' + name;
    if (rack_forecast* known = near_.find(key))
        return *known;
    const auto is_in_scope = [&](const worker_view& worker)
    {
        if (scope == forecast_scope::label)
            return worker.has_label(name);
        return scope == forecast_scope::all || worker.rack() == name;
    };
    rack_forecast forecast;
    for (worker_view* worker : workers)
        if (is_in_scope(*worker) && !worker->is_reserved(now))
            forecast.add_worker(*worker, expected_releases(*worker, now));
    return near_.add(key, std::move(forecast));
}

worker_view* pool_state::choose_beside_waits(
    job& subject, std::size_t position, int index, const std::string& rack,
    std::span<worker_view* const> workers, base::time_point now)
{
    const task& entry =
        subject.steps[position].tasks[static_cast<std::size_t>(index)];
    const resource_amount need = reserved_resources(subject.spec_of(position));
    worker_view* worker = nullptr;
    if (near_.has_reservations() && entry.level() == suspicion::none)
        worker = choose_worker_for(subject, position, index, rack,
                                   near_.unreserved(workers, need), now);
    if (worker == nullptr)
        worker =
            choose_worker_for(subject, position, index, rack, workers, now);
    return worker;
}

locality_case pool_state::locality_case_of(const job& subject,
                                           std::size_t position,
                                           base::time_point now)
{
    const step_spec& part = subject.spec_of(position);
    const auto& since = subject.steps[position].near_wait.since;
    locality_case input;
    input.run_seconds =
        statistics_of(subject).run_times.expected_seconds(part.estimate);
    input.remote_factor = remote_factor_;
    resource_amount need = reserved_resources(part);
    if (part.is_gang)
        need.cpu_millis *= part.task_count;
    input.delay_of_others =
        near_.delay_of_others(need, (remote_factor_ - 1.0) * input.run_seconds);
    input.objective_seconds =
        base::count_seconds(objective_of(subject, policy_of(subject)) - now) -
        std::max(0.0, subject.estimates.critical_path_left - input.run_seconds);
    input.waited_seconds = since ? base::count_seconds(now - *since) : 0.0;
    input.is_job_running = has_active_run(subject);
    return input;
}

// A step waits once, for one interval, so that its total wait is bounded. An
// inherited job with nothing running may have waited under its earlier owner.
bool pool_state::may_wait(const job& subject, std::size_t position)
{
    return !subject.steps[position].near_wait.is_over &&
           !subject.spec_of(position).is_long_running &&
           (!subject.is_inherited || has_active_run(subject));
}

bool pool_state::is_worth_waiting_for(const worker_view& worker,
                                      const job& subject, std::size_t position,
                                      const task& entry) const
{
    const step_spec& part = subject.spec_of(position);
    return (part.required_label.empty() ||
            worker.has_label(part.required_label)) &&
           worker.description.id != entry.failed_on &&
           (part.max_per_worker == 0 ||
            same_step_count(worker, subject, position) < part.max_per_worker);
}

// `worker` is the place for a remote start.
bool pool_state::waits_near(job& subject, std::size_t position, int index,
                            const worker_view& worker,
                            std::span<worker_view* const> workers,
                            base::time_point now)
{
    const step_spec& part = subject.spec_of(position);
    const task& entry =
        subject.steps[position].tasks[static_cast<std::size_t>(index)];
    if (!near_.is_enabled() || remote_factor_ <= 1.0 ||
        !may_wait(subject, position) || part.data_rack.empty() ||
        worker.has_label(part.data_rack) || entry.level() != suspicion::none ||
        is_bound_to_late_start(entry, part, now))
        return false;
    const resource_amount need = reserved_resources(part);
    const auto accepts = [&](const worker_view& candidate)
    {
        return candidate.slowness <= 1.0 &&
               is_worth_waiting_for(candidate, subject, position, entry);
    };
    rack_forecast& forecast =
        forecast_of(forecast_scope::label, part.data_rack, workers, now);
    const expected_place place = forecast.next_place(need, accepts);
    locality_case input = locality_case_of(subject, position, now);
    input.remote_factor *= worker.slowness;
    if (place.worker != nullptr)
    {
        input.place_seconds = place.seconds;
        input.is_certain = place.is_certain;
        input.waiting_ahead = forecast.claims();
    }
    else
        input.has_place_ever = std::any_of(
            workers.begin(), workers.end(),
            [&](const worker_view* candidate)
            {
                return candidate->has_label(part.data_rack) &&
                       accepts(*candidate) &&
                       room_beside_lasting(*candidate, {}).covers(need);
            });
    const locality_decision chosen = near_.decide(input);
    if (chosen.waits && place.worker != nullptr)
    {
        forecast.claim(place, need, input.run_seconds);
        near_.reserve(place);
    }
    note_near_decision(subject, position, chosen, place.seconds, now);
    return chosen.waits;
}

// Whether the gang, which no rack has room for now, waits for one.
bool pool_state::gang_waits_near(job& subject, std::size_t position,
                                 std::span<worker_view* const> workers,
                                 base::time_point now)
{
    if (remote_factor_ <= 1.0 || !may_wait(subject, position))
        return false;
    const step_spec& part = subject.spec_of(position);
    const resource_amount need = reserved_resources(part);
    const auto accepts = [&](const worker_view& candidate)
    {
        return part.required_label.empty() ||
               candidate.has_label(part.required_label);
    };
    int places_now = 0;
    std::map<std::string, int> places_ever;
    for (const worker_view* worker : workers)
    {
        if (!accepts(*worker))
            continue;
        places_now += places_in(worker->free(), part);
        places_ever[worker->rack()] +=
            places_in(room_beside_lasting(*worker, {}), part);
    }
    // Without room for a remote start there is nothing to decide.
    if (places_now < part.task_count)
        return false;
    locality_case input = locality_case_of(subject, position, now);
    input.has_place_ever = false;
    std::vector<expected_place> best;
    std::string best_rack;
    for (const auto& [rack, places] : places_ever)
    {
        if (places < part.task_count)
            continue;
        input.has_place_ever = true;
        auto next = forecast_of(forecast_scope::rack, rack, workers, now)
                        .next_places(need, part.task_count, part.max_per_worker,
                                     accepts);
        if (next.empty() ||
            (!best.empty() && next.back().seconds >= best.back().seconds))
            continue;
        best = std::move(next);
        best_rack = rack;
    }
    if (!best.empty())
    {
        input.place_seconds = best.back().seconds;
        input.is_certain = best.back().is_certain;
    }
    const locality_decision chosen = near_.decide(input);
    if (chosen.waits)
        for (const expected_place& place : best)
        {
            forecast_of(forecast_scope::rack, best_rack, workers, now)
                .claim(place, need, input.run_seconds);
            near_.reserve(place);
        }
    note_near_decision(subject, position, chosen,
                       best.empty() ? 0.0 : best.back().seconds, now);
    return chosen.waits;
}

void pool_state::note_near_decision(job& subject, std::size_t position,
                                    const locality_decision& chosen,
                                    double place_seconds, base::time_point now)
{
    step_wait& wait = subject.steps[position].near_wait;
    wait.reason = chosen.reason;
    wait.is_waiting |= chosen.waits;
    if (!chosen.waits || wait.since)
        return;
    wait.since = now;
    wait.expected_seconds = place_seconds;
    log_decision({"wait_begun",
                  subject.id,
                  to_string(subject.id_of(position, 0)),
                  0,
                  {},
                  "expected_s=" + format_seconds(place_seconds) +
                      " gain_s=" + format_seconds(chosen.gain_seconds)});
}

// After the step was planned: its wait ends with a start that leaves no task
// waiting.
void pool_state::note_near_starts(job& subject, std::size_t position,
                                  std::span<const start_order> starts,
                                  base::time_point now)
{
    const step_spec& part = subject.spec_of(position);
    if (!plans_waits() || part.is_long_running || starts.empty())
        return;
    const bool has_rack = !part.data_rack.empty() || part.needs_same_rack;
    bool is_last_local = false;
    for (const start_order& order : starts)
    {
        worker_view* worker = find_worker(order.worker);
        is_last_local = worker != nullptr && worker->slowness <= 1.0 &&
                        !runs_remotely(subject, position, *worker);
        if (worker != nullptr)
            near_.note_start(*worker, reserved_resources(part));
        if (has_rack && (!part.is_gang || &order == starts.data()))
            near_.count_start(is_last_local);
    }
    step_wait& wait = subject.steps[position].near_wait;
    // A task that was started without a decision, for example where a late
    // start may arrive, does not end the wait of the others.
    const bool is_undecided =
        !is_last_local && wait.reason == locality_reason::place_expected;
    if (!wait.since || wait.is_waiting || wait.is_over || is_undecided)
        return;
    wait.is_over = true;
    const double waited = base::count_seconds(now - *wait.since);
    const std::string_view reason = !is_last_local ? to_string(wait.reason)
                                    : has_rack     ? "rack_local"
                                                   : "faster_worker";
    near_.count_wait(reason, waited);
    log_decision({"wait_ended", subject.id, to_string(starts.back().task),
                  starts.back().run, starts.back().worker,
                  "reason=" + std::string(reason) +
                      " expected_s=" + format_seconds(wait.expected_seconds) +
                      " actual_s=" + format_seconds(waited)});
}

} // namespace pimentograde::jobs
