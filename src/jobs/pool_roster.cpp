// The roster of a pool: what an owner leaves to the next one about the workers
// that it may have used, and what the next one takes over.

#include "jobs/lease_bound.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// Limits the writes of the roster while many orders get no answer. An owner
// that is killed leaves out the late starts of this time.
constexpr std::chrono::milliseconds late_start_record_interval{500};

// The runs that the entry says, without late starts of tasks that wait.
std::size_t count_runs(const roster_entry& entry)
{
    if (!entry.runs)
        return 0;
    const auto is_late_start = [&](const roster_run& run)
    {
        return std::any_of(entry.late_starts.begin(), entry.late_starts.end(),
                           [&](const roster_late_start& start) {
                               return start.task == run.task &&
                                      start.run == run.run;
                           });
    };
    return static_cast<std::size_t>(std::count_if(
        entry.runs->begin(), entry.runs->end(),
        [&](const roster_run& run) { return !is_late_start(run); }));
}

} // namespace

void pool_state::inherit_worker(const roster_entry& entry,
                                base::time_point deadline, base::time_point now)
{
    const auto [found, is_new] =
        workers_.try_emplace(entry.worker.id, worker_view{});
    worker_view& worker = found->second;
    worker.is_inherited = true;
    worker.born_ms = entry.worker.born_ms;
    worker.is_silent = entry.is_silent;
    worker.recorded =
        entry.runs ? roster_mark::without_starts : roster_mark::with_starts;
    worker.lease_ends_by = deadline;
    if (entry.hold_left)
        worker.leaving_until = worker.released_until = now + *entry.hold_left;
    worker.knowledge = entry.runs ? run_knowledge::stated_by_roster()
                                  : run_knowledge::unknown_until(deadline);
    if (is_new)
    {
        worker.description = entry.worker;
        worker.is_listed = false;
    }
    for (const task_id& name : entry.unresolved)
    {
        job* subject = find(name.job);
        task* lapsed = subject == nullptr ? nullptr : subject->find(name);
        if (lapsed == nullptr)
            continue;
        ++lapsed->unresolved_runs;
        worker.unresolved.push_back(name);
    }
    for (const roster_late_start& start : entry.late_starts)
        inherit_late_start(worker, start, now);
    count_late_starts(worker);
    if (!entry.runs)
        hide_runs(worker, entry.worker.capacity, deadline, now);
    if (!entry.runs)
        return;
    worker.recorded_runs = entry.runs->size();
    worker.lists_unreadable = std::any_of(
        entry.runs->begin(), entry.runs->end(),
        [this](const roster_run& run) { return is_unreadable(run.task.job); });
    for (const roster_run& run : *entry.runs)
        inherit_run(worker, run, now);
}

void pool_state::inherit_run(worker_view& worker, const roster_run& inherited,
                             base::time_point now)
{
    job* subject = find(inherited.task.job);
    task* entry = subject == nullptr ? nullptr : subject->find(inherited.task);
    if (entry == nullptr || subject->status != job_status::open ||
        entry->is_done || entry->active)
        return;
    begin_run(*subject, subject->position_of(inherited.task),
              inherited.task.index, inherited.run, worker,
              inherited.is_confirmed ? run_state::running
                                     : run_state::unsettled,
              now);
    entry->active->is_unconfirmed = !inherited.is_confirmed;
    entry->active->is_overdue = !inherited.is_confirmed;
    if (!inherited.is_confirmed && !worker.awaits_late_start(inherited.task))
        note_late_start(worker, inherited.task, inherited.run, *entry, now);
    entry->active->is_from_roster = true;
    if (!inherited.is_starting)
        worker.forget_start(inherited.task);
}

// The time that is left begins anew with each owner, so that it never ends too
// early.
void pool_state::inherit_late_start(worker_view& worker,
                                    const roster_late_start& inherited,
                                    base::time_point now)
{
    const base::time_point arrives_by = now + inherited.time_left;
    worker.unanswered.push_back(
        {inherited.task, inherited.run, arrives_by, true});
    job* subject = find(inherited.task.job);
    task* entry = subject == nullptr ? nullptr : subject->find(inherited.task);
    if (entry == nullptr)
        return;
    entry->last_run = std::max(entry->last_run, inherited.run);
    if (arrives_by <= entry->late_start_until)
        return;
    entry->late_start_until = arrives_by;
    entry->late_start_on = worker.description.id;
}

std::vector<roster_late_start>
pool_state::late_starts_for_roster(const worker_view& worker,
                                   base::time_point now)
{
    std::vector<roster_late_start> starts;
    for (const unanswered_start& start : worker.unanswered)
        if (now < start.arrives_by)
            starts.push_back({start.task, start.run, start.arrives_by - now});
    return starts;
}

std::vector<roster_run> pool_state::runs_for_roster(const worker_view& worker,
                                                    base::time_point now)
{
    std::vector<roster_run> runs;
    for (const auto& [name, number] : worker.runs)
    {
        job* subject = find(name.job);
        const task* entry = subject == nullptr ? nullptr : subject->find(name);
        const bool is_confirmed = entry != nullptr && entry->active &&
                                  entry->active->state == run_state::running &&
                                  !entry->active->is_unconfirmed;
        runs.push_back({name, number, is_confirmed, worker.is_starting(name)});
    }
    // Stopped before they have arrived: the next owner stops them again if the
    // worker has restarted by then. For owners that do not read `late_starts`.
    for (const unanswered_start& start : worker.unanswered)
    {
        if (now >= start.arrives_by)
            continue;
        const job* subject = find_job(start.task.job);
        const task* entry =
            subject == nullptr ? nullptr : subject->find(start.task);
        if (entry != nullptr && subject->status == job_status::open &&
            !entry->is_done && !entry->active)
            runs.push_back({start.task, start.run, false, false});
    }
    return runs;
}

// An end that is not stored is known to the worker alone: the next owner has to
// ask. A write under way may fail.
bool pool_state::has_unstored_ends(const worker_view& worker) const
{
    const auto has_ended_there = [&](const job* subject)
    {
        return subject->ended_on.contains(worker.description.id);
    };
    return std::any_of(dirty_.begin(), dirty_.end(), has_ended_there) ||
           std::any_of(writing_.begin(), writing_.end(), has_ended_there);
}

// The worker's incarnation is gone, and the ends that it has listed with it.
void pool_state::forget_ends(const worker_view& worker)
{
    for (const auto* jobs : {&dirty_, &writing_})
        for (job* subject : *jobs)
            subject->ended_on.erase(worker.description.id);
}

roster_mark pool_state::wanted_mark(const worker_view& worker,
                                    base::time_point now) const
{
    const roster_mark mark = worker.wanted_mark(now);
    return mark != roster_mark::with_starts && knows_more_than_store(worker)
               ? roster_mark::with_starts
               : mark;
}

bool pool_state::can_forget(std::string_view id, base::time_point now) const
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return true;
    const worker_view& worker = found->second;
    // Unless it comes back, nobody will hear of these ends.
    const bool is_lost = worker.is_silent && now >= worker.lease_ends_by;
    return !worker.is_listed && worker.runs.empty() &&
           (is_lost || !worker.lists_unreadable) &&
           !has_unstored_ends(worker) && !worker.awaits_late_starts(now) &&
           now >= worker.acknowledges_until() &&
           !worker.knowledge.may_hide_runs(now);
}

std::vector<roster_entry> pool_state::roster(base::time_point now)
{
    roster_taken_at_ = now;
    std::vector<roster_entry> result;
    for (auto& [id, worker] : workers_)
    {
        const roster_mark wanted = wanted_mark(worker, now);
        // From here on nothing is started there, whether the write succeeds or
        // not.
        if (wanted != roster_mark::with_starts &&
            worker.recorded == roster_mark::with_starts)
            worker.recorded = roster_mark::absent;
        if (wanted == roster_mark::absent)
            continue;
        result.push_back({worker.described_as_known(), worker.is_silent});
        result.back().unresolved = worker.unresolved;
        result.back().late_starts = late_starts_for_roster(worker, now);
        if (wanted == roster_mark::without_starts)
            result.back().runs = runs_for_roster(worker, now);
    }
    return result;
}

// Nobody waits for their answers any more.
void pool_state::note_orders_under_way(worker_view& worker,
                                       base::time_point now)
{
    for (const auto& [name, number] : worker.runs)
    {
        job* subject = find(name.job);
        task* entry = subject == nullptr ? nullptr : subject->find(name);
        if (entry != nullptr && entry->active &&
            entry->active->state == run_state::ordered)
            note_late_start(worker, name, number, *entry, now);
    }
}

std::vector<roster_entry> pool_state::final_roster(base::time_point now)
{
    std::vector<roster_entry> result;
    for (auto& [id, worker] : workers_)
    {
        worker.recorded = roster_mark::absent;
        if (!worker.may_run_something() && !knows_more_than_store(worker) &&
            !worker.awaits_late_starts(now))
            continue;
        roster_entry entry{worker.described_as_known(), worker.is_silent};
        entry.unresolved = worker.unresolved;
        note_orders_under_way(worker, now);
        entry.late_starts = late_starts_for_roster(worker, now);
        // An end that is not stored is known to the worker alone: the next
        // owner has to ask.
        if (worker.knowledge.is_certain() && dirty_.empty() &&
            writing_.empty() && !worker.lists_unreadable)
            entry.runs = runs_for_roster(worker, now);
        entry.lease_left = std::max<base::duration>(worker.lease_ends_by - now,
                                                    base::duration::zero());
        if (now < worker.released_until)
            entry.hold_left = worker.released_until - now;
        result.push_back(std::move(entry));
    }
    return result;
}

void pool_state::note_recorded(std::span<const roster_entry> roster)
{
    std::map<std::string_view, roster_mark> marks;
    for (const roster_entry& entry : roster)
        marks[entry.worker.id] =
            entry.runs ? roster_mark::without_starts : roster_mark::with_starts;
    for (auto& [id, worker] : workers_)
    {
        const auto found = marks.find(id);
        worker.recorded =
            found == marks.end() ? roster_mark::absent : found->second;
    }
    for (const roster_entry& entry : roster)
        if (worker_view* worker = find_worker(entry.worker.id))
        {
            worker->recorded_runs = count_runs(entry);
            for (const roster_late_start& start : entry.late_starts)
                worker->note_recorded(start.task, start.run);
        }
    recorded_workers_ = roster.size();
}

bool pool_state::is_roster_outdated(base::time_point now) const
{
    const bool records_late_starts =
        now >= roster_taken_at_ + late_start_record_interval;
    std::size_t count = 0;
    for (const auto& [id, worker] : workers_)
    {
        const roster_mark wanted = wanted_mark(worker, now);
        if (wanted != roster_mark::absent)
            ++count;
        if (wanted != roster_mark::absent && worker.recorded != wanted)
            return true;
        if (records_late_starts && worker.has_unrecorded_late_starts(now))
            return true;
        // The runs of a silent worker have been lost.
        if (wanted == roster_mark::without_starts && worker.runs.empty() &&
            worker.recorded_runs > 0)
            return true;
    }
    return count != recorded_workers_;
}

base::time_point pool_state::withholds_ends_until(std::string_view id) const
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? base::time_point{}
                                   : found->second.withholds_ends_until();
}

void pool_state::begin_acknowledgement(std::string_view id,
                                       base::time_point now)
{
    if (worker_view* worker = find_worker(id))
        worker->acknowledgement_under_way_until = now + late_call_time;
}

void pool_state::end_acknowledgement(std::string_view id, bool may_arrive)
{
    if (worker_view* worker = find_worker(id))
        worker->end_acknowledgement(may_arrive);
}

bool pool_state::may_forget_ends(std::string_view id,
                                 base::time_point now) const
{
    const auto found = workers_.find(id);
    return found != workers_.end() && now < found->second.forgets_ends_until;
}

void pool_state::set_lease_end(std::string_view id, base::time_point at)
{
    worker_view* worker = find_worker(id);
    if (worker == nullptr)
        return;
    worker->lease_ends_by = at;
    worker->knowledge.note_lease(at);
}

} // namespace pimentograde::jobs
