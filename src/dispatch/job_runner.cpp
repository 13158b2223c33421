#include "dispatch/job_runner.hpp"

#include "base/error.hpp"
#include "dispatch/job_attempt_runner.hpp"
#include "dispatch/reasons.hpp"
#include "dispatch/runner_events.hpp"
#include "log/event.hpp"
#include "net/task_group.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace pimentograde::dispatch
{

using base::work_result;
using base::work_status;
using records::commit_outcome;
using records::record;
using records::record_state;

namespace
{

// Limits the steps of one run. If other processes keep changing the record, the
// job is left to the next scan.
constexpr int max_steps_per_run = 16;

work_result result(work_status status, std::string_view reason)
{
    return {status, {}, {}, std::string(reason)};
}

/// Orders waiting jobs: urgent before batch, then oldest first.
using waiting_key =
    std::tuple<base::priority, base::wall_time, base::work_identity>;

bool belongs_to_caller(const record& job,
                       const base::department_name& department,
                       const base::caller_name& caller)
{
    return job.identity.department == department &&
           job.identity.caller == caller;
}

} // namespace

struct job_runner::impl
{
    std::shared_ptr<attempt_runner> attempts;
    std::shared_ptr<in_flight_table> in_flight;
    bool stopping = false;
    std::size_t running = 0;
    std::size_t running_batch = 0;
    std::set<waiting_key> waiting;
    std::optional<job_attempt_runner> job_attempts;
    net::stop_signal stop_scan;
    net::task_group scanner;

    [[nodiscard]] base::time_point now() const
    {
        return attempts->hooks().time.steady();
    }
    [[nodiscard]] const runner_settings& settings() const
    {
        return attempts->settings();
    }
    [[nodiscard]] base::time_point store_deadline() const
    {
        return now() + settings().store_attempt;
    }

    void scan();
    void enqueue_if_due(const record& found);
    void start_waiting();
    [[nodiscard]] bool has_room(base::priority urgency) const;
    work_result run_work(const base::work_identity& identity);
    bool step(const record& current);
    record read_job(const base::job_id& job, base::time_point deadline);
};

void job_runner::impl::scan()
{
    const auto& hooks = attempts->hooks();
    for (std::size_t shard = 0; shard < records::shard_count; ++shard)
    {
        if (stop_scan.is_set())
            return;
        if (!hooks.owns_shard(shard))
            continue;
        try
        {
            attempts->table().refresh(shard, settings().refresh_interval,
                                      store_deadline());
        }
        catch (const base::error& failure)
        {
            log::write(event_shard_unreadable,
                       {{"key", records::shard_key(shard)},
                        {"reason", failure.what()}});
            continue;
        }
        for (const auto& found : attempts->table().shard(shard).unended())
            enqueue_if_due(found);
    }
    job_attempts->forget_ended();
    start_waiting();
}

void job_runner::impl::enqueue_if_due(const record& found)
{
    if (in_flight->contains(found.identity) ||
        !job_attempts->can_run_now(found.identity))
        return;
    // The instance that wrote a started record is usually still running it.
    const auto age = attempts->hooks().time.wall() - found.changed_at;
    if (found.state == record_state::started && age < settings().orphan_age)
        return;
    waiting.emplace(found.urgency, found.created_at, found.identity);
}

bool job_runner::impl::has_room(base::priority urgency) const
{
    // Reserves a quarter for urgent jobs, which would otherwise wait behind
    // long batch jobs.
    const auto limit = settings().max_running_jobs;
    return running < limit && (urgency == base::priority::urgent ||
                               running_batch < limit - limit / 4);
}

void job_runner::impl::start_waiting()
{
    for (auto next = waiting.begin();
         next != waiting.end() && !stopping && !attempts->is_halted();)
    {
        const auto [urgency, created, identity] = *next;
        if (!has_room(urgency))
            return;
        next = waiting.erase(next);
        if (in_flight->contains(identity) ||
            !attempts->hooks().owns_shard(records::shard_of(identity)))
            continue;
        const std::size_t batch = urgency == base::priority::batch ? 1 : 0;
        ++running;
        running_batch += batch;
        in_flight->join(
            identity,
            [this, identity = identity, batch](const in_flight_work&)
            {
                auto out = run_work(identity);
                --running;
                running_batch -= batch;
                start_waiting();
                return out;
            });
    }
}

work_result job_runner::impl::run_work(const base::work_identity& identity)
{
    for (int steps = 0; steps < max_steps_per_run; ++steps)
    {
        const auto current = attempts->table().find(identity);
        if (!current)
            return result(work_status::unknown, reason::no_record);
        if (records::is_ended(current->state))
        {
            job_attempts->forget(identity);
            return attempts->read_result(*current);
        }
        if (attempts->is_halted() || !step(*current))
            return to_work_result(*current);
    }
    job_attempts->postpone(identity, {});
    return result(work_status::unknown, reason::time_limit);
}

/// Makes one attempt, or resolves one that was already started. Returns whether
/// to continue with the next step.
bool job_runner::impl::step(const record& current)
{
    if (stopping && current.state == record_state::accepted)
        return false;
    auto report =
        current.state == record_state::started
            ? attempts->resolve(current, now() + settings().follow_time, false)
            : job_attempts->try_job(current);
    switch (report.outcome)
    {
    case attempt_outcome::recorded:
        if (!report.current || records::is_ended(report.current->state))
            return true;
        break;
    case attempt_outcome::superseded:
        return true;
    case attempt_outcome::lost:
        job_attempts->postpone(current.identity, settings().unknown_interval);
        return false;
    case attempt_outcome::not_started:
    case attempt_outcome::store_failed:
    case attempt_outcome::open:
        break;
    }
    job_attempts->postpone(current.identity, {});
    return false;
}

record job_runner::impl::read_job(const base::job_id& job,
                                  base::time_point deadline)
{
    auto current =
        attempts->table().read_job(job, settings().read_age, deadline);
    if (!current)
        current = attempts->table().read_job(job, base::duration{0}, deadline);
    if (!current)
        throw base::error(base::error_code::not_found, "read job", job.str(),
                          "no such job");
    return *std::move(current);
}

job_runner::job_runner(std::shared_ptr<attempt_runner> attempts,
                       std::shared_ptr<in_flight_table> in_flight)
    : impl_(std::make_unique<impl>())
{
    impl_->attempts = std::move(attempts);
    impl_->job_attempts.emplace(impl_->attempts);
    impl_->in_flight = std::move(in_flight);
}

job_runner::~job_runner()
{
    impl_->stopping = true;
    impl_->stop_scan.set();
    impl_->scanner.join();
    // Job fibers use this object until they end.
    impl_->attempts->halt();
    impl_->in_flight->drain(base::time_point::max());
}

void job_runner::start()
{
    impl_->scanner.spawn_restarting(
        "scan jobs",
        [state = impl_.get()]
        {
            const auto interval = state->settings().scan_interval;
            // Jitter prevents the members from scanning at the same time.
            while (!state->stop_scan.wait_for(
                interval / 2 + state->attempts->random().jitter(interval)))
                state->scan();
        });
}

work_result job_runner::submit(const base::submission& work,
                               submission_origin origin)
{
    auto& state = *impl_;
    const auto refused = origin == submission_origin::first
                             ? work_status::not_run
                             : work_status::unknown;
    if (state.stopping)
        return result(refused, reason::stopping);
    if (work.payload.size() > records::max_payload_bytes)
        return result(work_status::not_run, reason::payload_too_large);
    const auto bundle = state.attempts->hooks().bundle();
    std::string_view refusal;
    if (find_queue(*bundle, work.queue) == nullptr)
        refusal = reason::unknown_queue;
    else if (!fits_any_worker(*bundle, work.size))
        refusal = reason::too_large;
    auto fresh = new_record(work);
    const auto shard = records::shard_of(work.identity);
    fresh.job = records::make_job_id(shard, state.attempts->random());
    const auto change = refusal.empty()
                            ? accept_change(fresh)
                            : refuse_change(fresh, std::string(refusal));
    auto written = state.attempts->table().commit(work.identity, change,
                                                  state.store_deadline());
    if (written.outcome == commit_outcome::full)
        written = state.attempts->table().commit(
            work.identity,
            refuse_change(fresh, std::string(reason::records_full)),
            state.store_deadline());
    switch (written.outcome)
    {
    case commit_outcome::applied:
        state.enqueue_if_due(*written.current);
        state.start_waiting();
        return state.attempts->read_result(*written.current);
    case commit_outcome::refused:
        return state.attempts->read_result(*written.current);
    case commit_outcome::unavailable:
        return result(refused, reason::store_unavailable);
    case commit_outcome::unknown:
        return result(work_status::unknown, reason::store_unavailable);
    case commit_outcome::full:
        return result(refused, reason::records_full);
    case commit_outcome::expired:
        break;
    }
    const bool too_early =
        work.issued_at >
        state.attempts->hooks().time.wall() + records::max_clock_lead;
    return result(too_early ? work_status::not_run : refused,
                  reason::key_expired);
}

work_result job_runner::find(const base::job_id& job,
                             const base::department_name& department,
                             const base::caller_name& caller,
                             base::time_point deadline)
{
    const auto current = impl_->read_job(job, deadline);
    if (!belongs_to_caller(current, department, caller))
        return result(work_status::unknown, reason::no_record);
    if (current.state != record_state::started)
        return impl_->attempts->read_result(current);
    auto out = to_work_result(current);
    try
    {
        const auto status = impl_->attempts->query_lease(current);
        if (status.state != provider::lease_state::unknown)
            return out;
        out.reason = reason::outcome_unknown;
    }
    catch (const base::error&)
    {
        out.reason = reason::worker_unreachable;
    }
    out.status = work_status::unknown;
    return out;
}

work_result job_runner::cancel(const base::job_id& job,
                               const base::department_name& department,
                               const base::caller_name& caller,
                               base::time_point deadline)
{
    auto& state = *impl_;
    const auto before = state.read_job(job, deadline);
    if (!belongs_to_caller(before, department, caller))
        return result(work_status::unknown, reason::no_record);
    const auto written = state.attempts->table().commit(
        before.identity, cancel_change(job), state.store_deadline());
    if (!written.current)
        return {work_status::unknown,
                {},
                job,
                std::string(reason::store_unavailable)};
    const auto& current = *written.current;
    if (current.state != record_state::started)
        return state.attempts->read_result(current);
    auto report = state.attempts->resolve(current, deadline, false);
    if (report.current && records::is_ended(report.current->state))
        return state.attempts->read_result(*report.current);
    return {work_status::unknown, {}, job, report.reason};
}

work_result job_runner::settle(const base::job_id& job, bool succeeded,
                               std::string_view operator_name,
                               base::time_point deadline)
{
    auto& state = *impl_;
    const auto before = state.read_job(job, deadline);
    if (before.state != record_state::started)
        return state.attempts->read_result(before);
    auto report = state.attempts->resolve(before, state.now(), false);
    const bool is_lost = report.outcome == attempt_outcome::lost ||
                         (report.outcome == attempt_outcome::open &&
                          report.reason == reason::worker_unreachable);
    if (!is_lost)
        return report.current ? state.attempts->read_result(*report.current)
                              : to_work_result(before);
    const auto written = state.attempts->table().commit(
        before.identity,
        settle_change(before.lease, succeeded, std::string(reason::settled)),
        state.store_deadline());
    if (!written.current)
        throw base::error(base::error_code::unavailable, "settle job",
                          job.str(), "the store did not answer");
    log::write(event_job_settled, {{"job", job.str()},
                                   {"operator", operator_name},
                                   {"succeeded", succeeded ? 1 : 0}});
    return state.attempts->read_result(*written.current);
}

bool job_runner::drain(base::time_point deadline)
{
    impl_->stopping = true;
    impl_->stop_scan.set();
    impl_->waiting.clear();
    impl_->scanner.join_until(deadline);
    return impl_->in_flight->drain(deadline);
}

std::size_t job_runner::running() const
{
    return impl_->running;
}

std::size_t job_runner::waiting() const
{
    return impl_->waiting.size();
}

} // namespace pimentograde::dispatch
