#include "base/error.hpp"
#include "dispatch/slot_events.hpp"
#include "dispatch/slot_service_impl.hpp"
#include "policy/backoff.hpp"
#include "policy/events.hpp"

#include <boost/fiber/operations.hpp>

#include <utility>

namespace pimentograde::dispatch
{

using policy::slot_decision;
using policy::slot_grant;
using policy::slot_outcome;
using policy::slot_refusal;
using policy::slot_request;

namespace
{

// Members may disagree about the broker until their heartbeats converge. After
// this many redirects, a worker is chosen without a broker.
constexpr int max_redirects = 8;
constexpr policy::backoff_settings redirect_backoff{
    std::chrono::milliseconds{5}, std::chrono::milliseconds{200}};
// Longer than the 3 s after which a broker drops a member that sends no
// heartbeats and reclaims its grants.
constexpr std::chrono::seconds release_timeout{10};
constexpr policy::backoff_settings release_backoff{
    std::chrono::milliseconds{20}, std::chrono::seconds{1}};

} // namespace

slot_decision slot_service::impl::acquire(slot_request request)
{
    if (stopping)
    {
        count(refuse(slot_refusal::stopping), request);
        return refuse(slot_refusal::stopping);
    }
    if (request.retry && !retries.try_retry(request.department))
    {
        ++counters.refused.at(
            static_cast<std::size_t>(slot_refusal::retry_budget));
        return refuse(slot_refusal::retry_budget);
    }
    request.id = next_id();
    if (request.expected_time == base::duration::zero())
        request.expected_time = fleet.long_time(request);
    auto decision = route(request);
    count(decision, request);
    return decision;
}

void slot_service::impl::count(const slot_decision& decision,
                               const slot_request& request)
{
    if (!decision.grant)
    {
        ++counters.refused.at(static_cast<std::size_t>(decision.refusal));
        if (request.retry && !stopping)
            retries.refund(request.department);
        return;
    }
    ++counters.granted;
    if (request.retry)
        ++counters.retried;
    else
        // Refused requests put no load on workers, so they do not add to the
        // retry budget.
        retries.record_first_attempt(request.department);
}

slot_decision slot_service::impl::route(const slot_request& request)
{
    policy::backoff pause{redirect_backoff};
    for (int redirects = 0; redirects < max_redirects; ++redirects)
    {
        if (stopping)
            return refuse(slot_refusal::stopping);
        const auto broker = hooks.broker_of(request.pool);
        if (broker.empty())
            break;
        bool reachable = true;
        const auto decision = broker == self
                                  ? acquire_local(request, self)
                                  : acquire_remote(broker, request, reachable);
        if (decision)
            return *decision;
        if (!reachable)
            break;
        ++counters.redirected;
        const auto delay =
            pause.next(base::steady_now(), request.deadline, random);
        if (!delay)
            return refuse(slot_refusal::wait_too_long);
        boost::this_fiber::sleep_for(*delay);
    }
    return choose_unbrokered(request);
}

std::optional<slot_decision>
slot_service::impl::acquire_local(const slot_request& request,
                                  const base::member_id& holder)
{
    auto* pool = find(request.pool);
    if (pool == nullptr)
        return refuse(slot_refusal::no_worker);
    return pool->acquire(request, holder, fleet.estimate(request),
                         [&] { start_borrowing(request.pool); });
}

std::optional<slot_decision>
slot_service::impl::acquire_remote(const base::member_id& broker,
                                   const slot_request& request, bool& reachable)
{
    try
    {
        auto decision = hooks.remote_acquire(broker, request);
        unreachable.erase(broker);
        return decision;
    }
    catch (const base::error& failure)
    {
        if (failure.code() == base::error_code::conflict)
            return std::nullopt;
        reachable = false;
        if (failure.effect_unknown())
            // The broker may have granted a slot under the request's id.
            send_release(broker, request,
                         {request.id, {}, request.pool, broker},
                         slot_outcome::unused, {});
        if (unreachable.insert(broker).second)
            log::write(event_broker_unreachable, {{"pool", request.pool.str()},
                                                  {"peer", broker.str()},
                                                  {"reason", failure.what()}});
        return std::nullopt;
    }
}

slot_decision slot_service::impl::choose_unbrokered(const slot_request& request)
{
    auto* pool = find(request.pool);
    const auto now = base::steady_now();
    if (pool == nullptr)
        return refuse(slot_refusal::no_worker);
    if (now >= request.deadline)
        return refuse(slot_refusal::wait_too_long);
    auto decision = pool->broker().grant_of_two(request, self, random, now);
    if (decision.grant)
        ++counters.unbrokered;
    return decision;
}

void slot_service::impl::release(const slot_request& request,
                                 const slot_grant& grant, slot_outcome outcome,
                                 base::duration run_time)
{
    apply_release(request, grant, outcome, run_time);
    std::set<base::member_id> recipients;
    if (!grant.broker.empty())
        recipients.insert(grant.broker);
    else if (const auto broker = hooks.broker_of(grant.pool);
             !unreachable.contains(broker))
        // Report the outcome to the broker although it did not grant the slot.
        recipients.insert(broker);
    if (grant.pool != request.pool)
        recipients.insert(hooks.broker_of(request.pool));
    recipients.erase(self);
    recipients.erase(base::member_id{});
    for (const auto& member : recipients)
        send_release(member, request, grant, outcome, run_time);
}

void slot_service::impl::apply_release(const slot_request& request,
                                       const slot_grant& grant,
                                       slot_outcome outcome,
                                       base::duration run_time)
{
    const auto now = base::steady_now();
    if (outcome == slot_outcome::succeeded)
        fleet.sizes().record_run(request.queue, run_time);
    if (outcome == slot_outcome::worker_leaving)
    {
        fleet.leaving().signal(grant.worker,
                               policy::leaving_source::worker_refusal, 0, now);
        refresh_worker(grant.worker);
    }
    std::set<base::pool_name> touched{grant.pool, request.pool};
    for (const auto& name : touched)
    {
        auto* pool = find(name);
        if (pool == nullptr)
            continue;
        const auto& ejector = pool->broker().workers().ejector();
        const bool before = ejector.is_ejected(grant.worker);
        pool->broker().release(grant, outcome, now);
        const bool after = ejector.is_ejected(grant.worker);
        if (before != after)
            log::write(after ? policy::event_worker_ejected
                             : policy::event_worker_readmitted,
                       {{"worker", grant.worker.str()}, {"pool", name.str()}});
        pool->deliver();
    }
}

void slot_service::impl::send_release(const base::member_id& member,
                                      const slot_request& request,
                                      const slot_grant& grant,
                                      slot_outcome outcome,
                                      base::duration run_time)
{
    // Runs in its own fiber so that the caller's response does not wait for it.
    background.spawn(
        [this, member, request, grant, outcome, run_time]
        { deliver_release(member, request, grant, outcome, run_time); });
}

void slot_service::impl::deliver_release(const base::member_id& member,
                                         const slot_request& request,
                                         const slot_grant& grant,
                                         slot_outcome outcome,
                                         base::duration run_time)
{
    policy::backoff pause{release_backoff};
    const auto deadline = base::steady_now() + release_timeout;
    while (true)
    {
        try
        {
            return hooks.remote_release(member, request, grant, outcome,
                                        run_time);
        }
        catch (const base::error& failure)
        {
            const auto delay = pause.next(base::steady_now(), deadline, random);
            if (!delay || stopping)
            {
                ++counters.releases_lost;
                log::write(event_release_lost, {{"peer", member.str()},
                                                {"reason", failure.what()}});
                return;
            }
            boost::this_fiber::sleep_for(*delay);
        }
    }
}

void slot_service::impl::return_slot(const slot_request& request,
                                     const slot_grant& grant)
{
    if (grant.broker != self)
        return send_release(grant.broker, request, grant, slot_outcome::unused,
                            {});
    if (auto* pool = find(grant.pool))
    {
        pool->broker().release(grant, slot_outcome::unused, base::steady_now());
        pool->deliver();
    }
}

} // namespace pimentograde::dispatch
