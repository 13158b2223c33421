#include "dispatch/attempt_runner.hpp"

#include "base/digest.hpp"
#include "base/error.hpp"
#include "dispatch/held_slot.hpp"
#include "dispatch/lease_result.hpp"
#include "dispatch/reasons.hpp"
#include "dispatch/runner_events.hpp"
#include "log/event.hpp"
#include "net/task_group.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::dispatch
{

using provider::lease_state;
using provider::lease_status;
using records::commit_outcome;
using records::record;
using records::record_state;

namespace
{

/// Result of an attempt that this process started itself.
using own_attempt_result = std::optional<attempt_result>;

attempt_report not_started(std::string_view reason, base::worker_id worker = {})
{
    return {attempt_outcome::not_started, std::nullopt, std::string(reason),
            std::move(worker)};
}

} // namespace

struct attempt_runner::impl
{
    runner_hooks hooks;
    runner_settings settings;
    std::shared_ptr<records::record_table> table;
    std::shared_ptr<base::random_source> random;
    net::stop_signal halted;

    [[nodiscard]] base::time_point deadline_in(base::duration length) const
    {
        return hooks.time.steady() + length;
    }

    std::optional<attempt_report> reserve(held_slot& slot,
                                          const provider::worker_endpoint& peer,
                                          const base::task_size& size,
                                          reservation& reserved);
    lease_status start(const provider::worker_endpoint& peer,
                       const reservation& reserved,
                       const provider::task_spec& task);
    lease_status poll_lease(const provider::worker_endpoint& peer,
                            const record& started, bool may_stop);
    std::optional<attempt_report> check_superseded(const record& started);
    attempt_report record_end(const record& started,
                              const attempt_result& result,
                              base::time_point deadline);
    attempt_report wait_for_end(const record& started,
                                base::time_point deadline, bool keep_unstarted,
                                own_attempt_result* own_end);
    attempt_report finish_own(const record& begun,
                              const attempt_result& result);
    attempt_report run_recorded_attempt(held_slot& slot, const record& begun,
                                        const provider::worker_endpoint& peer,
                                        const std::string& payload);
    void stop(const provider::worker_endpoint& peer,
              const base::lease_id& lease);
};

std::optional<attempt_report> attempt_runner::impl::reserve(
    held_slot& slot, const provider::worker_endpoint& peer,
    const base::task_size& size, reservation& reserved)
{
    provider::reserve_result result;
    try
    {
        result = hooks.workers.reserve(peer, size, settings.lease_ttl,
                                       deadline_in(settings.worker_call));
    }
    catch (const base::error&)
    {
        // If the worker made the reservation, it expires after its TTL.
        slot.release(policy::slot_outcome::worker_unreachable, {});
        return not_started(reason::worker_unreachable, peer.id);
    }
    switch (result.outcome)
    {
    case provider::reserve_outcome::granted:
        reserved = {peer.id, result.incarnation, result.lease};
        return std::nullopt;
    case provider::reserve_outcome::full:
        slot.release(policy::slot_outcome::worker_full, {});
        return not_started(reason::worker_full, peer.id);
    case provider::reserve_outcome::leaving:
        slot.release(policy::slot_outcome::worker_leaving, {});
        return not_started(reason::worker_leaving, peer.id);
    case provider::reserve_outcome::too_large:
        break;
    }
    return not_started(reason::too_large, peer.id);
}

void attempt_runner::impl::stop(const provider::worker_endpoint& peer,
                                const base::lease_id& lease)
{
    try
    {
        hooks.workers.stop(peer, lease, deadline_in(settings.worker_call));
    }
    catch (const base::error&)
    {
        // The lease expires after its TTL.
    }
}

/// Starts the task and renews its lease until the call returns.
lease_status attempt_runner::impl::start(const provider::worker_endpoint& peer,
                                         const reservation& reserved,
                                         const provider::task_spec& task)
{
    net::stop_signal ended;
    net::task_group renewer;
    renewer.spawn(
        [&]
        {
            while (!ended.wait_for(settings.lease_ttl / 3))
            {
                try
                {
                    hooks.workers.renew(peer, reserved.lease,
                                        settings.lease_ttl,
                                        deadline_in(settings.worker_call));
                }
                catch (const base::error&)
                {
                    // Retried at the next interval. The start call reports a
                    // lost lease.
                }
            }
        });
    lease_status status;
    try
    {
        status = hooks.workers.start(peer, reserved.lease, task,
                                     deadline_in(settings.start_wait));
    }
    catch (const base::error& failure)
    {
        // Only this fiber starts this lease, so if the call was not sent, the
        // lease never starts.
        if (!failure.effect_unknown() &&
            failure.code() == base::error_code::unavailable)
            status.state = lease_state::stopped_unstarted;
        else
            status.state = lease_state::unknown;
        status.incarnation = 0;
    }
    ended.set();
    renewer.join();
    return status;
}

lease_status
attempt_runner::impl::poll_lease(const provider::worker_endpoint& peer,
                                 const record& started, bool may_stop)
{
    const auto deadline = deadline_in(settings.worker_call);
    if (started.cancel_requested)
        return hooks.workers.stop(peer, started.lease, deadline);
    auto status = hooks.workers.query(peer, started.lease, deadline);
    if (status.state == lease_state::reserved && may_stop)
        return hooks.workers.stop(peer, started.lease, deadline);
    if (status.state == lease_state::running)
        return hooks.workers.renew(peer, started.lease, settings.lease_ttl,
                                   deadline);
    return status;
}

/// Returns a report if another process has ended this attempt in the meantime.
std::optional<attempt_report>
attempt_runner::impl::check_superseded(const record& started)
{
    auto current = table->find(started.identity);
    if (!current ||
        (current->state == record_state::started &&
         current->lease == started.lease) ||
        current->attempt < started.attempt)
        return std::nullopt;
    return attempt_report{
        attempt_outcome::superseded, std::move(current), {}, {}};
}

attempt_report attempt_runner::impl::record_end(const record& started,
                                                const attempt_result& result,
                                                base::time_point deadline)
{
    auto written = table->commit(
        started.identity,
        end_change(started.lease, result,
                   {settings.max_failed_workers, settings.max_failures}),
        deadline);
    if (written.outcome == commit_outcome::unavailable ||
        written.outcome == commit_outcome::unknown)
        return {attempt_outcome::open,
                started,
                std::string(reason::store_unavailable),
                {}};
    if (!written.current)
        return {attempt_outcome::superseded, std::nullopt, {}, {}};
    const bool unchanged = written.current->state == record_state::started &&
                           written.current->lease == started.lease;
    if (!unchanged)
    {
        if (result.end == lease_end::done &&
            !written.current->answer_sha256.empty())
            written.current->answer = result.answer;
        return {attempt_outcome::recorded, std::move(written.current), {}, {}};
    }
    log::write(event_outcome_unknown, {{"worker", started.worker.str()},
                                       {"lease", started.lease.str()},
                                       {"key", started.identity.key}});
    return {attempt_outcome::lost,
            std::move(written.current),
            std::string(reason::outcome_unknown),
            {}};
}

attempt_report attempt_runner::impl::wait_for_end(const record& started,
                                                  base::time_point deadline,
                                                  bool keep_unstarted,
                                                  own_attempt_result* own_end)
{
    const auto record_by = [&]
    {
        return std::max(deadline, deadline_in(settings.store_attempt));
    };
    const auto peer = find_worker(*hooks.bundle(), started.worker);
    const auto stop_after = deadline_in(settings.reserved_grace);
    auto poll = settings.first_poll;
    std::string reason(reason::time_limit);
    auto latest = started;
    while (!halted.is_set())
    {
        if (auto moved_on = check_superseded(started))
            return *moved_on;
        if (auto current = table->find(started.identity))
            latest.cancel_requested = current->cancel_requested;
        if (!peer)
            return record_end(started, to_attempt_result({}), record_by());
        try
        {
            const bool may_stop =
                own_end != nullptr || hooks.time.steady() >= stop_after;
            const auto status = poll_lease(*peer, latest, may_stop);
            const bool lost = status.state == lease_state::unknown ||
                              status.incarnation != started.incarnation;
            if (lost || is_final(status.state))
            {
                auto result = to_attempt_result(
                    lost ? lease_status{lease_state::unknown, {}, {}, 0, {}}
                         : status);
                if (own_end != nullptr)
                {
                    *own_end = std::move(result);
                    return {attempt_outcome::open, started, {}, {}};
                }
                if (result.end == lease_end::unstarted && keep_unstarted)
                    return not_started(reason::stopped, started.worker);
                return record_end(started, result, record_by());
            }
            reason = reason::time_limit;
            if (own_end != nullptr)
                deadline = deadline_in(settings.follow_time);
        }
        catch (const base::error&)
        {
            reason = reason::worker_unreachable;
        }
        const auto now = hooks.time.steady();
        if (now >= deadline)
            break;
        halted.wait_for(std::min<base::duration>(poll, deadline - now));
        poll = std::min(poll * 2, settings.longest_poll);
    }
    return {attempt_outcome::open, started, reason, {}};
}

/// Records the end of an attempt that this fiber ran. Has no deadline, because
/// the fiber must keep the outcome until it is written.
attempt_report attempt_runner::impl::finish_own(const record& begun,
                                                const attempt_result& result)
{
    if (result.end == lease_end::unstarted &&
        begun.kind == base::work_kind::request)
        return {attempt_outcome::not_started, begun,
                std::string(reason::worker_unreachable), begun.worker};
    return record_end(begun, result, base::time_point::max());
}

attempt_report attempt_runner::impl::run_recorded_attempt(
    held_slot& slot, const record& begun, const provider::worker_endpoint& peer,
    const std::string& payload)
{
    const provider::task_spec task{begun.identity.key, begun.queue.str(),
                                   begun.size, payload};
    const reservation reserved{begun.worker, begun.incarnation, begun.lease};
    const auto status = start(peer, reserved, task);
    const bool certain =
        is_final(status.state) &&
        (status.incarnation == begun.incarnation || status.incarnation == 0);
    if (certain)
    {
        const auto result = to_attempt_result(status);
        slot.release(to_slot_outcome(result), result.run_time);
        return finish_own(begun, result);
    }
    own_attempt_result end;
    auto report =
        wait_for_end(begun, deadline_in(settings.follow_time), false, &end);
    const auto result = end.value_or(attempt_result{});
    slot.release(to_slot_outcome(result), result.run_time);
    return end ? finish_own(begun, result) : report;
}

attempt_runner::attempt_runner(runner_hooks hooks, runner_settings settings,
                               std::shared_ptr<records::record_table> table,
                               std::shared_ptr<base::random_source> random)
    : impl_(std::make_unique<impl>())
{
    impl_->hooks = std::move(hooks);
    impl_->settings = settings;
    impl_->table = std::move(table);
    impl_->random = std::move(random);
}

attempt_runner::~attempt_runner() = default;

attempt_report attempt_runner::attempt(const record& prior,
                                       const std::string& payload,
                                       const policy::slot_request& request)
{
    auto& state = *impl_;
    policy::slot_decision decision;
    try
    {
        decision = state.hooks.slots.acquire(request);
    }
    catch (const base::error&)
    {
        // Neither the broker nor a worker could be reached.
        return not_started(reason::no_worker);
    }
    if (!decision.grant)
        return not_started(reason::of(decision.refusal));
    held_slot slot(state.hooks.slots, request, *std::move(decision.grant));
    const auto peer = find_worker(*state.hooks.bundle(), slot.worker());
    if (!peer)
    {
        slot.release(policy::slot_outcome::worker_unreachable, {});
        return not_started(reason::worker_unreachable, slot.worker());
    }
    reservation reserved;
    if (auto refused = state.reserve(slot, *peer, prior.size, reserved))
        return *refused;
    const auto begun =
        state.table->commit(prior.identity, begin_change(prior, reserved),
                            state.deadline_in(state.settings.store_attempt));
    if (has_begun(begun, reserved) && !state.halted.is_set())
        return state.run_recorded_attempt(slot, *begun.current, *peer, payload);
    // The start of this lease was never sent, so the task cannot run.
    state.stop(*peer, reserved.lease);
    switch (begun.outcome)
    {
    case commit_outcome::applied:
        return {attempt_outcome::store_failed,
                std::nullopt,
                std::string(reason::stopping),
                {}};
    case commit_outcome::refused:
        return {attempt_outcome::superseded, begun.current, {}, {}};
    case commit_outcome::full:
        return not_started(reason::records_full);
    case commit_outcome::expired:
        return not_started(reason::key_expired);
    default:
        return {attempt_outcome::store_failed,
                std::nullopt,
                std::string(reason::store_unavailable),
                {}};
    }
}

attempt_report attempt_runner::resolve(const record& started,
                                       base::time_point deadline,
                                       bool keep_unstarted)
{
    auto report =
        impl_->wait_for_end(started, deadline, keep_unstarted, nullptr);
    if (report.outcome == attempt_outcome::not_started)
        report.current = started;
    return report;
}

base::work_result attempt_runner::read_result(const record& current)
{
    auto out = to_work_result(current);
    const bool is_at_worker = current.state == record_state::done &&
                              current.answer.empty() &&
                              !current.answer_sha256.empty();
    if (!is_at_worker)
        return out;
    out.status = base::work_status::unknown;
    try
    {
        auto status = query_lease(current);
        out.reason = reason::answer_expired;
        if (status.state != lease_state::done ||
            base::sha256_hex(status.answer) != current.answer_sha256)
            return out;
        out.status = base::work_status::done;
        out.answer = std::move(status.answer);
        out.reason = current.reason;
    }
    catch (const base::error&)
    {
        out.reason = reason::worker_unreachable;
    }
    return out;
}

void attempt_runner::stop_lease(const record& started)
{
    if (const auto peer = find_worker(*impl_->hooks.bundle(), started.worker))
        impl_->stop(*peer, started.lease);
}

lease_status attempt_runner::query_lease(const record& started)
{
    const auto peer = find_worker(*impl_->hooks.bundle(), started.worker);
    if (!peer)
        return {};
    auto status = impl_->hooks.workers.query(
        *peer, started.lease, impl_->deadline_in(impl_->settings.worker_call));
    if (status.incarnation != started.incarnation)
        status.state = lease_state::unknown;
    return status;
}

const runner_hooks& attempt_runner::hooks() const
{
    return impl_->hooks;
}

const runner_settings& attempt_runner::settings() const
{
    return impl_->settings;
}

records::record_table& attempt_runner::table()
{
    return *impl_->table;
}

base::random_source& attempt_runner::random()
{
    return *impl_->random;
}

void attempt_runner::halt()
{
    impl_->halted.set();
}

bool attempt_runner::is_halted() const
{
    return impl_->halted.is_set();
}

bool attempt_runner::sleep(base::duration length)
{
    return impl_->halted.wait_for(std::max(length, base::duration{0}));
}

} // namespace pimentograde::dispatch
