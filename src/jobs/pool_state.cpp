#include "jobs/pool_state.hpp"

#include "jobs/job_record.hpp"
#include "jobs/placement.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

constexpr double millis_per_core = 1000.0;

// Limits the age of a restored job on the steady clock, since the wall clock
// may have jumped.
constexpr std::chrono::minutes max_restored_age{10};
// How long the peak size of the pool counts in admission.
constexpr std::chrono::seconds peak_retention{60};
// Starts of one task since its record was stored, at most; the runs of two
// owners must not share a number.
constexpr int max_unstored_starts = 100;
// A submission this long after its first refusal counts as a new one.
constexpr std::chrono::seconds refusal_retention{20};
constexpr std::chrono::seconds refusal_removal_interval{1};
// A submission may be under way for this long; calls take 10 s at most.
constexpr std::chrono::seconds denial_retention{20};
constexpr std::chrono::seconds denial_removal_interval{1};
// How long calls that were left unanswered count for the whole pool.
constexpr std::chrono::seconds unanswered_calls_memory{30};

} // namespace

reported_status to_reported(job_status status, bool has_started)
{
    switch (status)
    {
    case job_status::completed:
        return reported_status::completed;
    case job_status::failed:
        return reported_status::failed;
    case job_status::cancelled:
        return reported_status::cancelled;
    case job_status::open:
        break;
    }
    return has_started ? reported_status::running : reported_status::queued;
}

pool_state::pool_state(std::string pool) : pool_(std::move(pool)), quota_(pool_)
{
}

void pool_state::on_decision(decision_hook hook)
{
    decision_hook_ = std::move(hook);
}

void pool_state::log_decision(const decision& entry) const
{
    if (decision_hook_)
        decision_hook_(entry);
}

void pool_state::set_policy(const queue_policy& policy)
{
    policies_[policy.name] = policy;
}

void pool_state::add_policy(const queue_policy& policy)
{
    if (!policy.name.empty())
        policies_.try_emplace(policy.name, policy);
}

const queue_policy& pool_state::policy_of(const job& subject) const
{
    static const queue_policy unknown_queue;
    const auto found = policies_.find(subject.queue);
    return found == policies_.end() ? unknown_queue : found->second;
}

queue_statistics& pool_state::statistics_of(const job& subject)
{
    return statistics_[subject.queue];
}

const queue_statistics& pool_state::known_statistics(const job& subject) const
{
    static const queue_statistics no_statistics;
    const auto found = statistics_.find(subject.queue);
    return found == statistics_.end() ? no_statistics : found->second;
}

job* pool_state::find(std::string_view id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const job* pool_state::find_job(std::string_view id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

worker_view* pool_state::find_worker(std::string_view id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

void pool_state::mark_dirty(job& subject)
{
    ++changes_;
    if (dirty_.insert(&subject).second)
        subject.unwritten_since = changes_;
}

void pool_state::mark_unwritten(job& subject)
{
    if (subject.written_since != 0)
        subject.unwritten_since = subject.written_since;
    end_write(subject);
    dirty_.insert(&subject);
}

void pool_state::end_write(job& subject)
{
    subject.written_since = 0;
    writing_.erase(&subject);
}

base::time_point pool_state::first_submitted_at(std::string_view id,
                                                base::time_point now)
{
    const auto is_old = [now](const auto& entry)
    {
        return now - entry.second > refusal_retention;
    };
    // A tenant beyond its share leaves thousands of entries: a pass over them
    // for each submission takes longer than the decision.
    if (now >= next_refusal_removal_)
    {
        next_refusal_removal_ = now + refusal_removal_interval;
        std::erase_if(first_refused_at_, is_old);
    }
    const auto found = first_refused_at_.find(id);
    if (found == first_refused_at_.end())
        return now;
    if (!is_old(*found))
        return found->second;
    first_refused_at_.erase(found);
    return now;
}

// Recent peak of the usable cores: machines that were lent to other pools
// return to a pool that needs them.
void pool_state::note_usable_cores(base::time_point now)
{
    const double cores = usable_cores(now);
    if (cores >= peak_cores_ || now - peak_at_ > peak_retention)
    {
        peak_cores_ = cores;
        peak_at_ = now;
    }
}

double pool_state::known_peak_cores(base::time_point now) const
{
    const double cores = usable_cores(now);
    // A new owner accepts jobs before its workers have reported.
    if (cores <= 0.0)
        return expected_cores();
    return now - peak_at_ > peak_retention ? cores
                                           : std::max(cores, peak_cores_);
}

admission_inputs pool_state::inputs_for(const job& subject,
                                        base::time_point now,
                                        base::wall_time wall) const
{
    admission_inputs inputs;
    inputs.is_excess = subject.is_excess;
    inputs.has_room = !inputs.is_excess || has_room_for(subject, now, wall);
    inputs.backlog =
        inputs.is_excess ? backlog() : backlog() - excess_backlog();
    inputs.cores = known_peak_cores(now);
    inputs.critical_path = subject.estimates.critical_path;
    inputs.objective =
        base::count_seconds(objective_of(subject, policy_of(subject)) - now);
    inputs.is_long_running = subject.spec.is_long_running();
    return inputs;
}

submit_result pool_state::submit(std::string_view id, job_spec spec,
                                 std::string_view queue, base::time_point now,
                                 base::wall_time wall, std::string_view tenant)
{
    submit_result result;
    if (const job* known = find(id))
    {
        result.outcome = submit_result::kind::known;
        result.is_excess = known->is_excess;
        return result;
    }
    job subject;
    subject.id = std::string(id);
    subject.queue = std::string(queue);
    subject.tenant = std::string(tenant);
    subject.spec = std::move(spec);
    subject.accepted_at = first_submitted_at(id, now);
    subject.accepted_wall = wall;
    subject.prepare_steps();
    const queue_policy& policy = policy_of(subject);
    subject.policy = policy;
    queue_statistics& statistics = statistics_of(subject);
    subject.refresh_estimates(statistics.run_times);
    subject.is_excess = result.is_excess =
        !subject.spec.is_long_running() &&
        shares_.take(tenant, id, now) == share_use::excess;
    note_usable_cores(now);
    admission_inputs inputs = inputs_for(subject, now, wall);
    // The delay of a refused excess job is longer than most objectives. It is
    // ranked as late when it returns, but not refused for that.
    if (shares_.was_excess(tenant, id))
        inputs.objective = base::count_seconds(objective_of(subject, policy) -
                                               subject.accepted_at);
    result.admission = decide_admission(inputs);
    // Work that is refused since its tenant exceeds its share moves no machines
    // away from other pools.
    if (!inputs.is_long_running && !result.admission.exceeds_share &&
        !first_refused_at_.contains(subject.id))
        arrivals_.add_work(subject.estimates.work, now);
    if (!result.admission.is_accepted)
    {
        result.outcome = submit_result::kind::refused;
        shares_.note_refused(tenant, id, inputs.is_excess, now);
        if (result.admission.exceeds_share)
            result.admission.retry_after =
                shares_.return_delay(tenant, result.admission.retry_after, now);
        first_refused_at_.emplace(subject.id, subject.accepted_at);
        return result;
    }
    first_refused_at_.erase(subject.id);
    if (!inputs.is_long_running)
        statistics.note_job(subject.estimates.work);
    const auto entry = jobs_.emplace(subject.id, std::move(subject)).first;
    open_.insert(&entry->second);
    mark_dirty(entry->second);
    return result;
}

void pool_state::restore(job subject, base::time_point now,
                         base::wall_time wall)
{
    const auto age = std::clamp<base::duration>(
        wall - subject.accepted_wall, base::duration::zero(), max_restored_age);
    subject.accepted_at = now - age;
    subject.is_stored = true;
    subject.stored_status = subject.status;
    subject.is_inherited = true;
    add_policy(subject.policy);
    if (subject.status == job_status::open)
    {
        queue_statistics& statistics = statistics_of(subject);
        subject.refresh_estimates(statistics.run_times);
        statistics.note_job(subject.estimates.work);
    }
    // An earlier owner may have started runs without storing their numbers.
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
    {
        auto& tasks = subject.steps[position].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index)
        {
            task& entry = tasks[index];
            entry.last_run += max_unstored_starts;
            entry.crashes.note_new_owner();
            if (!entry.crashes.empty())
                inherited_suspects_.push_back(
                    subject.id_of(position, static_cast<int>(index)));
        }
    }
    erase_job(subject.id);
    const auto entry = jobs_.emplace(subject.id, std::move(subject)).first;
    if (entry->second.status == job_status::open)
        open_.insert(&entry->second);
}

bool pool_state::cancel(std::string_view id, base::wall_time wall)
{
    job* subject = find(id);
    if (subject == nullptr)
        return false;
    if (subject->status == job_status::open)
    {
        log_decision(
            {"cancel", subject->id, {}, 0, {}, "requested by the caller"});
        end_job(*subject, job_status::cancelled, wall);
    }
    return true;
}

void pool_state::deny(std::string_view id, base::time_point now)
{
    if (now >= next_denial_removal_)
    {
        next_denial_removal_ = now + denial_removal_interval;
        std::erase_if(denied_at_, [&](const auto& entry)
                      { return now - entry.second > denial_retention; });
    }
    denied_at_.insert_or_assign(std::string(id), now);
}

bool pool_state::is_denied(std::string_view id, base::time_point now) const
{
    const auto found = denied_at_.find(id);
    return found != denied_at_.end() && now - found->second <= denial_retention;
}

bool pool_state::withdraw(std::string_view id)
{
    const job* subject = find_job(id);
    // A cancelled job would be taken anew if it were forgotten.
    if (subject == nullptr || subject->is_stored || subject->may_be_stored ||
        is_being_written(*subject) || subject->status != job_status::open)
        return false;
    shares_.note_refused(subject->tenant, id, subject->is_excess,
                         subject->accepted_at);
    erase_job(id);
    return true;
}

void pool_state::erase_job(std::string_view id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    open_.erase(&found->second);
    dirty_.erase(&found->second);
    writing_.erase(&found->second);
    jobs_.erase(found);
}

std::optional<reported_status> pool_state::status_of(std::string_view id) const
{
    const job* subject = find_job(id);
    if (subject == nullptr || !subject->is_stored)
        return std::nullopt;
    return to_reported(subject->stored_status, subject->has_started);
}

int pool_state::pending(std::string_view queue) const
{
    int count = 0;
    for (const job* subject : open_)
        if (subject->queue == queue && subject->is_stored &&
            !subject->has_started)
            ++count;
    return count;
}

void pool_state::end_job(job& subject, job_status status, base::wall_time wall)
{
    subject.status = status;
    subject.ended_wall = wall;
    open_.erase(&subject);
    mark_dirty(subject);
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
    {
        auto& tasks = subject.steps[position].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index)
            if (tasks[index].active)
                stop_run(subject.id_of(position, static_cast<int>(index)),
                         tasks[index], "the job has ended",
                         subject.accepted_at);
    }
    release_if_idle(subject);
}

// Frees the data that only an open job, or one with active runs, needs.
void pool_state::release_if_idle(job& subject)
{
    if (subject.status == job_status::open)
        return;
    for (const step& entry : subject.steps)
        if (entry.active > 0)
            return;
    subject.steps = {};
    subject.spec.payload = {};
}

void pool_state::request_stop(const task_id& id, int run,
                              std::string_view worker, std::string_view reason)
{
    stops_.push_back({id, run, std::string(worker), std::string(reason)});
}

void pool_state::stop_run(const task_id& id, task& entry,
                          std::string_view reason, base::time_point now)
{
    active_run& run = *entry.active;
    if (run.state == run_state::stopping || run.state == run_state::stopped)
        return;
    run.state = run_state::stopping;
    run.since = now;
    request_stop(id, run.number, run.worker, reason);
    log_decision({"stop", id.job, to_string(id), run.number, run.worker,
                  std::string(reason)});
}

void pool_state::begin_run(job& subject, std::size_t position, int index,
                           int run, worker_view& worker, run_state state,
                           base::time_point now)
{
    step& part = subject.steps[position];
    task& entry = part.tasks[static_cast<std::size_t>(index)];
    entry.last_run = std::max(entry.last_run, run);
    entry.active =
        active_run{run, worker.description.id, state, now, now, 0, now};
    const task_id id = subject.id_of(position, index);
    worker.recent_starts.push_back({id, base::time_point::max()});
    if (entry.level() != suspicion::none)
        worker.observed.push_back(id);
    ++part.active;
    const step_spec& spec = subject.spec_of(position);
    worker.used += reserved_resources(spec);
    if (spec.is_long_running)
        worker.long_running_millis += reserved_resources(spec).cpu_millis;
    worker.runs.emplace(id, run);
    count_run(worker, id);
    subject.has_started |= state == run_state::running;
}

void pool_state::clear_run(job& subject, const task_id& id, task& entry)
{
    const std::size_t position = subject.position_of(id);
    usage_.end_run(entry.active->worker, id);
    if (worker_view* worker = find_worker(entry.active->worker))
    {
        worker->forget_start(id);
        worker->stop_observing(id);
        if (worker->runs.erase(id) > 0)
        {
            const step_spec& spec = subject.spec_of(position);
            worker->used -= reserved_resources(spec);
            if (spec.is_long_running)
                worker->long_running_millis -=
                    reserved_resources(spec).cpu_millis;
        }
    }
    entry.active.reset();
    --subject.steps[position].active;
}

std::vector<stop_order> pool_state::take_stops()
{
    return std::exchange(stops_, {});
}

void pool_state::set_leaving_soon(std::span<const std::string> ids)
{
    for (auto& [id, worker] : workers_)
        worker.is_leaving_soon = false;
    for (const std::string& id : ids)
        if (worker_view* worker = find_worker(id))
            worker->is_leaving_soon = true;
}

double pool_state::backlog() const
{
    double work = 0;
    for (const job* subject : open_)
        if (!subject->spec.is_long_running())
            work += subject->estimates.work_left;
    return work;
}

double pool_state::waiting_work(base::time_point now,
                                base::wall_time wall) const
{
    double work = 0;
    for (const job* subject : open_)
    {
        const queue_statistics& statistics = known_statistics(*subject);
        if (subject->spec.is_long_running() ||
            !rank_of(*subject, policy_of(*subject), statistics, now)
                 .can_meet_objective)
            continue;
        for (std::size_t position = 0; position < subject->steps.size();
             ++position)
        {
            const int waiting = subject->steps[position].waiting();
            if (waiting == 0 || !subject->is_step_ready(position, wall))
                continue;
            const step_spec& part = subject->spec_of(position);
            work += waiting * static_cast<double>(part.need.cpu_millis) /
                    millis_per_core *
                    statistics.run_times.expected_seconds(part.estimate);
        }
    }
    return work;
}

double pool_state::usable_cores(base::time_point now) const
{
    double cores = 0;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.accepts_starts(now))
            continue;
        cores += static_cast<double>(worker.description.capacity.cpu_millis -
                                     worker.long_running_millis) /
                 millis_per_core;
    }
    return cores;
}

// Cores of the workers that will accept starts once they have reported.
double pool_state::expected_cores() const
{
    std::int64_t millis = 0;
    for (const auto& [id, worker] : workers_)
        if (worker.is_listed && !worker.is_silent &&
            !worker.description.is_draining)
            millis += worker.description.capacity.cpu_millis -
                      worker.long_running_millis;
    return static_cast<double>(millis) / millis_per_core;
}

double pool_state::active_cores(base::time_point now) const
{
    std::int64_t millis = 0;
    for (const auto& [id, worker] : workers_)
        if (worker.accepts_starts(now))
            millis += worker.used.cpu_millis - worker.long_running_millis;
    return static_cast<double>(millis) / millis_per_core;
}

std::uint64_t pool_state::stored_change() const
{
    std::uint64_t first_unstored = changes_ + 1;
    for (const job* subject : writing_)
        first_unstored = std::min(first_unstored, subject->written_since);
    for (const job* subject : dirty_)
        first_unstored = std::min(first_unstored, subject->unwritten_since);
    return first_unstored - 1;
}

bool pool_state::has_unwritten() const
{
    return std::any_of(dirty_.begin(), dirty_.end(),
                       [](const job* subject)
                       { return !is_being_written(*subject); });
}

std::vector<record_change> pool_state::take_changes(std::size_t limit)
{
    std::vector<record_change> changes;
    for (auto entry = dirty_.begin();
         entry != dirty_.end() && changes.size() < limit;)
    {
        job& subject = **entry;
        if (is_being_written(subject))
        {
            ++entry;
            continue;
        }
        entry = dirty_.erase(entry);
        subject.written_since = subject.unwritten_since;
        subject.unwritten_since = 0;
        writing_.insert(&subject);
        subject.written_status = subject.status;
        subject.written_crash_changes = subject.crash_changes;
        changes.push_back(
            {subject.id, encode_record(subject), subject.stored_revision});
    }
    return changes;
}

void pool_state::note_stored(std::string_view id, std::int64_t revision)
{
    job* subject = find(id);
    if (subject == nullptr)
        return;
    end_write(*subject);
    if (!is_dirty(*subject))
        subject->ended_on.clear();
    subject->is_stored = true;
    subject->stored_status = subject->written_status;
    subject->stored_crash_changes = subject->written_crash_changes;
    subject->stored_revision = revision;
}

void pool_state::note_store_revision(std::string_view id, std::int64_t revision)
{
    job* subject = find(id);
    if (subject == nullptr)
        return;
    subject->stored_revision = revision;
    subject->may_be_stored = true;
    mark_unwritten(*subject);
}

void pool_state::note_not_stored(std::string_view id, bool may_be_stored)
{
    job* subject = find(id);
    if (subject == nullptr)
        return;
    subject->may_be_stored = subject->may_be_stored || may_be_stored;
    mark_unwritten(*subject);
}

std::vector<std::string> pool_state::expired_jobs(base::time_point now,
                                                  base::duration retention)
{
    std::vector<std::string> expired;
    for (auto& [id, subject] : jobs_)
    {
        if (subject.status == job_status::open || !subject.steps.empty() ||
            !subject.is_stored || is_dirty(subject) ||
            is_being_written(subject))
            continue;
        if (!subject.kept_since)
            subject.kept_since = now;
        if (now - *subject.kept_since >= retention)
            expired.push_back(id);
    }
    return expired;
}

void pool_state::remove_job(std::string_view id)
{
    erase_job(id);
}

bool pool_state::leaves_unanswered(base::time_point now) const
{
    return left_unanswered_at_ &&
           now < *left_unanswered_at_ + unanswered_calls_memory;
}

} // namespace pimentograde::jobs
