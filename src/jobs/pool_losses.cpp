// Runs that are gone with their worker or its lease, and start orders without
// an answer that may still arrive.

#include "jobs/pool_state.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// A stop of a late start is sent again when it has not been acknowledged after
// this time.
constexpr std::chrono::milliseconds late_stop_interval{500};

} // namespace

std::string_view to_string(run_loss loss)
{
    switch (loss)
    {
    case run_loss::lapsed:
        return "the lease has lapsed";
    case run_loss::ended:
        return "the worker has ended";
    case run_loss::restarted:
        break;
    }
    return "the worker has restarted";
}

void pool_state::lose_runs(std::string_view id, run_loss loss,
                           base::time_point now, base::wall_time wall)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
        return;
    // Said once, although a worker that is gone may be asked again.
    if (worker->knowledge.has_reported() || !worker->runs.empty() ||
        !worker->is_silent)
        log_decision({"worker_lost",
                      {},
                      {},
                      0,
                      worker->description.id,
                      std::string(to_string(loss)) + " runs=" +
                          std::to_string(worker->runs.size()) + " heard=" +
                          (worker->knowledge.has_reported() ? "1" : "0")});
    // Crashes that an earlier silence or restart has left open.
    if (loss != run_loss::lapsed)
        confirm_crashes(*worker, now, wall);
    note_crash(*worker, loss, {}, now);
    const auto runs = worker->runs;
    for (const auto& [name, run] : runs)
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || !entry->active)
            continue;
        lose_run(*subject, name, *entry, loss, now);
        // A start without an answer may still arrive, also at the worker's next
        // incarnation.
        if (loss != run_loss::lapsed || !worker->awaits_late_start(name))
            entry->late_start_until = {};
        if (loss == run_loss::lapsed)
        {
            ++entry->unresolved_runs;
            worker->unresolved.push_back(name);
        }
    }
    check_causes(runs, now, wall);
    worker->knowledge.forget_report();
    worker->lists_other_runs = false;
    worker->used_by_others = {};
    worker->other_runs.clear();
    count_other_runs(*worker);
    worker->has_unknown_runs = false;
    if (loss == run_loss::lapsed)
        return;
    worker->applied_end = 0;
    worker->lists_unreadable = false;
    // Another worker answers there: no order arrives any more.
    release_late_starts(*worker);
    forget_ends(*worker);
    resolve_runs(*worker);
}

bool pool_state::end_worker(std::string_view id, base::time_point now,
                            base::wall_time wall)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
        return false;
    // An end that is not stored is known to the worker alone.
    const bool has_ended = worker->runs.empty() &&
                           worker->knowledge.has_reported() &&
                           !knows_more_than_store(*worker);
    log_decision({"worker_said_to_have_ended",
                  {},
                  {},
                  0,
                  worker->description.id,
                  std::string(has_ended ? "taken" : "not taken") + " runs=" +
                      std::to_string(worker->runs.size()) + " heard=" +
                      (worker->knowledge.has_reported() ? "1" : "0")});
    if (!has_ended)
        return false;
    worker->is_listed = false;
    lose_runs(id, run_loss::ended, now, wall);
    return true;
}

void pool_state::lose_long_running_runs(std::string_view id,
                                        base::time_point now,
                                        base::wall_time wall)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
        return;
    std::map<task_id, int> lost;
    std::set<task_id> kept;
    for (const auto& [name, run] : worker->runs)
    {
        const job* subject = find_job(name.job);
        if (subject != nullptr &&
            subject->spec_of(subject->position_of(name)).is_long_running)
            lost.emplace(name, run);
        else
            kept.insert(name);
    }
    if (lost.empty())
        return;
    note_crash(*worker, run_loss::lapsed, kept, now);
    for (const auto& [name, run] : lost)
    {
        job* subject = find(name.job);
        task* entry = subject->find(name);
        if (entry == nullptr || !entry->active)
            continue;
        lose_run(*subject, name, *entry, run_loss::lapsed, now);
        ++entry->unresolved_runs;
        worker->unresolved.push_back(name);
    }
    check_causes(lost, now, wall);
    // The stored roster names these runs.
    worker->recorded = roster_mark::absent;
}

void pool_state::lose_run(job& subject, const task_id& name, task& entry,
                          run_loss loss, base::time_point now)
{
    log_decision({"run_lost", name.job, to_string(name), entry.active->number,
                  entry.active->worker,
                  std::string(to_string(loss)) + " age_ms=" +
                      std::to_string(
                          base::count_millis(now - entry.active->ordered_at))});
    clear_run(subject, name, entry);
    entry.not_before = now;
    entry.is_given_up = true;
}

void pool_state::check_causes(const std::map<task_id, int>& runs,
                              base::time_point now, base::wall_time wall)
{
    for (const auto& [name, run] : runs)
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry != nullptr)
            handle_cause(*subject, name, *entry, now, wall);
        if (subject != nullptr)
            release_if_idle(*subject);
    }
}

// The runs that the new incarnation lists, or may have begun after it was asked
// for the list.
std::set<task_id> pool_state::runs_after_restart(const worker_view& worker,
                                                 const worker_report& report,
                                                 base::time_point sent_at) const
{
    std::set<task_id> kept;
    for (const listed_run& row : report.running)
    {
        const auto found = worker.runs.find(row.task);
        if (found != worker.runs.end() && found->second == row.run)
            kept.insert(row.task);
    }
    for (const auto& [name, number] : worker.runs)
    {
        const job* subject = find_job(name.job);
        const task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry != nullptr && entry->active &&
            entry->active->state != run_state::ordered &&
            !entry->active->is_unconfirmed && entry->active->since > sent_at)
            kept.insert(name);
    }
    return kept;
}

// Only the worker's own report tells of a restart: with the list of runs that
// comes with it, and after the runs that it may not list yet.
void pool_state::apply_restart(worker_view& worker, const worker_report& report,
                               base::time_point sent_at, base::time_point now,
                               base::wall_time wall)
{
    confirm_crashes(worker, now, wall);
    const std::set<task_id> kept = runs_after_restart(worker, report, sent_at);
    note_crash(worker, run_loss::restarted, kept, now);
    auto lost = worker.runs;
    std::erase_if(lost,
                  [&](const auto& run) { return kept.contains(run.first); });
    for (const auto& [name, run] : lost)
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        // The answer to a start that is under way tells what became of it.
        if (entry == nullptr || !entry->active ||
            entry->active->state == run_state::ordered)
            continue;
        if (!entry->active->is_unconfirmed)
        {
            lose_run(*subject, name, *entry, run_loss::restarted, now);
            continue;
        }
        // The start order may still reach the new incarnation. After the next
        // report the run is stopped there, so that it cannot start.
        entry->active->state = run_state::unsettled;
        entry->active->since = now;
        // The earlier incarnation may have carried it out.
        entry->is_given_up = true;
    }
    check_causes(lost, now, wall);
    worker.knowledge.forget_report();
    worker.lists_other_runs = false;
    worker.used_by_others = {};
    worker.other_runs.clear();
    count_other_runs(worker);
    worker.has_unknown_runs = false;
    worker.forget_late_stops();
    settle_late_starts(worker, now);
    worker.forgets_ends_until =
        std::max(worker.forgets_ends_until, worker.acknowledges_until());
    worker.applied_end = 0;
    forget_ends(worker);
    resolve_runs(worker);
}

// An order that may still arrive is stopped beforehand, until this incarnation
// has acknowledged that: a later one knows nothing of it. A task that waits
// does so until then.
void pool_state::settle_late_starts(worker_view& worker, base::time_point now)
{
    for (unanswered_start& start : worker.unanswered)
    {
        job* subject = find(start.task.job);
        task* entry = subject == nullptr ? nullptr : subject->find(start.task);
        if (now >= start.arrives_by || start.is_stopped ||
            now < start.stop_sent_at + late_stop_interval)
            continue;
        const auto current = worker.runs.find(start.task);
        // It is settled as a run.
        if (current != worker.runs.end() && current->second == start.run)
            continue;
        if (entry == nullptr || subject->status != job_status::open ||
            entry->is_done || entry->active)
        {
            start.stop_sent_at = now;
            request_stop(start.task, start.run, worker.description.id,
                         "a late start may arrive");
            continue;
        }
        begin_run(*subject, subject->position_of(start.task), start.task.index,
                  start.run, worker, run_state::unsettled, now);
        entry->active->is_unconfirmed = true;
        entry->active->is_overdue = true;
        // The earlier owner may have started the task elsewhere since.
        entry->active->is_from_roster = worker.is_inherited;
    }
}

void pool_state::note_late_start(worker_view& worker, const task_id& name,
                                 int run, task& entry, base::time_point now)
{
    entry.late_start_until = worker.note_unanswered(name, run, now);
    entry.late_start_on = worker.description.id;
    count_late_starts(worker);
}

void pool_state::release_late_starts(worker_view& worker)
{
    for (const unanswered_start& start : worker.unanswered)
    {
        job* subject = find(start.task.job);
        task* entry = subject == nullptr ? nullptr : subject->find(start.task);
        if (entry != nullptr && entry->late_start_on == worker.description.id)
            entry->late_start_until = {};
    }
    worker.unanswered.clear();
    count_late_starts(worker);
}

// An order is carried out once.
void pool_state::note_arrived(worker_view& worker, const task_id& name, int run,
                              task& entry)
{
    if (!worker.unanswered.empty())
    {
        worker.note_arrived(name, run);
        count_late_starts(worker);
    }
    if (entry.late_start_on == worker.description.id &&
        !worker.awaits_late_start(name))
        entry.late_start_until = {};
}

// A worker that drains is not started again under its id. Long-running tasks
// must not be away for long.
bool pool_state::is_bound_to_late_start(const task& entry,
                                        const step_spec& part,
                                        base::time_point now) const
{
    if (now >= entry.late_start_until)
        return false;
    const auto worker = workers_.find(entry.late_start_on);
    // A worker is forgotten once no order can arrive there.
    if (worker == workers_.end())
        return false;
    // A suspect is not started there again either.
    if (part.is_long_running && (!worker->second.accepts_starts(now) ||
                                 entry.level() != suspicion::none))
        return false;
    return !worker->second.may_end_as_planned(now);
}

void pool_state::resolve_runs(worker_view& worker)
{
    for (const task_id& name : worker.unresolved)
    {
        job* subject = find(name.job);
        if (task* entry = subject == nullptr ? nullptr : subject->find(name))
            --entry->unresolved_runs;
    }
    worker.unresolved.clear();
}

} // namespace pimentograde::jobs
