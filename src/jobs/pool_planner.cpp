// Planning: chooses which tasks start now, and on which workers.

#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// A run on a worker whose lease lapsed may have failed before that. It counts
// as an attempt until the worker reports its outcome, since the number of
// attempts must not exceed the limit.
bool has_attempts_left(const task& entry, const step_spec& part,
                       const queue_policy& policy)
{
    return part.is_long_running || entry.unresolved_runs == 0 ||
           static_cast<int>(entry.failed_runs.size()) + entry.unresolved_runs <
               policy.max_attempts;
}

// Returns for each resource the largest free amount on any worker.
resource_amount largest_free(std::span<worker_view* const> workers)
{
    resource_amount largest;
    for (const worker_view* worker : workers)
    {
        const resource_amount free = worker->free();
        largest.cpu_millis = std::max(largest.cpu_millis, free.cpu_millis);
        largest.memory_mb = std::max(largest.memory_mb, free.memory_mb);
        largest.gpus = std::max(largest.gpus, free.gpus);
    }
    return largest;
}

// Number of tasks of the step that fit into the room.
int places_in(const resource_amount& room, const step_spec& part)
{
    const int most = part.max_per_worker == 0
                         ? part.task_count
                         : std::min(part.max_per_worker, part.task_count);
    const resource_amount need = reserved_resources(part);
    resource_amount left = room;
    int places = 0;
    for (; places < most && left.covers(need); ++places)
        left -= need;
    return places;
}

using rack_table = std::map<std::string, std::vector<const worker_view*>>;

// The workers that the step may use.
rack_table group_by_rack(std::span<worker_view* const> workers,
                         const step_spec& part)
{
    rack_table racks;
    for (const worker_view* worker : workers)
        if (part.required_label.empty() ||
            worker->has_label(part.required_label))
            racks[worker->rack()].push_back(worker);
    return racks;
}

// Racks with room for all tasks of the step: that of its data first, then the
// one with least room, as single tasks go where they leave least.
std::vector<std::string> racks_with_room(const rack_table& racks,
                                         const step_spec& part)
{
    // Not at the data, free CPU, name.
    std::vector<std::tuple<bool, std::int64_t, std::string>> fitting;
    for (const auto& [rack, workers] : racks)
    {
        int places = 0;
        std::int64_t cpu_millis = 0;
        for (const worker_view* worker : workers)
        {
            places += places_in(worker->free(), part);
            cpu_millis += worker->free().cpu_millis;
        }
        if (places >= part.task_count)
            fitting.emplace_back(rack != part.data_rack, cpu_millis, rack);
    }
    std::sort(fitting.begin(), fitting.end());
    std::vector<std::string> names;
    names.reserve(fitting.size() + 1);
    for (auto& entry : fitting)
        names.push_back(std::move(std::get<std::string>(entry)));
    return names;
}

} // namespace

struct pool_state::plan_basis
{
    base::time_point now;
    ownership held = ownership::contested;
    /// Each worker's runs are certain, so that a task without a run has none.
    bool knows_all_runs = false;
};

struct pool_state::waiting_job
{
    job* subject = nullptr;
    job_rank rank;
    std::vector<std::size_t> positions;
};

// A worker with unknown runs may run tasks of any inherited job.
bool pool_state::are_inherited_runs_known(base::time_point now) const
{
    return std::none_of(workers_.begin(), workers_.end(),
                        [now](const auto& entry)
                        { return entry.second.knowledge.may_hide_runs(now); });
}

bool pool_state::are_all_runs_certain() const
{
    return !has_given_up_worker_ &&
           std::all_of(workers_.begin(), workers_.end(),
                       [](const auto& entry)
                       {
                           return entry.second.knowledge.is_certain() &&
                                  !entry.second.knowledge.is_doubtful();
                       });
}

bool pool_state::rests_on_inference(const job& subject, const task& entry,
                                    const plan_basis& basis)
{
    return entry.is_given_up || (subject.is_inherited && !basis.knows_all_runs);
}

bool pool_state::may_start(const job& subject, const task& entry,
                           const plan_basis& basis)
{
    if (entry.is_done || entry.active || basis.now < entry.not_before)
        return false;
    return basis.held == ownership::exclusive ||
           !rests_on_inference(subject, entry, basis);
}

std::vector<pool_state::waiting_job>
pool_state::waiting_jobs(const resource_amount& free, base::time_point now,
                         base::wall_time wall)
{
    std::vector<waiting_job> waiting;
    const weighted_use use = tenant_use();
    const bool knows_all_runs = are_inherited_runs_known(now);
    for (job* subject : open_)
    {
        if (!subject->is_stored || (subject->is_inherited && !knows_all_runs))
            continue;
        waiting_job entry{subject, {}, {}};
        for (std::size_t position = 0; position < subject->steps.size();
             ++position)
        {
            if (subject->steps[position].waiting() > 0 &&
                free.covers(reserved_resources(subject->spec_of(position))) &&
                subject->is_step_ready(position, wall))
                entry.positions.push_back(position);
        }
        if (entry.positions.empty())
            continue;
        entry.rank = rank_of(*subject, policy_of(*subject),
                             statistics_of(*subject), now);
        entry.rank.is_above_part = use.is_above_part(subject->tenant);
        waiting.push_back(std::move(entry));
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const waiting_job& left, const waiting_job& right)
              { return left.rank.goes_before(right.rank); });
    return waiting;
}

resource_amount pool_state::demand_of(std::span<const waiting_job> waiting)
{
    resource_amount demand;
    for (const waiting_job& entry : waiting)
        for (const std::size_t position : entry.positions)
        {
            const resource_amount need =
                reserved_resources(entry.subject->spec_of(position));
            const int count = entry.subject->steps[position].waiting();
            demand += {need.cpu_millis * count, need.memory_mb * count,
                       need.gpus * count};
        }
    return demand;
}

int pool_state::same_step_count(const worker_view& worker, const job& subject,
                                std::size_t position) const
{
    const task_id first = subject.id_of(position, 0);
    int count = 0;
    for (auto entry = worker.runs.lower_bound(first);
         entry != worker.runs.end() && entry->first.job == first.job &&
         entry->first.occurrence == first.occurrence &&
         entry->first.step == first.step;
         ++entry)
        ++count;
    return count;
}

// Logs the tasks of one step that start together in one line, since a burst
// starts thousands of tasks per second.
void pool_state::log_starts(std::span<const start_order> orders) const
{
    std::string runs;
    for (const start_order& order : orders)
    {
        if (!runs.empty())
            runs += ' ';
        runs += std::to_string(order.task.index) + '#' +
                std::to_string(order.run) + '@' + order.worker;
    }
    const start_order& first = orders.front();
    log_decision({"start", first.task.job, to_string(first.task), first.run,
                  first.worker, std::move(runs)});
}

std::vector<start_order> pool_state::plan(base::time_point now,
                                          base::wall_time wall, ownership held)
{
    if (held == ownership::exclusive)
        for (auto& [id, worker] : workers_)
            worker.knowledge.end_doubt();
    const plan_basis basis{now, held, are_all_runs_certain()};
    if (!planned_since_)
        planned_since_ = now;
    check_inherited_suspects(now, wall);
    std::vector<worker_view*> usable;
    for (auto& [id, worker] : workers_)
        if (worker.accepts_starts(now) && !worker.knowledge.is_doubtful())
            usable.push_back(&worker);
    std::vector<start_order> orders;
    begin_quota_plan(usable, now, wall);
    if (usable.empty())
        return orders;
    if (!std::exchange(has_waiting_suspect_, false))
        release_held_workers(usable, now);
    resource_amount free = largest_free(usable);
    const std::vector<waiting_job> waiting = waiting_jobs(free, now, wall);
    refresh_speeds(usable, now);
    if (plans_waits())
        near_.begin_plan(usable, demand_of(waiting), waiting.size());
    for (const waiting_job& entry : waiting)
        for (const std::size_t position : entry.positions)
        {
            entry.subject->steps[position].near_wait.is_waiting = false;
            if (!free.covers(
                    reserved_resources(entry.subject->spec_of(position))))
                continue;
            const std::size_t planned = orders.size();
            if (entry.subject->spec_of(position).is_gang)
                plan_gang(*entry.subject, position, usable, basis, orders);
            else
                plan_step(*entry.subject, position, usable, basis, orders);
            if (orders.size() == planned)
                continue;
            note_near_starts(*entry.subject, position,
                             std::span(orders).subspan(planned), now);
            free = largest_free(usable);
            log_starts(std::span(orders).subspan(planned));
        }
    return orders;
}

void pool_state::plan_step(job& subject, std::size_t position,
                           std::span<worker_view* const> workers,
                           const plan_basis& basis,
                           std::vector<start_order>& orders)
{
    const base::time_point now = basis.now;
    const step_spec& part = subject.spec_of(position);
    auto& tasks = subject.steps[position].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        task& entry = tasks[index];
        if (!may_start(subject, entry, basis) ||
            !has_attempts_left(entry, part, policy_of(subject)))
            continue;
        if (is_held_back(subject, position, 1))
            return;
        worker_view* worker = choose_beside_waits(
            subject, position, static_cast<int>(index), {}, workers, now);
        if (worker == nullptr && (entry.level() != suspicion::none ||
                                  is_bound_to_late_start(entry, part, now)))
            continue;
        // The tasks of a step are identical: the next one does not fit either.
        if (worker == nullptr)
            return;
        if (waits_near(subject, position, static_cast<int>(index), *worker,
                       workers, now) ||
            waits_for_faster(subject, position, static_cast<int>(index),
                             *worker, workers, now))
            continue;
        if (passes_slow_worker_)
            near_.count_passed_slow();
        const int run = entry.last_run + 1;
        begin_run(subject, position, static_cast<int>(index), run, *worker,
                  run_state::ordered, now);
        orders.push_back({subject.id_of(position, static_cast<int>(index)), run,
                          worker->description.id, subject.spec.payload,
                          entry.checkpoint, record_start(subject, entry),
                          rests_on_inference(subject, entry, basis)});
    }
}

void pool_state::plan_gang(job& subject, std::size_t position,
                           std::span<worker_view* const> workers,
                           const plan_basis& basis,
                           std::vector<start_order>& orders)
{
    const auto& tasks = subject.steps[position].tasks;
    const bool is_waiting = std::all_of(
        tasks.begin(), tasks.end(),
        [&](const task& member) { return may_start(subject, member, basis); });
    if (!is_waiting ||
        is_held_back(subject, position, static_cast<int>(tasks.size())))
        return;
    for (const std::string& rack :
         racks_for(subject, position, workers, basis.now))
        if (start_gang(subject, position, rack, workers, basis, orders))
            return;
    if (near_.is_enabled() && subject.spec_of(position).needs_same_rack &&
        !gang_waits_near(subject, position, workers, basis.now))
        start_gang(subject, position, {}, workers, basis, orders);
}

// The racks to try, an empty name for all together. With the locality wait,
// `gang_waits_near` decides on the latter.
std::vector<std::string>
pool_state::racks_for(job& subject, std::size_t position,
                      std::span<worker_view* const> workers,
                      base::time_point now)
{
    const step_spec& part = subject.spec_of(position);
    const std::string any_rack;
    if (!part.needs_same_rack)
        return {any_rack};
    const rack_table racks = group_by_rack(workers, part);
    std::vector<std::string> names = racks_with_room(racks, part);
    const auto will_have_room = [&](const auto& rack)
    {
        int places = 0;
        for (const worker_view* worker : rack.second)
            places += places_in(room_beside_lasting(*worker, {}), part);
        return places >= part.task_count;
    };
    if (near_.is_enabled())
        return names;
    // It waits for one rack for as long as it would lose on more than one.
    auto& waits_since = subject.steps[position].awaits_rack_since;
    if (!waits_since)
        waits_since = now;
    const double longest_wait =
        (remote_factor_ - 1.0) *
        statistics_of(subject).run_times.expected_seconds(part.estimate);
    const bool has_waited_long =
        base::count_seconds(now - *waits_since) >= longest_wait;
    if (has_waited_long ||
        (names.empty() &&
         std::none_of(racks.begin(), racks.end(), will_have_room)))
        names.push_back(any_rack);
    return names;
}

bool pool_state::start_gang(job& subject, std::size_t position,
                            const std::string& rack,
                            std::span<worker_view* const> workers,
                            const plan_basis& basis,
                            std::vector<start_order>& orders)
{
    const base::time_point now = basis.now;
    auto& tasks = subject.steps[position].tasks;
    int run = 0;
    std::string checkpoint;
    for (const task& member : tasks)
    {
        run = std::max(run, member.last_run);
        if (!member.checkpoint.empty())
            checkpoint = member.checkpoint;
    }
    ++run;
    std::vector<start_order> planned;
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        worker_view* worker = choose_beside_waits(
            subject, position, static_cast<int>(index), rack, workers, now);
        if (worker == nullptr)
            break;
        begin_run(subject, position, static_cast<int>(index), run, *worker,
                  run_state::ordered, now);
        planned.push_back({subject.id_of(position, static_cast<int>(index)),
                           run, worker->description.id, subject.spec.payload,
                           checkpoint});
    }
    if (planned.size() == tasks.size())
    {
        for (start_order& order : planned)
        {
            task& member = tasks[static_cast<std::size_t>(order.task.index)];
            order.required_change = record_start(subject, member);
            order.needs_exclusive_ownership =
                rests_on_inference(subject, member, basis);
        }
        orders.insert(orders.end(), planned.begin(), planned.end());
        subject.steps[position].awaits_rack_since.reset();
        return true;
    }
    for (const start_order& order : planned)
        clear_run(subject, order.task, *subject.find(order.task));
    return false;
}

} // namespace pimentograde::jobs
