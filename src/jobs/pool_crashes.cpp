// Finds the tasks that crash the workers that start them.

#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// How long a worker is kept free of other starts for a task that starts apart,
// and for one that runs alone.
constexpr std::chrono::milliseconds hold_to_start_apart{1000};
constexpr std::chrono::milliseconds hold_to_run_alone{2000};
// How long workers are kept free for one suspect on end; then as long not.
constexpr std::chrono::seconds max_hold{4};
// At most one in this many workers is used to tell suspects apart at a time.
constexpr std::size_t observed_share_divisor = 2;
// How long starts are spread over time after a crash.
constexpr std::chrono::seconds crash_alert{10};
// Losses of so many workers within this time are a burst: they are likely to
// have one cause.
constexpr std::chrono::seconds burst_length{2};
constexpr std::size_t min_losses_of_burst = 3;
// How long a crash that no start explains counts as a sign of others.
constexpr std::chrono::seconds unexplained_crash_retention{20};
constexpr std::chrono::seconds min_observation{5};
// Until a worker is known to have survived a start.
constexpr std::chrono::milliseconds start_to_report{250};
// Before a task that lasts and crashes its workers starts again. Users expect
// such a task back within 6 s.
constexpr std::chrono::seconds min_isolated_restart_pause{1};
constexpr std::chrono::seconds max_isolated_restart_pause{4};

// Doubles with each crash after the second.
base::duration isolated_restart_pause(std::size_t crashes)
{
    base::duration pause = min_isolated_restart_pause;
    for (; crashes > 2 && pause < max_isolated_restart_pause; --crashes)
        pause *= 2;
    return std::min<base::duration>(pause, max_isolated_restart_pause);
}

} // namespace

// Tasks of a gang start together and fail together.
bool pool_state::is_same_unit(const task_id& left, const task_id& right) const
{
    if (left == right)
        return true;
    if (left.job != right.job || left.occurrence != right.occurrence ||
        left.step != right.step)
        return false;
    const job* subject = find_job(left.job);
    return subject != nullptr &&
           subject->spec_of(subject->position_of(left)).is_gang;
}

void pool_state::note_crash_change(job& subject)
{
    ++subject.crash_changes;
    mark_dirty(subject);
}

// Records the start of a task that may be the cause of crashes. Returns the
// change to store before it, or 0.
std::uint64_t pool_state::record_start(job& subject, task& entry)
{
    if (entry.level() == suspicion::none)
        return 0;
    const auto worker = workers_.find(entry.active->worker);
    entry.crashes.add({entry.active->number, entry.active->worker,
                       worker->second.description.address, true, true,
                       crash_evidence::starting});
    note_crash_change(subject);
    return changes_;
}

// The suspects are the tasks whose start the worker is not known to have
// survived; if there are none, all of its tasks.
void pool_state::note_crash(worker_view& worker, run_loss loss,
                            const std::set<task_id>& kept, base::time_point now)
{
    // An order that is overdue hardly arrived just before the crash.
    const auto may_be_cause = [&](const task_id& name)
    {
        const job* subject = find_job(name.job);
        const task* entry = subject == nullptr ? nullptr : subject->find(name);
        const bool is_overdue =
            entry != nullptr && entry->active && entry->active->is_overdue;
        return !kept.contains(name) && !is_overdue;
    };
    std::vector<task_id> suspects;
    for (const recent_start& start : worker.recent_starts)
        if (may_be_cause(start.task))
            suspects.push_back(start.task);
    const bool at_start = !suspects.empty();
    // A worker without known runs that ends may have been moved, or an earlier
    // owner may have started runs on it.
    const bool may_be_explained =
        worker.may_end_as_planned(now) ||
        (worker.runs.empty() &&
         (loss != run_loss::restarted || !worker.knowledge.is_certain()));
    if (!at_start && may_be_explained)
        return;
    if (at_start)
        crash_at_start_at_ = now;
    else
    {
        unexplained_crashes_.push_back(now);
        for (const auto& [name, run] : worker.runs)
            if (may_be_cause(name))
                suspects.push_back(name);
    }
    const bool is_only_suspect =
        std::all_of(suspects.begin(), suspects.end(),
                    [&](const task_id& other)
                    { return is_same_unit(other, suspects.front()); });
    for (const task_id& name : suspects)
        note_suspect(worker, name, loss, at_start, is_only_suspect);
    note_loss(worker, suspects, now);
}

// Whether enough other workers were lost lately that the task was not on.
bool pool_state::is_lost_in_burst(const task_id& name) const
{
    std::set<std::string_view> lost;
    for (const worker_loss& loss : recent_losses_)
    {
        if (std::none_of(loss.suspects.begin(), loss.suspects.end(),
                         [&](const auto& suspect)
                         { return is_same_unit(suspect.first, name); }))
            lost.insert(loss.worker);
        if (lost.size() + 1 >= min_losses_of_burst)
            return true;
    }
    return false;
}

void pool_state::note_loss(const worker_view& worker,
                           std::span<const task_id> suspects,
                           base::time_point now)
{
    std::erase_if(recent_losses_, [&](const worker_loss& loss)
                  { return now - loss.at > burst_length; });
    worker_loss latest{now, worker.description.id, {}};
    for (const task_id& name : suspects)
        if (const auto run = worker.runs.find(name); run != worker.runs.end())
            latest.suspects.insert(*run);
    recent_losses_.push_back(std::move(latest));
    if (recent_losses_.size() < min_losses_of_burst)
        return;
    for (const worker_loss& loss : recent_losses_)
        for (const auto& [name, run] : loss.suspects)
        {
            job* subject = find(name.job);
            task* entry = subject == nullptr ? nullptr : subject->find(name);
            if (entry != nullptr && !entry->crashes.empty() &&
                is_lost_in_burst(name) && entry->crashes.note_burst(run))
                note_crash_change(*subject);
        }
}

void pool_state::note_suspect(worker_view& worker, const task_id& name,
                              run_loss loss, bool at_start,
                              bool is_only_suspect)
{
    job* subject = find(name.job);
    task* entry = subject == nullptr ? nullptr : subject->find(name);
    if (entry == nullptr || !entry->active ||
        subject->status != job_status::open)
        return;
    const active_run& run = *entry->active;
    const bool was_there =
        run.state != run_state::ordered && !run.is_unconfirmed;
    if (loss == run_loss::lapsed && !was_there)
        return;
    crash_evidence evidence = crash_evidence::start_unanswered;
    if (was_there)
        evidence = loss == run_loss::ended ? crash_evidence::confirmed
                                           : crash_evidence::unconfirmed;
    if (evidence == crash_evidence::unconfirmed)
        worker.unconfirmed_crashes.push_back(name);
    entry->crashes.add({run.number, worker.description.id,
                        worker.description.address, at_start, is_only_suspect,
                        evidence});
    note_crash_change(*subject);
    log_decision({"crash_suspect", subject->id, to_string(name), run.number,
                  worker.description.id,
                  "at_start=" + std::to_string(at_start) +
                      " only=" + std::to_string(is_only_suspect) +
                      " was_there=" + std::to_string(was_there) + " crashes=" +
                      std::to_string(entry->crashes.crashes().size())});
}

void pool_state::confirm_crashes(worker_view& worker, base::time_point now,
                                 base::wall_time wall)
{
    for (const task_id& name : std::exchange(worker.unconfirmed_crashes, {}))
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || entry->crashes.empty())
            continue;
        entry->crashes.confirm(worker.description.id);
        note_crash_change(*subject);
        handle_cause(*subject, name, *entry, now, wall);
    }
}

// The last start of an earlier owner may have crashed its worker. The workers
// say first what became of it. A task that lasts starts apart as it is.
void pool_state::check_inherited_suspects(base::time_point now,
                                          base::wall_time wall)
{
    if (inherited_suspects_.empty() || !are_inherited_runs_known(now))
        return;
    for (const task_id& name : std::exchange(inherited_suspects_, {}))
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || entry->active ||
            subject->spec_of(subject->position_of(name)).is_long_running)
            continue;
        handle_cause(*subject, name, *entry, now, wall);
    }
}

// A task that lasts has no limit of attempts, so its job goes on.
void pool_state::handle_cause(job& subject, const task_id& id, task& entry,
                              base::time_point now, base::wall_time wall)
{
    if (subject.status != job_status::open || entry.is_done ||
        entry.crashes.empty() ||
        !entry.crashes.is_cause(crash_chance_at_start(now)))
        return;
    const bool is_lasting =
        subject.spec_of(subject.position_of(id)).is_long_running;
    const std::size_t crashes = entry.crashes.crashes().size();
    log_decision(
        {is_lasting ? "task_isolated" : "job_failed", subject.id, to_string(id),
         entry.last_run, entry.crashes.crashes().back().worker,
         "crashes=" + std::to_string(crashes) +
             " unexplained=" + std::to_string(unexplained_crashes_.size())});
    if (!is_lasting)
    {
        end_job(subject, job_status::failed, wall);
        return;
    }
    entry.is_isolated = true;
    entry.not_before = std::max<base::time_point>(
        entry.not_before, now + isolated_restart_pause(crashes));
}

std::vector<task_id> pool_state::isolated_tasks() const
{
    std::vector<task_id> result;
    for (const job* subject : open_)
        for (std::size_t position = 0; position < subject->steps.size();
             ++position)
        {
            const auto& tasks = subject->steps[position].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index)
                if (tasks[index].is_isolated && !tasks[index].crashes.empty())
                    result.push_back(
                        subject->id_of(position, static_cast<int>(index)));
        }
    return result;
}

// Chance that a worker which crashes by itself does so right after a start.
double pool_state::crash_chance_at_start(base::time_point now)
{
    std::erase_if(unexplained_crashes_, [&](base::time_point at)
                  { return now - at > unexplained_crash_retention; });
    const base::duration observed = std::clamp<base::duration>(
        now - planned_since_.value_or(now), min_observation,
        unexplained_crash_retention);
    const double worker_time =
        base::count_seconds(observed) *
        static_cast<double>(std::max<std::size_t>(workers_.size(), 1));
    return static_cast<double>(unexplained_crashes_.size()) *
           base::count_seconds(start_to_report) / worker_time;
}

void pool_state::note_alive(worker_view& worker, base::time_point at)
{
    for (const task_id& name : worker.note_alive(at))
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || entry->crashes.empty())
            continue;
        if (entry->crashes.note_survived_start())
            unexplained_crashes_.push_back(at);
        if (entry->level() == suspicion::none)
            worker.stop_observing(name);
    }
}

resource_amount pool_state::room_beside_lasting(
    const worker_view& worker,
    const std::function<bool(const task_id&)>& is_own) const
{
    resource_amount room = worker.description.capacity;
    for (const auto& [name, run] : worker.runs)
    {
        const job* subject = find_job(name.job);
        const step_spec* part =
            subject == nullptr ? nullptr : subject->find_spec(name);
        if (part != nullptr &&
            (part->is_long_running || (is_own && is_own(name))))
            room -= reserved_resources(*part);
    }
    return room;
}

// Whether the task can start on the worker once the other tasks there that end
// have ended.
bool pool_state::can_host_later(const worker_view& worker,
                                const placement_request& request) const
{
    const auto is_lasting_neighbour = [&](const auto& run)
    {
        const job* subject = find_job(run.first.job);
        const step_spec* part =
            subject == nullptr ? nullptr : subject->find_spec(run.first);
        return part != nullptr && part->is_long_running &&
               !request.is_same_unit(run.first);
    };
    if (request.level == suspicion::runs_alone &&
        std::any_of(worker.runs.begin(), worker.runs.end(),
                    is_lasting_neighbour))
        return false;
    return meets_constraints(worker, request) &&
           room_beside_lasting(worker, request.is_same_unit)
               .covers(reserved_resources(*request.step));
}

worker_view* pool_state::choose_worker_for(
    job& subject, std::size_t position, int index, const std::string& rack,
    std::span<worker_view* const> workers, base::time_point now)
{
    task& entry =
        subject.steps[position].tasks[static_cast<std::size_t>(index)];
    const step_spec& wanted = subject.spec_of(position);
    const suspicion level = entry.level();
    // A new owner must know of the crashes before the next one.
    if (level != suspicion::none &&
        subject.stored_crash_changes != subject.crash_changes)
        return nullptr;
    if (is_bound_to_late_start(entry, wanted, now))
    {
        // Another start there may crash the worker again.
        if (level != suspicion::none)
            return nullptr;
        const auto late = std::find_if(
            workers.begin(), workers.end(),
            [&](const worker_view* worker)
            { return worker->description.id == entry.late_start_on; });
        if (late == workers.end())
            return nullptr;
        workers = std::span(late, 1);
    }
    const task_id id = subject.id_of(position, index);
    placement_request request{
        &wanted,
        rack,
        entry.failed_on,
        [&](const worker_view& worker)
        { return same_step_count(worker, subject, position); },
        level,
        nullptr,
        is_crashing(now),
        [&](const task_id& other) { return is_same_unit(id, other); },
        std::max(remote_factor_, 1.0),
        &passes_slow_worker_};
    const auto can_host = [&](const worker_view* worker)
    {
        return can_host_later(*worker, request);
    };
    const auto can_host_elsewhere = [&](const worker_view* worker)
    {
        return !entry.crashes.contains_address(worker->description.address) &&
               can_host_later(*worker, request);
    };
    if (level == suspicion::runs_alone &&
        std::none_of(workers.begin(), workers.end(), can_host))
        request.level = suspicion::starts_apart;
    if (level != suspicion::none &&
        std::any_of(workers.begin(), workers.end(), can_host_elsewhere))
        request.crashes = &entry.crashes;
    worker_view* worker = choose_worker(workers, request, now);
    if (worker == nullptr && level != suspicion::none)
        hold_worker(entry, request, workers, now);
    return worker;
}

bool pool_state::is_crashing(base::time_point now) const
{
    return crash_at_start_at_ && now - *crash_at_start_at_ < crash_alert;
}

void pool_state::release_held_workers(std::span<worker_view* const> workers,
                                      base::time_point now)
{
    for (worker_view* worker : workers)
        worker->held_until = std::min(worker->held_until, now);
}

// Keeps a worker free of other starts until a suspect can start there. A
// suspect that goes on waiting for other reasons does so without it.
void pool_state::hold_worker(task& suspect, const placement_request& request,
                             std::span<worker_view* const> workers,
                             base::time_point now)
{
    if (now - suspect.holds_since >= 2 * max_hold)
        suspect.holds_since = now;
    if (now - suspect.holds_since >= max_hold)
        return;
    const auto held = static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(),
        [&](const worker_view* worker) { return worker->is_reserved(now); }));
    if (held >=
        std::max<std::size_t>(workers.size() / observed_share_divisor, 1))
        return;
    worker_view* best = nullptr;
    for (worker_view* worker : workers)
    {
        const bool is_avoided =
            request.crashes != nullptr &&
            request.crashes->contains_address(worker->description.address);
        if (worker->is_reserved(now) || is_avoided ||
            !can_host_later(*worker, request))
            continue;
        if (best == nullptr ||
            worker->free().cpu_millis > best->free().cpu_millis)
            best = worker;
    }
    if (best == nullptr)
        return;
    has_waiting_suspect_ = true;
    best->held_until =
        now + (request.level == suspicion::runs_alone ? hold_to_run_alone
                                                      : hold_to_start_apart);
}

} // namespace pimentograde::jobs
