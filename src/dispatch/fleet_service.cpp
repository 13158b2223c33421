#include "dispatch/fleet_service.hpp"

#include "base/error.hpp"
#include "capacity/budget_checker.hpp"
#include "capacity/events.hpp"
#include "dispatch/fleet_change_log.hpp"
#include "dispatch/fleet_commands.hpp"
#include "dispatch/fleet_events.hpp"
#include "dispatch/fleet_snapshot.hpp"
#include "dispatch/fleet_store.hpp"
#include "dispatch/worker_poll.hpp"
#include "net/task_group.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace pimentograde::dispatch
{

using capacity::change_kind;
using capacity::fleet_change;
using capacity::fleet_state;

namespace
{

constexpr std::string_view lease_name = "planner";
// A command conflicts only with another write, and each write takes a few
// milliseconds, so a few attempts are enough.
constexpr int max_command_attempts = 8;
// A state no older than this is not read again before commands are sent to
// workers.
constexpr std::chrono::milliseconds max_action_state_age{100};

} // namespace

struct fleet_service::impl
{
    impl(base::member_id id, const fleet_settings& values, hooks hook_table)
        : self(std::move(id)), settings(values), calls(std::move(hook_table)),
          store(calls.store, self), observer(values.observer),
          moves(values.moves)
    {
    }

    base::member_id self;
    fleet_settings settings;
    hooks calls;
    fleet_store store;
    capacity::fleet_observer observer;
    capacity::move_planner moves;
    fleet_state known;
    /// The last state that this planner read or wrote.
    std::optional<stored_fleet> cached;
    base::time_point cached_at;
    /// Set by other fibers; only the fiber that runs a step may change
    /// `cached`.
    bool stale = false;
    std::uint64_t noted_version = 0;
    fleet_report report;
    std::shared_ptr<const config::bundle> bundle;
    net::stop_signal stopping;
    net::task_group fibers;
    bool stepping = false;
    base::time_point next_lease_call{};

    base::time_point deadline() const
    {
        return calls.steady_now() + settings.call_timeout;
    }

    void publish(const fleet_state& state)
    {
        if (state.version <= known.version)
            return;
        known = state;
        if (calls.on_state)
            calls.on_state(known);
    }

    void store_failed(const base::error& failure)
    {
        const bool invalid = failure.code() == base::error_code::invalid;
        if (report.store_available)
            log::write(invalid ? event_fleet_state_invalid
                               : event_fleet_store_down,
                       {{"reason", failure.what()}});
        report.store_available = false;
        report.store_error = failure.what();
    }

    void store_answered()
    {
        if (!report.store_available)
            log::write(event_fleet_store_back);
        report.store_available = true;
        report.store_error.clear();
    }

    // The holder renews every third of the lease TTL and a standby tries every
    // half of it. A call by each member in each step caused 14.6 writes/s with
    // seven members.
    bool acquire_or_renew_lease()
    {
        const base::time_point now = calls.suspend_aware_now();
        if (now < next_lease_call)
            return report.planner;
        const auto grant = calls.store.acquire_lease(
            lease_name, self.str(), settings.lease_ttl, deadline());
        if (grant.held && !report.planner)
            log::write(event_planner_active, {{"member", self.str()}});
        report.planner = grant.held;
        report.lease_holder = grant.holder;
        next_lease_call = now + settings.lease_ttl / (grant.held ? 3 : 2);
        // It counts from when it was asked for.
        return grant.held &&
               calls.suspend_aware_now() - now < settings.lease_ttl;
    }

    void give_up_lease()
    {
        report.planner = false;
        next_lease_call = calls.suspend_aware_now() + settings.lease_ttl / 2;
        try
        {
            calls.store.release_lease(lease_name, self.str(), deadline());
        }
        catch (const base::error&)
        {
            // The lease expires after its TTL.
        }
    }

    /// Reads the state again unless `cached` is up to date and no older than
    /// `longest_age`.
    bool refresh(base::duration longest_age)
    {
        if (cached && !stale && noted_version <= cached->state.version &&
            calls.suspend_aware_now() - cached_at <= longest_age)
            return true;
        cached.reset();
        stale = false;
        const base::time_point asked_at = calls.suspend_aware_now();
        cached = store.read(deadline());
        cached_at = asked_at;
        // Another member may have reported a version that the store does not
        // have. Without this limit, each step would read the state again.
        noted_version = std::min(noted_version, cached->state.version);
        publish(cached->state);
        return true;
    }

    bool read_as_planner()
    {
        try
        {
            const bool ready =
                acquire_or_renew_lease() && refresh(settings.read_interval);
            if (!ready)
                cached.reset();
            store_answered();
            return ready;
        }
        catch (const base::error& failure)
        {
            store_failed(failure);
            return false;
        }
    }

    bool write(fleet_state next)
    {
        if (next == cached->state && cached->store_version != 0)
            return true;
        const base::time_point asked_at = calls.suspend_aware_now();
        try
        {
            if (store.swap(*cached, std::move(next), calls.wall_now(),
                           deadline()))
            {
                cached_at = asked_at;
                publish(cached->state);
                return true;
            }
            ++report.conflicts;
        }
        catch (const base::error& failure)
        {
            // The write may have taken effect, so the next step reads the state
            // again.
            store_failed(failure);
        }
        stale = true;
        return false;
    }

    fleet_state plan(const stored_fleet& stored,
                     const worker_poll_result& polled,
                     std::vector<fleet_change>& applied)
    {
        const base::wall_time now = calls.wall_now();
        fleet_state next = stored.store_version == 0
                               ? capacity::initial_state(*bundle, now)
                               : stored.state;
        capacity::reconcile(next, *bundle, now);
        for (const fleet_change& each :
             observer.observe(next, polled.sightings, now))
            try_apply(next, each, now, applied);
        moves.observe(calls.loads ? calls.loads()
                                  : used_slots(*bundle, next, polled),
                      *bundle, next, now);
        plan_drains(next, polled, now, applied);
        return next;
    }

    void plan_drains(fleet_state& next, const worker_poll_result& polled,
                     base::wall_time now, std::vector<fleet_change>& applied)
    {
        capacity::serving_ledger cautious(*bundle, next);
        // A worker that did not answer in this round may be lost even if it is
        // not yet marked as down.
        for (const auto& seen : polled.sightings)
            if (!seen.reported)
                cautious.remove(seen.worker);
        auto waves =
            capacity::wave_planner(*bundle, settings.waves).plan(next, now);
        if (auto move = moves.plan(*bundle, next, now))
            waves.changes.push_back(std::move(*move));
        for (const fleet_change& each : waves.changes)
        {
            const bool drains = each.kind == change_kind::start_drain;
            if (drains && cautious.breach_without(each.worker))
                continue;
            if (try_apply(next, each, now, applied) && drains)
                cautious.remove(each.worker);
        }
        report_budgets(next);
    }

    static bool try_apply(fleet_state& next, const fleet_change& change,
                          base::wall_time now,
                          std::vector<fleet_change>& applied)
    {
        try
        {
            capacity::apply_change(next, change, now);
        }
        catch (const base::error&)
        {
            // Conflicts with an earlier change of this step; the next step
            // plans again.
            return false;
        }
        applied.push_back(change);
        return true;
    }

    void report_budgets(const fleet_state& next)
    {
        const bool broken_before = std::exchange(report.budget_broken, false);
        for (const auto& each :
             capacity::budget_checker(*bundle).evaluate(next))
        {
            if (!each.broken_now())
                continue;
            report.budget_broken = true;
            if (!broken_before)
                log::write(capacity::event_budget_broken,
                           {{"reason", each.reason()}});
        }
    }

    void run_step()
    {
        if (auto fresh = calls.bundle())
            bundle = std::move(fresh);
        if (!bundle)
            return;
        if (!read_as_planner())
            return;
        const worker_calls worker_hooks{
            calls.workers,         calls.instances,
            calls.steady_now,      calls.suspend_aware_now,
            settings.call_timeout, settings.concurrency};
        worker_poll_result polled = poll_workers(worker_hooks, *bundle);
        report.workers_answering = polled.answered;
        if (polled.answered == 0 && !polled.sightings.empty())
        {
            log::write(event_no_worker_answers, {{"member", self.str()}});
            // Another member may be able to reach the workers.
            give_up_lease();
        }
        mark_outdated(polled,
                      calls.suspend_aware_now() - settings.longest_action_age);
        std::vector<fleet_change> applied;
        if (!write(plan(*cached, polled, applied)))
            return;
        for (const fleet_change& each : applied)
            log_change(each);
        run_actions(worker_hooks, polled);
        ++report.steps;
    }

    void run_actions(const worker_calls& worker_hooks,
                     const worker_poll_result& polled)
    {
        const base::wall_time now = calls.wall_now();
        if (!has_actions(*bundle, cached->state, polled, now))
            return;
        try
        {
            refresh(max_action_state_age);
        }
        catch (const base::error& failure)
        {
            store_failed(failure);
            return;
        }
        run_worker_actions(worker_hooks, *bundle, cached->state, polled, now,
                           cached_at + settings.longest_action_age);
    }

    template <class Decide>
    command_result run_command(std::string_view step, Decide decide)
    {
        const auto in_force = calls.bundle();
        if (!in_force)
            throw base::error(base::error_code::unavailable, std::string(step),
                              "", "no bundle is active yet; try again");
        for (int attempt = 0; attempt < max_command_attempts; ++attempt)
        {
            stored_fleet stored = store.read(deadline());
            if (stored.store_version == 0)
                throw base::error(
                    base::error_code::unavailable, std::string(step), "",
                    "the store has no fleet state yet; try again");
            const std::optional<fleet_change> change =
                decide(*in_force, stored.state);
            if (!change)
            {
                publish(stored.state);
                return {stored.state.version, true};
            }
            fleet_state next = stored.state;
            capacity::apply_change(next, *change, calls.wall_now());
            if (!store.swap(stored, std::move(next), calls.wall_now(),
                            deadline()))
                continue;
            log_change(*change);
            stale = true;
            publish(stored.state);
            return {stored.state.version, false};
        }
        throw base::error(
            base::error_code::conflict, std::string(step), "",
            "too many conflicting writes to the fleet state; try again");
    }
};

fleet_service::builder& fleet_service::builder::self(base::member_id id)
{
    self_ = std::move(id);
    return *this;
}

fleet_service::builder& fleet_service::builder::settings(fleet_settings values)
{
    settings_ = values;
    return *this;
}

fleet_service::builder& fleet_service::builder::use(hooks calls)
{
    hooks_ = std::move(calls);
    return *this;
}

std::unique_ptr<fleet_service> fleet_service::builder::build()
{
    const bool complete =
        hooks_.store.get && hooks_.store.compare_and_swap &&
        hooks_.store.acquire_lease && hooks_.store.release_lease &&
        hooks_.workers.report && hooks_.workers.drain &&
        hooks_.workers.undrain && hooks_.workers.reboot &&
        hooks_.instances.list && hooks_.bundle && hooks_.steady_now &&
        hooks_.suspend_aware_now && hooks_.wall_now && !self_.empty();
    if (!complete)
        throw base::error(base::error_code::invalid, "build fleet service", "",
                          "a hook or the member id is missing");
    return std::unique_ptr<fleet_service>(new fleet_service(
        std::make_unique<impl>(self_, settings_, std::move(hooks_))));
}

fleet_service::fleet_service(std::unique_ptr<impl> parts)
    : impl_(std::move(parts))
{
}

fleet_service::~fleet_service()
{
    stop();
}

void fleet_service::start()
{
    impl_->fibers.spawn_restarting(
        "plan",
        [this]
        {
            while (!impl_->stopping.wait_for(impl_->settings.interval))
                step();
            if (impl_->report.planner)
                impl_->give_up_lease();
        });
}

void fleet_service::stop()
{
    impl_->stopping.set();
    impl_->fibers.join();
}

void fleet_service::step()
{
    // Another fiber's step may be suspended in a call; steps must not overlap.
    if (std::exchange(impl_->stepping, true))
        return;
    try
    {
        impl_->run_step();
    }
    catch (const std::exception& failure)
    {
        // A hook failed; the next step retries.
        log::write(event_fleet_step_failed, {{"reason", failure.what()}});
    }
    impl_->stepping = false;
}

void fleet_service::note_version(std::uint64_t version)
{
    impl_->noted_version = std::max(impl_->noted_version, version);
}

void fleet_service::note_state(const fleet_state& state)
{
    note_version(state.version);
    if (state.version > impl_->known.version)
        impl_->known = state;
}

command_result fleet_service::hold_worker(const base::worker_id& worker)
{
    return impl_->run_command(
        "hold worker", [&](const config::bundle&, const fleet_state& state)
        { return hold_change(state, worker); });
}

command_result fleet_service::drain_worker(const base::worker_id& worker)
{
    return impl_->run_command("drain worker", [&](const config::bundle& bundle,
                                                  const fleet_state& state)
                              { return drain_change(bundle, state, worker); });
}

command_result fleet_service::release_worker(const base::worker_id& worker)
{
    return impl_->run_command(
        "release worker", [&](const config::bundle&, const fleet_state& state)
        { return release_change(state, worker); });
}

command_result fleet_service::start_wave(std::string_view wave)
{
    return impl_->run_command(
        "start wave",
        [&](const config::bundle& bundle, const fleet_state& state)
        { return start_wave_change(bundle, state, wave); });
}

command_result fleet_service::pause_wave(std::string_view wave,
                                         std::string_view reason)
{
    return impl_->run_command(
        "pause wave", [&](const config::bundle&, const fleet_state& state)
        { return pause_wave_change(state, wave, reason); });
}

command_result fleet_service::resume_wave(std::string_view wave)
{
    return impl_->run_command(
        "resume wave", [&](const config::bundle&, const fleet_state& state)
        { return resume_wave_change(state, wave); });
}

command_result fleet_service::create_move(const base::worker_id& worker,
                                          const base::pool_name& pool)
{
    return impl_->run_command(
        "create move",
        [&](const config::bundle& bundle, const fleet_state& state)
        { return move_change(bundle, state, worker, pool); });
}

const capacity::fleet_state& fleet_service::state() const
{
    return impl_->known;
}

boost::json::object fleet_service::snapshot() const
{
    const auto in_force = impl_->calls.bundle();
    return make_snapshot(impl_->report, impl_->known, in_force.get(),
                         impl_->settings.waves, impl_->calls.wall_now());
}

} // namespace pimentograde::dispatch
