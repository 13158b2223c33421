#include "dispatch/worker_round.hpp"

#include "base/error.hpp"
#include "dispatch/fleet_events.hpp"
#include "net/task_group.hpp"

#include <algorithm>
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
    const std::size_t lanes =
        std::min(count, std::max<std::size_t>(concurrency, 1));
    for (std::size_t lane = 0; lane < lanes; ++lane)
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
            if (each.state == platform::listed_state::leaving)
                leaving.insert(each.id);
    }
    catch (const base::error& failure)
    {
        // The workers' own refusal still tells which of them are leaving.
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

class action_round
{
public:
    action_round(const worker_calls& calls, const config::bundle& bundle,
                 base::wall_time now, base::time_point until)
        : calls_(calls), bundle_(bundle), now_(now), until_(until)
    {
    }

    void act(const config::worker& worker, const worker_status& status,
             const worker_sighting& seen,
             const std::vector<platform::task_usage>& usage) const
    {
        const platform::worker_endpoint where{worker.id, worker.address};
        const bool out = status.state == worker_state::draining ||
                         status.state == worker_state::moving ||
                         status.state == worker_state::rebooting;
        if (out && !seen.refuses_work)
            return tell(where, calls_.workers.drain);
        if (status.state == worker_state::draining)
            return checkpoint(where, status, usage);
        if (status.state == worker_state::rebooting && seen.slots_used == 0 &&
            seen.incarnation == status.incarnation)
            return tell(where, calls_.workers.reboot);
        if (status.state == worker_state::probation && seen.refuses_work &&
            !seen.listed_leaving)
            tell(where, calls_.workers.undrain);
    }

private:
    template <class Call>
    void attempt(const platform::worker_endpoint& where, Call call) const
    {
        const base::time_point now = calls_.steady_now();
        if (now > until_)
            return;
        try
        {
            call(now + calls_.timeout);
        }
        catch (const base::error& failure)
        {
            log::write(event_worker_call_failed, {{"worker", where.id.str()},
                                                  {"reason", failure.what()}});
        }
    }

    void tell(const platform::worker_endpoint& where,
              const std::function<void(const platform::worker_endpoint&,
                                       base::time_point)>& call) const
    {
        attempt(where,
                [&](base::time_point deadline) { call(where, deadline); });
    }

    void checkpoint(const platform::worker_endpoint& where,
                    const worker_status& status,
                    const std::vector<platform::task_usage>& usage) const
    {
        const auto wave = std::find_if(
            bundle_.waves.begin(), bundle_.waves.end(),
            [&](const config::wave& each) { return each.name == status.wave; });
        if (wave == bundle_.waves.end() || !calls_.workers.checkpoint ||
            wave->checkpoint_after == base::duration{} ||
            now_ < status.since + wave->checkpoint_after)
            return;
        for (const platform::task_usage& each : usage)
            if (is_batch_queue(bundle_, each.queue))
                attempt(where,
                        [&](base::time_point deadline) {
                            calls_.workers.checkpoint(where, each.lease,
                                                      deadline);
                        });
    }

    const worker_calls& calls_;
    const config::bundle& bundle_;
    base::wall_time now_;
    base::time_point until_;
};

} // namespace

worker_round ask_workers(const worker_calls& calls,
                         const config::bundle& bundle)
{
    const std::set<base::worker_id> leaving = leaving_workers(calls);
    worker_round round;
    round.sightings.resize(bundle.workers.size());
    round.usage.resize(bundle.workers.size());
    for_each_bounded(bundle.workers.size(), calls.concurrency,
                     [&](std::size_t index)
                     {
                         const config::worker& worker = bundle.workers[index];
                         worker_sighting& seen = round.sightings[index];
                         seen.worker = worker.id;
                         seen.listed_leaving = leaving.contains(worker.id);
                         try
                         {
                             platform::worker_report report =
                                 calls.workers.report(
                                     {worker.id, worker.address},
                                     calls.steady_now() + calls.timeout);
                             seen.reported = true;
                             seen.refuses_work = report.leaving;
                             seen.slots_used = report.slots_used;
                             seen.incarnation = report.incarnation;
                             round.usage[index] = std::move(report.usage);
                             ++round.answered;
                         }
                         catch (const base::error&)
                         {
                             // The observer counts the missing report.
                             seen.reported = false;
                         }
                     });
    return round;
}

void act_on_workers(const worker_calls& calls, const config::bundle& bundle,
                    const capacity::fleet_state& state,
                    const worker_round& round, base::wall_time now,
                    base::time_point until)
{
    std::vector<std::size_t> reached;
    for (std::size_t index = 0; index < round.sightings.size(); ++index)
        if (round.sightings[index].reported)
            reached.push_back(index);
    const action_round actions(calls, bundle, now, until);
    for_each_bounded(reached.size(), calls.concurrency,
                     [&](std::size_t position)
                     {
                         const std::size_t index = reached[position];
                         const config::worker& worker = bundle.workers[index];
                         const auto status = state.workers.find(worker.id);
                         if (status != state.workers.end())
                             actions.act(worker, status->second,
                                         round.sightings[index],
                                         round.usage[index]);
                     });
}

} // namespace pimentograde::dispatch
