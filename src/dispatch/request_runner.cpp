#include "dispatch/request_runner.hpp"

#include "base/error.hpp"
#include "dispatch/reasons.hpp"
#include "net/task_group.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace pimentograde::dispatch
{

using base::work_result;
using base::work_status;
using records::commit_outcome;
using records::record;

namespace
{

// Lets the owner of a shard use its cached record regardless of age. The begin
// change is checked against the store, so a stale record only causes a
// conflict, and an owner's cache is rarely stale.
constexpr base::duration unlimited_age = std::chrono::hours{24 * 365};

work_result result(work_status status, std::string_view reason)
{
    return {status, {}, {}, std::string(reason)};
}

policy::slot_request slot_request_for(const base::submission& work,
                                      const config::queue& queue,
                                      base::time_point deadline)
{
    policy::slot_request out;
    out.queue = work.queue;
    out.pool = queue.pool;
    out.department = work.identity.department;
    out.urgency = work.urgency;
    out.size = work.size;
    out.deadline = deadline;
    return out;
}

bool is_too_early(const base::submission& work, base::wall_time now)
{
    return work.issued_at > now + records::max_clock_lead;
}

} // namespace

struct request_runner::impl
{
    std::shared_ptr<attempt_runner> attempts;
    std::shared_ptr<in_flight_table> in_flight;
    bool stopping = false;
    std::size_t idempotent_running = 0;
    net::task_group fibers;

    [[nodiscard]] base::time_point now() const
    {
        return attempts->hooks().time.steady();
    }

    bool pause_before_retry(std::size_t attempt, base::time_point deadline);
    work_result run_idempotent(const base::submission& work,
                               base::time_point deadline);
    work_result run_recorded(const base::submission& work,
                             base::time_point deadline,
                             const in_flight_work& own, bool first);
};

namespace
{

/// Runs one recorded request, from reading its record to its result.
class recorded_request
{
public:
    recorded_request(attempt_runner& attempts, const base::submission& work,
                     base::time_point deadline, const in_flight_work& own,
                     bool first)
        : attempts_(attempts), work_(work), deadline_(deadline), own_(own),
          first_(first), prior_(new_record(work))
    {
    }

    work_result run();

private:
    std::optional<work_result> resolve_existing(const record& current);
    std::optional<work_result> handle_report(attempt_report report);
    std::optional<work_result> try_once();
    work_result give_up(std::string_view reason);
    work_result store_failed();
    [[nodiscard]] std::optional<work_result> check_age() const;
    [[nodiscard]] bool is_only_submission() const
    {
        return first_ && own_.submissions == 1;
    }

    attempt_runner& attempts_;
    const base::submission& work_;
    base::time_point deadline_;
    const in_flight_work& own_;
    bool first_;
    /// Record that the next attempt follows.
    record prior_;
    std::vector<base::worker_id> excluded_;
    std::size_t tries_ = 0;
};

work_result recorded_request::store_failed()
{
    // This submission does not run. Whether an earlier one ran is known only
    // from the record, which cannot be read.
    return result(is_only_submission() ? work_status::not_run
                                       : work_status::unknown,
                  reason::store_unavailable);
}

work_result recorded_request::give_up(std::string_view reason)
{
    if (is_only_submission() && prior_.attempt == 0)
        return result(work_status::not_run, reason);
    const auto now = attempts_.hooks().time.steady();
    // Another instance may be about to begin an earlier submission of this key.
    // The recorded refusal prevents that.
    const auto written = attempts_.table().commit(
        work_.identity, refuse_change(prior_, std::string(reason)),
        now + attempts_.settings().store_attempt);
    switch (written.outcome)
    {
    case commit_outcome::applied:
    case commit_outcome::refused:
        if (written.current)
            return attempts_.read_result(*written.current);
        return result(work_status::unknown, reason::key_expired);
    case commit_outcome::expired:
        return result(is_too_early(work_, attempts_.hooks().time.wall())
                          ? work_status::not_run
                          : work_status::unknown,
                      reason::key_expired);
    case commit_outcome::full:
        return result(work_status::unknown, reason::records_full);
    default:
        return store_failed();
    }
}

std::optional<work_result>
recorded_request::handle_report(attempt_report report)
{
    switch (report.outcome)
    {
    case attempt_outcome::recorded:
        return attempts_.read_result(*report.current);
    case attempt_outcome::superseded:
        if (!report.current)
            return result(work_status::unknown, reason::key_expired);
        return resolve_existing(*report.current);
    case attempt_outcome::store_failed:
        return store_failed();
    case attempt_outcome::open:
    case attempt_outcome::lost:
        return result(work_status::unknown, report.reason);
    case attempt_outcome::not_started:
        break;
    }
    if (report.current)
        prior_ = *report.current;
    if (!report.worker.empty())
        excluded_.push_back(report.worker);
    const bool may_retry = report.reason == reason::worker_full ||
                           report.reason == reason::worker_leaving ||
                           report.reason == reason::worker_unreachable ||
                           report.reason == reason::too_large ||
                           report.reason == reason::stopped;
    const auto now = attempts_.hooks().time.steady();
    if (!may_retry || ++tries_ >= attempts_.settings().max_attempts ||
        now >= deadline_ || attempts_.is_halted())
        return give_up(report.reason);
    return std::nullopt;
}

/// Returns the result of an attempt that another submission recorded, or
/// nullopt if a new attempt may begin.
std::optional<work_result>
recorded_request::resolve_existing(const record& current)
{
    if (records::is_ended(current.state) ||
        current.kind != base::work_kind::request)
        return attempts_.read_result(current);
    return handle_report(attempts_.resolve(current, deadline_, true));
}

std::optional<work_result> recorded_request::try_once()
{
    const auto bundle = attempts_.hooks().bundle();
    const auto* queue = find_queue(*bundle, work_.queue);
    if (queue == nullptr)
        return give_up(reason::unknown_queue);
    if (!fits_any_worker(*bundle, work_.size))
        return give_up(reason::too_large);
    auto request = slot_request_for(work_, *queue, deadline_);
    request.excluded = excluded_;
    request.retry = tries_ > 0;
    return handle_report(attempts_.attempt(prior_, work_.payload, request));
}

/// Refuses a key outside the retention period before it takes a slot.
std::optional<work_result> recorded_request::check_age() const
{
    const auto& shard =
        attempts_.table().shard(records::shard_of(work_.identity));
    if (is_too_early(work_, attempts_.hooks().time.wall()))
        return result(work_status::not_run, reason::key_expired);
    if (work_.issued_at <= shard.horizon())
        return result(work_status::unknown, reason::key_expired);
    return std::nullopt;
}

work_result recorded_request::run()
{
    const auto& settings = attempts_.settings();
    std::optional<record> current;
    try
    {
        const bool owned =
            attempts_.hooks().owns_shard(records::shard_of(work_.identity));
        current = attempts_.table().read(
            work_.identity, owned ? unlimited_age : base::duration{0},
            attempts_.hooks().time.steady() + settings.store_attempt);
    }
    catch (const base::error&)
    {
        return store_failed();
    }
    auto known = current ? resolve_existing(*current) : check_age();
    auto pause = settings.first_retry;
    while (!known)
    {
        if (tries_ > 0)
        {
            attempts_.sleep(attempts_.random().jitter(pause));
            pause = std::min(pause * 2, settings.longest_retry);
        }
        known = try_once();
    }
    return *known;
}

} // namespace

work_result request_runner::impl::run_recorded(const base::submission& work,
                                               base::time_point deadline,
                                               const in_flight_work& own,
                                               bool first)
{
    return recorded_request(*attempts, work, deadline, own, first).run();
}

bool request_runner::impl::pause_before_retry(std::size_t attempt,
                                              base::time_point deadline)
{
    const auto& settings = attempts->settings();
    const auto bound = std::min<base::duration>(
        settings.first_retry * (1 << std::min<std::size_t>(attempt, 10)),
        settings.longest_retry);
    const auto pause = attempts->random().jitter(bound);
    return now() + pause < deadline && !attempts->sleep(pause);
}

namespace
{

/// Outcome of one attempt of idempotent work.
struct idempotent_try
{
    std::optional<work_result> final_result;
    std::string reason;
    base::worker_id worker;
    bool may_have_run = false;
    /// The worker reported that the task failed or was stopped.
    bool failed = false;
};

idempotent_try after_refusal(provider::reserve_outcome outcome)
{
    idempotent_try out;
    out.reason =
        outcome == provider::reserve_outcome::full      ? reason::worker_full
        : outcome == provider::reserve_outcome::leaving ? reason::worker_leaving
                                                        : reason::too_large;
    return out;
}

policy::slot_outcome slot_outcome_of(const provider::run_result& ran)
{
    switch (ran.outcome)
    {
    case provider::reserve_outcome::full:
        return policy::slot_outcome::worker_full;
    case provider::reserve_outcome::leaving:
        return policy::slot_outcome::worker_leaving;
    case provider::reserve_outcome::too_large:
        return policy::slot_outcome::unused;
    case provider::reserve_outcome::granted:
        break;
    }
    return ran.status.state == provider::lease_state::done
               ? policy::slot_outcome::succeeded
               : policy::slot_outcome::failed;
}

idempotent_try after_run(const provider::run_result& ran)
{
    if (ran.outcome != provider::reserve_outcome::granted)
        return after_refusal(ran.outcome);
    idempotent_try out;
    if (ran.status.state == provider::lease_state::done)
    {
        out.final_result = {work_status::done, ran.status.answer, {}, {}};
        return out;
    }
    out.may_have_run =
        ran.status.state != provider::lease_state::stopped_unstarted;
    const bool failed = ran.status.state == provider::lease_state::failed;
    out.failed =
        failed || ran.status.state == provider::lease_state::stopped_started;
    out.reason =
        failed && !ran.status.reason.empty()
            ? ran.status.reason
            : std::string(failed ? reason::task_failed : reason::stopped);
    return out;
}

idempotent_try run_once(attempt_runner& attempts, const base::submission& work,
                        const policy::slot_request& request)
{
    const auto& hooks = attempts.hooks();
    idempotent_try out;
    policy::slot_decision decision;
    try
    {
        decision = hooks.slots.acquire(request);
    }
    catch (const base::error&)
    {
        out.reason = reason::no_worker;
        return out;
    }
    if (!decision.grant)
    {
        out.reason = reason::of(decision.refusal);
        out.final_result = result(work_status::not_run, out.reason);
        return out;
    }
    const auto peer = find_worker(*hooks.bundle(), decision.grant->worker);
    auto outcome = policy::slot_outcome::worker_unreachable;
    base::duration run_time{};
    out.reason = reason::worker_unreachable;
    try
    {
        if (peer)
        {
            const auto ran = hooks.workers.run(
                *peer,
                {work.identity.key, work.queue.str(), work.size, work.payload},
                request.deadline);
            outcome = slot_outcome_of(ran);
            run_time = ran.status.run_time;
            out = after_run(ran);
        }
    }
    catch (const base::error& failure)
    {
        out.may_have_run = failure.effect_unknown();
    }
    out.worker = decision.grant->worker;
    try
    {
        hooks.slots.release(request, *decision.grant, outcome, run_time);
    }
    catch (const base::error&)
    {
        // The broker reclaims the slots of a lost connection.
    }
    return out;
}

} // namespace

work_result request_runner::impl::run_idempotent(const base::submission& work,
                                                 base::time_point deadline)
{
    const auto bundle = attempts->hooks().bundle();
    const auto* queue = find_queue(*bundle, work.queue);
    if (queue == nullptr)
        return result(work_status::not_run, reason::unknown_queue);
    if (!fits_any_worker(*bundle, work.size))
        return result(work_status::not_run, reason::too_large);
    auto request = slot_request_for(work, *queue, deadline);
    bool may_have_run = false;
    bool all_reported = true;
    std::string last_reason;
    for (std::size_t n = 0; n < attempts->settings().max_attempts; ++n)
    {
        if (n > 0 && !pause_before_retry(n, deadline))
            break;
        request.retry = n > 0;
        auto tried = run_once(*attempts, work, request);
        may_have_run = may_have_run || tried.may_have_run;
        all_reported = all_reported && (tried.failed || !tried.may_have_run);
        // The refusal of a retry must not hide that an earlier attempt may have
        // run.
        if (tried.final_result &&
            (tried.final_result->status == work_status::done || !may_have_run))
            return *tried.final_result;
        if (tried.final_result)
            break;
        last_reason = tried.reason;
        if (!tried.worker.empty())
            request.excluded.push_back(tried.worker);
    }
    if (!may_have_run)
        return result(work_status::not_run, last_reason);
    return result(all_reported ? work_status::failed : work_status::unknown,
                  last_reason);
}

request_runner::request_runner(std::shared_ptr<attempt_runner> attempts,
                               std::shared_ptr<in_flight_table> in_flight)
    : impl_(std::make_unique<impl>())
{
    impl_->attempts = std::move(attempts);
    impl_->in_flight = std::move(in_flight);
}

request_runner::~request_runner()
{
    impl_->in_flight->drain(base::time_point::max());
}

work_result request_runner::run(const base::submission& work,
                                submission_origin origin)
{
    auto& state = *impl_;
    const bool first = origin == submission_origin::first;
    if (state.stopping)
        return result(first || work.idempotent ? work_status::not_run
                                               : work_status::unknown,
                      reason::stopping);
    const auto deadline = state.now() + work.time_limit;
    if (work.idempotent)
    {
        ++state.idempotent_running;
        auto out = state.run_idempotent(work, deadline);
        --state.idempotent_running;
        return out;
    }
    const auto joined = state.in_flight->join(
        work.identity,
        [&state, work, deadline, first](const in_flight_work& own)
        { return state.run_recorded(work, deadline, own, first); });
    auto out = state.in_flight->wait(joined, deadline);
    return out ? *out : result(work_status::unknown, reason::time_limit);
}

work_result request_runner::find(const base::work_identity& identity,
                                 base::time_point deadline)
{
    auto& table = impl_->attempts->table();
    auto current =
        table.read(identity, impl_->attempts->settings().read_age, deadline);
    if (!current)
        current = table.read(identity, base::duration{0}, deadline);
    if (!current)
        return result(work_status::unknown, reason::no_record);
    return impl_->attempts->read_result(*current);
}

bool request_runner::drain(base::time_point deadline)
{
    impl_->stopping = true;
    while (impl_->idempotent_running > 0 && impl_->now() < deadline)
        impl_->attempts->sleep(std::chrono::milliseconds{5});
    return impl_->in_flight->drain(deadline) && impl_->idempotent_running == 0;
}

std::size_t request_runner::running() const
{
    return impl_->in_flight->size() + impl_->idempotent_running;
}

} // namespace pimentograde::dispatch
