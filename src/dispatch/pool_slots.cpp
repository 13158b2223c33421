#include "dispatch/pool_slots.hpp"

#include "net/task_group.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>

#include <unordered_map>
#include <utility>

namespace pimentograde::dispatch
{

namespace
{

using answer = std::optional<policy::slot_decision>;
using answer_promise = boost::fibers::promise<answer>;

} // namespace

struct pool_slots::impl
{
    explicit impl(policy::broker_settings settings)
        : broker(std::move(settings))
    {
    }

    void resolve(std::uint64_t ticket, const answer& value);
    void run_timer();
    void ensure_timer();

    policy::slot_broker broker;
    std::unordered_map<std::uint64_t, answer_promise> waiters;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool timer_runs = false;
    net::task_group fibers;
};

void pool_slots::impl::resolve(std::uint64_t ticket, const answer& value)
{
    auto node = waiters.extract(ticket);
    if (!node.empty())
        return node.mapped().set_value(value);
    // The waiting fiber has ended, so nothing else would release the slot.
    if (value && value->grant)
        broker.release(*value->grant, policy::slot_outcome::unused,
                       base::steady_now());
}

void pool_slots::impl::ensure_timer()
{
    if (std::exchange(timer_runs, true))
        return;
    fibers.spawn([this] { run_timer(); });
}

void pool_slots::impl::run_timer()
{
    while (broker.waiting_count() > 0)
    {
        const auto now = base::steady_now();
        for (const auto& event : broker.advance(now))
            resolve(event.ticket, event.decision);
        const auto next = broker.next_event(now);
        if (!next)
            break;
        std::unique_lock lock(mutex);
        changed.wait_until(lock, *next);
    }
    timer_runs = false;
}

pool_slots::pool_slots(policy::broker_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

pool_slots::~pool_slots()
{
    impl_->changed.notify_all();
}

policy::slot_broker& pool_slots::broker()
{
    return impl_->broker;
}

std::optional<policy::slot_decision>
pool_slots::acquire(const policy::slot_request& request,
                    const base::member_id& holder,
                    const policy::request_estimate& estimate,
                    const std::function<void()>& on_wait)
{
    const auto result =
        impl_->broker.submit(request, holder, estimate, base::steady_now());
    if (result.decision)
    {
        deliver();
        return result.decision;
    }
    // A repeated request replaces the first one, whose fiber is woken with a
    // refusal.
    impl_->resolve(result.ticket, policy::slot_decision{});
    auto decided = impl_->waiters[result.ticket].get_future();
    deliver();
    impl_->ensure_timer();
    on_wait();
    return decided.get();
}

void pool_slots::deliver()
{
    for (auto events = impl_->broker.advance(base::steady_now());
         !events.empty(); events = impl_->broker.advance(base::steady_now()))
        for (const auto& event : events)
            impl_->resolve(event.ticket, event.decision);
    impl_->changed.notify_all();
}

std::optional<policy::slot_grant>
pool_slots::cancel(const std::string& request_id)
{
    const auto cancelled = impl_->broker.cancel(request_id, base::steady_now());
    if (cancelled.ticket != 0)
        impl_->resolve(cancelled.ticket, policy::slot_decision{});
    deliver();
    return cancelled.loan;
}

std::vector<policy::slot_grant>
pool_slots::drop_member(const base::member_id& member)
{
    const auto dropped = impl_->broker.drop_member(member, base::steady_now());
    for (const auto ticket : dropped.tickets)
        impl_->resolve(ticket, policy::slot_decision{});
    deliver();
    return dropped.loans;
}

std::size_t pool_slots::redirect_waiting()
{
    const auto tickets = impl_->broker.withdraw_waiting();
    for (const auto ticket : tickets)
        impl_->resolve(ticket, std::nullopt);
    impl_->changed.notify_all();
    return tickets.size();
}

void pool_slots::refuse_waiting(policy::slot_refusal reason)
{
    for (const auto ticket : impl_->broker.withdraw_waiting())
        impl_->resolve(ticket, policy::slot_decision{std::nullopt, reason});
    impl_->changed.notify_all();
}

} // namespace pimentograde::dispatch
