#include "base/error.hpp"
#include "dispatch/slot_service_impl.hpp"
#include "policy/lending_policy.hpp"

#include <boost/fiber/operations.hpp>

#include <utility>

namespace pimentograde::dispatch
{

using policy::slot_decision;
using policy::slot_outcome;
using policy::slot_refusal;
using policy::slot_request;

namespace
{

constexpr std::chrono::milliseconds borrow_poll_interval{5};
// Limits the calls per request when there are hundreds of pools.
constexpr std::size_t max_lenders_asked = 4;
// A lender that refused is not asked again for this time.
constexpr std::chrono::milliseconds lender_retry_delay{20};

} // namespace

void slot_service::impl::start_borrowing(const base::pool_name& pool)
{
    if (stopping || !borrowing.insert(pool).second)
        return;
    background.spawn(
        [this, pool]
        {
            run_borrowing(pool);
            borrowing.erase(pool);
        });
}

void slot_service::impl::run_borrowing(const base::pool_name& pool)
{
    while (!stopping)
    {
        auto* slots = find(pool);
        if (slots == nullptr || slots->broker().waiting_count() == 0)
            return;
        const auto need = slots->broker().next_borrow(base::steady_now());
        if (need)
            borrow(pool, *need);
        else
            boost::this_fiber::sleep_for(borrow_poll_interval);
    }
}

std::vector<base::pool_name>
slot_service::impl::lenders(const base::pool_name& borrower) const
{
    std::vector<policy::lender_candidate> candidates;
    const auto now = base::steady_now();
    for (const auto& [name, view] : fleet.pools())
    {
        const auto hint = hints.find(name);
        const bool known = hint != hints.end();
        if (name == borrower || (known && now < hint->second.ask_after))
            continue;
        policy::lender_candidate candidate{name, view.spare, std::nullopt};
        if (is_broker(name))
        {
            const auto state = find(name)->broker().state(now);
            candidate.idle_slots =
                state.slots > state.used ? state.slots - state.used : 0;
        }
        else if (known)
            candidate.idle_slots = hint->second.idle;
        candidates.push_back(std::move(candidate));
    }
    auto order = policy::lending_policy::order(std::move(candidates));
    if (order.size() > max_lenders_asked)
        order.resize(max_lenders_asked);
    return order;
}

void slot_service::impl::borrow(const base::pool_name& pool,
                                const policy::borrow_need& need)
{
    for (const auto& lender : lenders(pool))
    {
        slot_request request = need.request;
        request.pool = lender;
        request.id = next_id();
        const auto decision = ask_lender(lender, request);
        if (!decision.grant)
        {
            hints[lender].ask_after = base::steady_now() + lender_retry_delay;
            continue;
        }
        auto* slots = find(pool);
        if (slots == nullptr ||
            !slots->broker().add_loan(need.ticket, *decision.grant,
                                      base::steady_now()))
            return return_slot(request, *decision.grant);
        ++counters.borrowed;
        slots->deliver();
        return;
    }
}

slot_decision slot_service::impl::ask_lender(const base::pool_name& lender,
                                             const slot_request& request)
{
    const auto broker = hooks.broker_of(lender);
    if (broker.empty())
        return refuse(slot_refusal::no_worker);
    if (broker == self)
        return lend(request, self);
    try
    {
        return hooks.remote_borrow(broker, request);
    }
    catch (const base::error& failure)
    {
        if (failure.effect_unknown())
            send_release(broker, request, {request.id, {}, lender, broker},
                         slot_outcome::unused, {});
        return refuse(slot_refusal::no_worker);
    }
}

slot_decision slot_service::impl::lend(const slot_request& request,
                                       const base::member_id& borrower)
{
    auto* pool = find(request.pool);
    if (pool == nullptr || stopping)
        return refuse(slot_refusal::no_worker);
    auto decision = pool->broker().lend(request, borrower, base::steady_now());
    if (decision.grant)
        ++counters.lent;
    return decision;
}

} // namespace pimentograde::dispatch
