#include "dispatch/worker_poll.hpp"

#include "base/error.hpp"
#include "dispatch/fleet_events.hpp"
#include "net/task_group.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace pimentograde::dispatch
{

using capacity::worker_sighting;
using capacity::worker_state;
using capacity::worker_status;

namespace
{

void for_each_bounded(std::size_t count, std::size_t concurrency,
                      const std::function<void(std::size_t)>& body)
{
    net::task_group fibers;
    std::size_t next = 0;
    const std::size_t fiber_count =
        std::min(count, std::max<std::size_t>(concurrency, 1));
    for (std::size_t fiber = 0; fiber < fiber_count; ++fiber)
        fibers.spawn(
            [&]
            {
                while (next < count)
                    body(next++);
            });
    fibers.join();
}

std::set<base::worker_id> leaving_workers(const worker_calls& calls)
{
    std::set<base::worker_id> leaving;
    try
    {
        for (const auto& each :
             calls.instances.list(calls.steady_now() + calls.timeout))
            if (each.state == provider::listed_state::leaving)
                leaving.insert(each.id);
    }
    catch (const base::error& failure)
    {
        // A leaving worker also says so in its own report.
        log::write(event_instance_list_down, {{"reason", failure.what()}});
    }
    return leaving;
}

bool is_batch_queue(const config::bundle& bundle, const std::string& queue)
{
    return std::any_of(bundle.queues.begin(), bundle.queues.end(),
                       [&](const config::queue& each) {
                           return each.name.str() == queue &&
                                  each.urgency == base::priority::batch;
                       });
}

enum class worker_action
{
    none,
    drain,
    checkpoint,
    reboot,
    undrain
};

/// Whether the drain for a wave has taken so long that batch tasks should be
/// checkpointed.
bool checkpoint_due(const config::bundle& bundle, const worker_status& status,
                    base::wall_time now)
{
    const auto wave = std::find_if(bundle.waves.begin(), bundle.waves.end(),
                                   [&](const config::wave& each)
                                   { return each.name == status.wave; });
    return wave != bundle.waves.end() &&
           wave->checkpoint_after != base::duration{} &&
           now >= status.since + wave->checkpoint_after;
}

worker_action choose_action(const config::bundle& bundle,
                            const worker_status& status,
                            const worker_sighting& seen, base::wall_time now)
{
    if (!seen.reported)
        return worker_action::none;
    const bool out = status.state == worker_state::draining ||
                     status.state == worker_state::moving ||
                     status.state == worker_state::rebooting;
    if (out && !seen.refuses_work)
        return worker_action::drain;
    if (status.state == worker_state::draining && seen.slots_used > 0 &&
        checkpoint_due(bundle, status, now))
        return worker_action::checkpoint;
    if (status.state == worker_state::rebooting && seen.slots_used == 0 &&
        seen.incarnation == status.incarnation)
        return worker_action::reboot;
    // Ignores the instance list: it lags, and shows the worker as leaving until
    // the worker accepts work again.
    if (status.state == worker_state::probation && seen.refuses_work)
        return worker_action::undrain;
    return worker_action::none;
}

struct planned_action
{
    std::size_t index = 0;
    worker_action action = worker_action::none;
};

std::vector<planned_action> plan_actions(const config::bundle& bundle,
                                         const capacity::fleet_state& state,
                                         const worker_poll_result& polled,
                                         base::wall_time now)
{
    std::vector<planned_action> planned;
    for (std::size_t index = 0; index < polled.sightings.size(); ++index)
    {
        const worker_sighting& seen = polled.sightings[index];
        const auto status = state.workers.find(seen.worker);
        if (status == state.workers.end())
            continue;
        const auto action = choose_action(bundle, status->second, seen, now);
        if (action != worker_action::none)
            planned.push_back({index, action});
    }
    return planned;
}

class action_runner
{
public:
    action_runner(const worker_calls& calls, const config::bundle& bundle,
                  base::time_point valid_until)
        : calls_(calls), bundle_(bundle), valid_until_(valid_until)
    {
    }

    void run(worker_action action, const config::worker& worker,
             const std::vector<provider::task_usage>& usage) const
    {
        const provider::worker_endpoint where{worker.id, worker.address};
        switch (action)
        {
        case worker_action::drain:
            return send(where, calls_.workers.drain);
        case worker_action::reboot:
            return reboot(where);
        case worker_action::undrain:
            return send(where, calls_.workers.undrain);
        case worker_action::checkpoint:
            return checkpoint(where, usage);
        case worker_action::none:
            break;
        }
    }

private:
    template <class Call>
    void attempt(const provider::worker_endpoint& where, Call call) const
    {
        if (calls_.suspend_aware_now() > valid_until_)
            return;
        try
        {
            call(calls_.steady_now() + calls_.timeout);
        }
        catch (const base::error& failure)
        {
            log::write(event_worker_call_failed, {{"worker", where.id.str()},
                                                  {"reason", failure.what()}});
        }
    }

    void send(const provider::worker_endpoint& where,
              const std::function<void(const provider::worker_endpoint&,
                                       base::time_point)>& call) const
    {
        attempt(where,
                [&](base::time_point deadline) { call(where, deadline); });
    }

    /// Requests a new report before the reboot: since the round, a planner that
    /// had been paused may have undrained the worker.
    void reboot(const provider::worker_endpoint& where) const
    {
        attempt(where,
                [&](base::time_point deadline)
                {
                    const base::time_point asked_at =
                        calls_.suspend_aware_now();
                    const auto report = calls_.workers.report(where, deadline);
                    if (report.leaving && report.slots_used == 0 &&
                        calls_.suspend_aware_now() - asked_at <= calls_.timeout)
                        calls_.workers.reboot(where, deadline);
                });
    }

    void checkpoint(const provider::worker_endpoint& where,
                    const std::vector<provider::task_usage>& usage) const
    {
        if (!calls_.workers.checkpoint)
            return;
        for (const provider::task_usage& each : usage)
            if (is_batch_queue(bundle_, each.queue))
                attempt(where,
                        [&](base::time_point deadline) {
                            calls_.workers.checkpoint(where, each.lease,
                                                      deadline);
                        });
    }

    const worker_calls& calls_;
    const config::bundle& bundle_;
    base::time_point valid_until_;
};

} // namespace

worker_poll_result poll_workers(const worker_calls& calls,
                                const config::bundle& bundle)
{
    const std::set<base::worker_id> leaving = leaving_workers(calls);
    worker_poll_result polled;
    polled.sightings.resize(bundle.workers.size());
    polled.usage.resize(bundle.workers.size());
    polled.asked_at.resize(bundle.workers.size());
    for_each_bounded(bundle.workers.size(), calls.concurrency,
                     [&](std::size_t index)
                     {
                         const config::worker& worker = bundle.workers[index];
                         worker_sighting& seen = polled.sightings[index];
                         seen.worker = worker.id;
                         polled.asked_at[index] = calls.suspend_aware_now();
                         seen.listed_leaving = leaving.contains(worker.id);
                         try
                         {
                             provider::worker_report report =
                                 calls.workers.report(
                                     {worker.id, worker.address},
                                     calls.steady_now() + calls.timeout);
                             seen.reported = true;
                             seen.refuses_work = report.leaving;
                             seen.slots_used = report.slots_used;
                             seen.incarnation = report.incarnation;
                             polled.usage[index] = std::move(report.usage);
                             ++polled.answered;
                         }
                         catch (const base::error&)
                         {
                             // The observer counts missing reports.
                             seen.reported = false;
                         }
                     });
    return polled;
}

void mark_outdated(worker_poll_result& polled, base::time_point oldest)
{
    for (std::size_t index = 0; index < polled.sightings.size(); ++index)
    {
        worker_sighting& seen = polled.sightings[index];
        if (polled.asked_at[index] >= oldest)
            continue;
        seen.reported = false;
        seen.outdated = true;
    }
}

std::vector<capacity::pool_load> used_slots(const config::bundle& bundle,
                                            const capacity::fleet_state& state,
                                            const worker_poll_result& polled)
{
    std::map<base::pool_name, double> used;
    for (const config::pool& each : bundle.pools)
        used[each.name] = 0;
    for (const worker_sighting& seen : polled.sightings)
    {
        const auto found = state.workers.find(seen.worker);
        if (found != state.workers.end() && seen.reported)
            used[found->second.pool] += seen.slots_used;
    }
    std::vector<capacity::pool_load> loads;
    loads.reserve(used.size());
    for (const auto& [pool, slots] : used)
        loads.push_back({pool, slots});
    return loads;
}

bool has_actions(const config::bundle& bundle,
                 const capacity::fleet_state& state,
                 const worker_poll_result& polled, base::wall_time now)
{
    return !plan_actions(bundle, state, polled, now).empty();
}

void run_worker_actions(const worker_calls& calls, const config::bundle& bundle,
                        const capacity::fleet_state& state,
                        const worker_poll_result& polled, base::wall_time now,
                        base::time_point valid_until)
{
    const auto planned = plan_actions(bundle, state, polled, now);
    const action_runner actions(calls, bundle, valid_until);
    for_each_bounded(planned.size(), calls.concurrency,
                     [&](std::size_t position)
                     {
                         const auto [index, action] = planned[position];
                         actions.run(action, bundle.workers[index],
                                     polled.usage[index]);
                     });
}

} // namespace pimentograde::dispatch
