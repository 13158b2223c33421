// Applies worker reports and answers to the state of the pool.

#include "jobs/lease_bound.hpp"
#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"
#include "jobs/seconds.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// Delay before a failed task starts again, so that a fault that affects the
// whole pool does not use up all attempts at once.
constexpr std::chrono::milliseconds failure_retry_delay{100};
// Delay before a long-running task starts again, however its run ended.
constexpr std::chrono::milliseconds restart_delay{100};
// How long a worker gets no starts after it rejected one for lack of resources;
// its next report usually arrives sooner.
constexpr std::chrono::milliseconds no_room_delay{50};
// A run without progress for this long, plus the task's estimate, is stalled.
// Reports arrive at least once per second while tasks run.
constexpr std::chrono::milliseconds stall_limit{2500};
// A task that has run this long is not the cause of the crashes under it.
constexpr std::chrono::seconds exoneration_time{10};
// Ends are withheld only while a worker lists no more than this.
constexpr std::size_t max_listed_ends = 300;
// A stop order is sent again when the run has not ended after this time.
constexpr std::chrono::milliseconds stop_retry_interval{2000};

std::string describe_state(const task& entry)
{
    if (entry.is_done)
        return "the task is done by run " + std::to_string(entry.done_run);
    if (!entry.active)
        return "no run is current";
    return "run " + std::to_string(entry.active->number) + " is current on " +
           entry.active->worker;
}

// Lists the tasks of a step as INDEX#RUN.
std::string list_done_runs(const step& part)
{
    std::string runs;
    for (std::size_t index = 0; index < part.tasks.size(); ++index)
    {
        if (!runs.empty())
            runs += ' ';
        runs += std::to_string(index) + '#' +
                std::to_string(part.tasks[index].done_run);
    }
    return runs;
}

} // namespace

void pool_state::update_worker(const worker_description& description)
{
    const auto [found, is_new] = workers_.try_emplace(description.id);
    worker_view& worker = found->second;
    if (is_new)
    {
        worker.knowledge = run_knowledge::never_used();
        if (const auto held = held_unknown_.extract(description.id))
            worker.leaving_until = worker.released_until = held.mapped();
    }
    const bool begins_draining =
        description.is_draining && !worker.description.is_draining;
    worker.is_listed = true;
    worker.description = description;
    if (begins_draining)
        log_decision({"worker_draining",
                      {},
                      {},
                      0,
                      description.id,
                      "remaining_ms=" + std::to_string(base::count_millis(
                                            description.remaining))});
}

void pool_state::unlist_worker(std::string_view id, base::time_point now)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr || !std::exchange(worker->is_listed, false))
        return;
    // Where tasks run, the loss is noted with its suspects.
    if (worker->runs.empty() && !worker->may_end_as_planned(now))
        note_loss(*worker, {}, now);
}

void pool_state::forget_worker(std::string_view id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || !found->second.runs.empty())
        return;
    resolve_runs(found->second);
    if (found->second.released_until != base::time_point{})
        held_unknown_.insert_or_assign(found->first,
                                       found->second.released_until);
    has_given_up_worker_ =
        has_given_up_worker_ || !found->second.knowledge.is_certain();
    workers_.erase(found);
}

void pool_state::set_reachable(std::string_view id, bool is_reachable)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
        return;
    worker->is_reachable = is_reachable;
    worker->is_silent = !is_reachable;
}

void pool_state::apply_report(std::string_view id, const worker_report& report,
                              base::time_point sent_at, base::time_point now,
                              base::wall_time wall, ownership held)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
        return;
    const bool is_first_report =
        worker->born_ms == 0 && !worker->knowledge.has_reported();
    if (held == ownership::contested &&
        (is_first_report || report.born_ms != worker->born_ms))
        worker->knowledge.note_doubt();
    const bool has_restarted = report.born_ms != 0 && worker->born_ms != 0 &&
                               report.born_ms != worker->born_ms;
    if (report.born_ms != 0)
        worker->born_ms = report.born_ms;
    if (has_restarted)
        apply_restart(*worker, report, sent_at, now, wall);
    for (const listed_end& row : report.ended)
        if (row.number > worker->applied_end)
        {
            apply_end(*worker, row, now, wall);
            if (!worker->unanswered.empty())
            {
                worker->note_arrived(row.task, row.run);
                count_late_starts(*worker);
            }
            worker->applied_end = row.number;
        }
    // A worker lists a limited number of ends.
    worker->lists_many_ends =
        report.is_truncated || report.ended.size() > max_listed_ends;
    for (const listed_run& row : report.running)
        apply_listed_run(*worker, row, now);
    settle_late_starts(*worker, now);
    note_other_runs(*worker, report);
    worker->lists_unreadable = lists_unreadable(report);
    if (!report.is_truncated)
        reconcile_unlisted_runs(*worker, report, sent_at, now);
    if (!report.is_truncated)
    {
        resolve_runs(*worker);
        confirm_crashes(*worker, now, wall);
    }
    note_alive(*worker, now);
    if (worker->is_inherited && !worker->knowledge.has_reported() &&
        !report.is_truncated)
        log_decision({"worker_heard",
                      {},
                      {},
                      0,
                      worker->description.id,
                      "runs=" + std::to_string(report.running.size()) +
                          " ends=" + std::to_string(report.ended.size())});
    if (worker->heard_since == base::time_point{})
        worker->heard_since = now;
    if (!report.is_truncated)
    {
        worker->knowledge.note_report();
        usage_.note_heard(id);
    }
    worker->is_reachable = true;
    worker->is_silent = false;
    worker->reported_at = now;
    if (worker->description.is_draining)
        evacuate(*worker, now);
}

void pool_state::apply_listed_run(worker_view& worker, const listed_run& row,
                                  base::time_point now)
{
    const std::string& id = worker.description.id;
    if (is_unreadable(row.task.job))
        return;
    job* subject = find(row.task.job);
    task* entry = subject == nullptr ? nullptr : subject->find(row.task);
    if (entry == nullptr || subject->status != job_status::open ||
        entry->is_done)
    {
        const bool is_known =
            entry != nullptr && entry->active && entry->active->worker == id;
        if (!is_known)
        {
            log_unexpected_run(worker, row, entry);
            request_stop(row.task, row.run, id, "the task has ended");
        }
        else if (now - entry->active->since > stop_retry_interval)
        {
            entry->active->since = now;
            request_stop(row.task, row.run, id, "the job has ended");
        }
        return;
    }
    entry->last_run = std::max(entry->last_run, row.run);
    if (entry->crashes.withdraw(row.run, id))
        note_crash_change(*subject);
    if (!row.checkpoint.empty())
        entry->checkpoint = row.checkpoint;
    const std::size_t position = subject->position_of(row.task);
    // An owner starts a task again only after the earlier run has ended.
    if (entry->active && entry->active->is_from_roster &&
        row.run > entry->active->number)
        clear_run(*subject, row.task, *entry);
    if (!entry->active)
    {
        log_decision({"adopt", subject->id, to_string(row.task), row.run, id,
                      "listed by the worker"});
        begin_run(*subject, position, row.task.index, row.run, worker,
                  run_state::running, now);
        worker.note_begun(row.task, now);
        note_arrived(worker, row.task, row.run, *entry);
        return;
    }
    note_arrived(worker, row.task, row.run, *entry);
    if (entry->active->worker != id || entry->active->number != row.run)
    {
        log_unexpected_run(worker, row, entry);
        request_stop(row.task, row.run, id, "another run is current");
        return;
    }
    note_progress(worker, row, row.task, *entry, subject->spec_of(position),
                  now);
}

// The worker lists it until it has stopped: it is logged once.
void pool_state::log_unexpected_run(const worker_view& worker,
                                    const listed_run& row,
                                    const task* entry) const
{
    if (worker.lists_other_runs)
        return;
    log_decision({"run_unexpected", row.task.job, to_string(row.task), row.run,
                  worker.description.id,
                  entry == nullptr ? "the job is unknown or has ended"
                                   : describe_state(*entry)});
}

bool pool_state::lists_unreadable(const worker_report& report) const
{
    const auto is_of_unreadable = [this](const auto& row)
    {
        return is_unreadable(row.task.job);
    };
    return std::any_of(report.running.begin(), report.running.end(),
                       is_of_unreadable) ||
           std::any_of(report.ended.begin(), report.ended.end(),
                       is_of_unreadable);
}

// A worker that lists many ends would list no others.
std::int64_t pool_state::storable_end(const worker_report& report,
                                      std::int64_t before) const
{
    const bool lists_many =
        report.is_truncated || report.ended.size() > max_listed_ends;
    std::int64_t last = before;
    for (const listed_end& row : report.ended)
    {
        if (!lists_many && is_unreadable(row.task.job))
            break;
        last = row.number;
    }
    return last;
}

// A run that is to be stopped takes room until the worker no longer lists it.
void pool_state::note_other_runs(worker_view& worker,
                                 const worker_report& report)
{
    worker.lists_other_runs = false;
    worker.used_by_others = {};
    worker.other_runs.clear();
    worker.has_unknown_runs = false;
    for (const listed_run& row : report.running)
    {
        const auto current = worker.runs.find(row.task);
        if (current != worker.runs.end() && current->second == row.run)
            continue;
        worker.lists_other_runs = true;
        worker.other_runs.push_back(row.task);
        const job* subject = find_job(row.task.job);
        const step_spec* part =
            subject == nullptr ? nullptr : subject->find_spec(row.task);
        if (part != nullptr)
            worker.used_by_others += reserved_resources(*part);
        else
            worker.has_unknown_runs = true;
    }
    count_other_runs(worker);
}

void pool_state::note_progress(worker_view& worker, const listed_run& row,
                               const task_id& id, task& entry,
                               const step_spec& part, base::time_point now)
{
    active_run& run = *entry.active;
    worker.note_begun(id, now);
    run.is_unconfirmed = false;
    run.is_from_roster = false;
    if (run.state == run_state::ordered || run.state == run_state::unsettled)
    {
        run.state = run_state::running;
        run.since = now;
        find(id.job)->has_started = true;
    }
    if (run.state != run_state::running)
    {
        if (now - run.since > stop_retry_interval)
        {
            run.since = now;
            request_stop(id, run.number, run.worker, "the stop is repeated");
        }
        return;
    }
    if (!entry.crashes.empty() && now - run.since >= exoneration_time)
    {
        entry.crashes.clear();
        worker.stop_observing(id);
        note_crash_change(*find(id.job));
    }
    if (row.percent != run.percent)
    {
        run.percent = row.percent;
        run.progressed_at = now;
        return;
    }
    if (part.is_long_running && row.percent == full_percent)
        return;
    if (now - run.progressed_at < stall_limit + part.estimate)
        return;
    worker.health.note_stall(now);
    stop_run(id, entry, "no progress", now);
}

void pool_state::apply_end(worker_view& worker, const listed_end& row,
                           base::time_point now, base::wall_time wall)
{
    job* subject = find(row.task.job);
    task* entry = subject == nullptr ? nullptr : subject->find(row.task);
    if (entry == nullptr)
    {
        log_decision({"run_ended", row.task.job, to_string(row.task), row.run,
                      worker.description.id,
                      std::string(to_string(row.how)) +
                          "; the job is unknown or has ended"});
        return;
    }
    subject->ended_on.insert(worker.description.id);
    subject->has_started = true;
    const std::size_t position = subject->position_of(row.task);
    const bool is_current = entry->active && entry->active->number == row.run &&
                            entry->active->worker == worker.description.id;
    // Successful runs are logged in one line when their step is done.
    if (row.how != end_kind::done || !is_current)
        log_decision({"run_ended", subject->id, to_string(row.task), row.run,
                      worker.description.id,
                      std::string(to_string(row.how)) +
                          (is_current ? "" : "; " + describe_state(*entry))});
    entry->last_run = std::max(entry->last_run, row.run);
    note_arrived(worker, row.task, row.run, *entry);
    if (entry->crashes.withdraw(row.run, worker.description.id))
        note_crash_change(*subject);
    if (!row.checkpoint.empty())
        entry->checkpoint = row.checkpoint;
    if (is_current && row.how == end_kind::done)
    {
        worker.health.note_done();
        const base::duration length = now - entry->active->ordered_at;
        note_speed(*subject, position, worker, length, now);
        // The model predicts rack-local runs: a hot rack would make it slower.
        const bool counts_less =
            near_.is_enabled() && runs_remotely(*subject, position, worker);
        statistics_of(*subject).run_times.add_run(
            subject->spec_of(position).estimate,
            counts_less ? from_seconds(base::count_seconds(length) /
                                       std::max(remote_factor_, 1.0))
                        : length);
    }
    if (is_current)
    {
        clear_run(*subject, row.task, *entry);
        entry->not_before = now;
        entry->is_given_up = false;
    }
    if (subject->status != job_status::open)
    {
        release_if_idle(*subject);
        return;
    }
    if (subject->spec_of(position).is_long_running)
    {
        // The delay keeps a repeatedly failing task from restarting in a loop.
        entry->not_before = now + restart_delay;
        if (row.how == end_kind::failed)
            entry->failed_on = worker.description.id;
        return;
    }
    if (row.how == end_kind::done)
        apply_done(*subject, worker, row, *entry, now, wall);
    else if (row.how == end_kind::failed)
    {
        worker.health.note_failure(subject->id, now);
        entry->failed_on = worker.description.id;
        apply_failure(*subject, row, *entry, now, wall);
    }
    else
        mark_dirty(*subject);
}

void pool_state::apply_done(job& subject, const worker_view& worker,
                            const listed_end& row, task& entry,
                            base::time_point now, base::wall_time wall)
{
    const std::size_t position = subject.position_of(row.task);
    step& part = subject.steps[position];
    const bool is_gang = subject.spec_of(position).is_gang;
    for (std::size_t index = 0; index < part.tasks.size(); ++index)
    {
        task& member = part.tasks[index];
        if (&member != &entry && !is_gang)
            continue;
        if (member.is_done)
            continue;
        member.is_done = true;
        member.done_run = row.run;
        ++part.done;
        // Another run, for example from a late start order, is not needed.
        if (member.active && !is_gang)
            stop_run(subject.id_of(position, static_cast<int>(index)), member,
                     "the task is done", now);
    }
    subject.refresh_estimates(statistics_of(subject).run_times);
    mark_dirty(subject);
    if (part.is_done())
        log_decision({"step_done", subject.id, to_string(row.task), row.run,
                      worker.description.id, list_done_runs(part)});
    if (!subject.all_done())
        return;
    log_decision(
        {"job_completed", subject.id, {}, 0, {}, "all tasks are done"});
    end_job(subject, job_status::completed, wall);
}

void pool_state::apply_failure(job& subject, const listed_end& row, task& entry,
                               base::time_point now, base::wall_time wall)
{
    auto& failed = entry.failed_runs;
    if (std::find(failed.begin(), failed.end(), row.run) != failed.end())
        return;
    failed.push_back(row.run);
    entry.not_before = now + failure_retry_delay;
    mark_dirty(subject);
    const int limit = policy_of(subject).max_attempts;
    if (entry.is_done || static_cast<int>(failed.size()) < limit)
        return;
    log_decision({"job_failed",
                  subject.id,
                  to_string(row.task),
                  row.run,
                  {},
                  "failures=" + std::to_string(failed.size())});
    end_job(subject, job_status::failed, wall);
}

void pool_state::reconcile_unlisted_runs(worker_view& worker,
                                         const worker_report& report,
                                         base::time_point sent_at,
                                         base::time_point now)
{
    std::set<std::pair<task_id, int>> listed;
    for (const listed_run& row : report.running)
        listed.emplace(row.task, row.run);
    const auto runs = worker.runs;
    for (const auto& [name, number] : runs)
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry == nullptr || !entry->active ||
            listed.contains({name, number}) || sent_at <= entry->active->since)
            continue;
        const run_state state = entry->active->state;
        if (state == run_state::unsettled)
        {
            entry->active->is_overdue = entry->active->is_unconfirmed;
            stop_run(name, *entry, "the start got no answer", now);
        }
        if (state != run_state::running && state != run_state::stopped)
            continue;
        log_decision({"run_absent", name.job, to_string(name), number,
                      worker.description.id, "the worker does not list it"});
        if (entry->crashes.withdraw_start(number))
            note_crash_change(*subject);
        clear_run(*subject, name, *entry);
        release_if_idle(*subject);
    }
}

bool pool_state::awaits_start(const start_order& order) const
{
    const job* subject = find_job(order.task.job);
    const task* entry =
        subject == nullptr ? nullptr : subject->find(order.task);
    return entry != nullptr && entry->active &&
           entry->active->number == order.run &&
           entry->active->worker == order.worker &&
           entry->active->state == run_state::ordered;
}

void pool_state::apply_start_answer(const start_order& order,
                                    start_answer answer, base::time_point now)
{
    job* subject = find(order.task.job);
    task* entry = subject == nullptr ? nullptr : subject->find(order.task);
    worker_view* worker = find_worker(order.worker);
    const bool is_current = entry != nullptr && entry->active &&
                            entry->active->number == order.run &&
                            entry->active->worker == order.worker;
    if (answer != start_answer::started)
        log_decision({"start_answered", order.task.job, to_string(order.task),
                      order.run, order.worker, std::string(to_string(answer))});
    // The run may have been given up, or be about to be stopped.
    const bool has_arrived =
        is_current && entry->active->state == run_state::running;
    // An order that was cut off may be carried out later, too.
    const bool may_arrive =
        answer == start_answer::unknown || answer == start_answer::cut_off;
    if (may_arrive && worker != nullptr && !has_arrived)
    {
        if (entry == nullptr)
        {
            worker->note_unanswered(order.task, order.run, now);
            count_late_starts(*worker);
        }
        else
            note_late_start(*worker, order.task, order.run, *entry, now);
    }
    if (!is_current)
        return;
    active_run& run = *entry->active;
    if (answer == start_answer::started || may_arrive)
    {
        // The worker has listed the run meanwhile.
        if (run.state == run_state::running)
            return;
        run.is_unconfirmed = answer != start_answer::started;
        // A stop may have overtaken the order.
        if (run.state != run_state::ordered)
            return;
        run.state =
            run.is_unconfirmed ? run_state::unsettled : run_state::running;
        run.since = now;
        subject->has_started |= !run.is_unconfirmed;
        if (worker != nullptr)
        {
            worker->note_begun(
                order.task, run.is_unconfirmed ? base::time_point::max() : now);
            if (!run.is_unconfirmed)
                note_alive(*worker, now);
        }
        return;
    }
    // The run has not begun, also where the worker has restarted meanwhile.
    if (entry->crashes.withdraw(order.run, order.worker))
        note_crash_change(*subject);
    clear_run(*subject, order.task, *entry);
    entry->not_before = now;
    if (answer == start_answer::no_room && worker != nullptr)
        worker->no_room_until = now + no_room_delay;
    // Until its next report.
    if (answer == start_answer::unreachable && worker != nullptr)
        worker->is_reachable = false;
    if ((answer == start_answer::unhealthy ||
         answer == start_answer::unconfirmed) &&
        worker != nullptr)
        worker->health.note_refusal(now);
    if (answer == start_answer::rejected)
        entry->not_before = now + std::chrono::seconds(1);
    release_if_idle(*subject);
}

void pool_state::apply_stop_answer(const stop_order& order,
                                   bool is_acknowledged, base::time_point now)
{
    worker_view* worker = find_worker(order.worker);
    if (is_acknowledged && worker != nullptr)
        worker->note_late_start_stopped(order.task, order.run);
    job* subject = find(order.task.job);
    task* entry = subject == nullptr ? nullptr : subject->find(order.task);
    const bool is_current = entry != nullptr && entry->active &&
                            entry->active->number == order.run &&
                            entry->active->worker == order.worker;
    if (!is_current || entry->active->state != run_state::stopping)
        return;
    entry->active->since = now;
    // Without an answer the run becomes unsettled again, and the next report
    // shows whether the stop order has to be repeated.
    entry->active->state =
        is_acknowledged ? run_state::stopped : run_state::unsettled;
    if (!is_acknowledged)
        entry->active->stops_by = now + late_call_time;
}

} // namespace pimentograde::jobs
