#include "policy/slot_broker.hpp"

#include "policy/grant_table.hpp"
#include "policy/two_choices.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace pimentograde::policy
{

namespace
{

// Limits of a queue that is not in this process's bundle yet.
constexpr std::uint32_t unlisted_max_waiting = 64;
constexpr base::duration unlisted_max_wait = std::chrono::seconds{3};

// Borrowed grants are removed after this time. If another member has become the
// pool's broker, the slot is released there and never here.
constexpr std::chrono::seconds borrowed_grant_ttl{60};
// Serves departments without a quota after those with one.
constexpr double min_quota_slots = 0.01;

} // namespace

struct slot_broker::impl
{
    struct usage
    {
        double quota = min_quota_slots;
        double used = 0;
    };

    explicit impl(broker_settings given)
        : settings(std::move(given)), lending(settings.lending),
          workers(settings.ejection)
    {
    }

    [[nodiscard]] broker_queue bounds(const base::queue_name& queue) const;
    [[nodiscard]] double share(const base::department_name& department) const;
    [[nodiscard]] std::optional<slot_refusal>
    check_feasible(const slot_request& request, base::time_point now) const;
    [[nodiscard]] std::optional<slot_refusal>
    check_wait(const waiting_request& entry, base::time_point now) const;
    submit_result enqueue(waiting_request entry, base::time_point now);
    void refuse_expired(base::time_point now);
    void grant_waiting(base::time_point now);
    waiting_request* next_match(const wait_queue::match_function& matches);
    void count_grant(base::priority urgency);
    slot_grant create_grant(const slot_request& request,
                            const base::member_id& holder,
                            const base::worker_id& worker, double charge,
                            bool lent, base::time_point now);
    void remove_grant(const held_grant& held);
    void remove_borrowed_grant(const held_grant& held);
    void handle_overdue_loans(base::time_point now);

    broker_settings settings;
    broker_terms terms;
    lending_policy lending;
    worker_table workers;
    wait_queue queue;
    grant_table grants;
    grant_table borrowed;
    std::unordered_map<base::department_name, usage> departments;
    std::map<base::queue_name, broker_queue> queue_bounds;
    std::map<base::queue_name, base::time_point> borrow_blocked_until;
    std::vector<slot_event> events;
    std::uint64_t next_ticket = 1;
    /// Number of consecutive urgent grants while batch requests waited.
    std::uint32_t consecutive_urgent_grants = 0;
};

broker_queue slot_broker::impl::bounds(const base::queue_name& name) const
{
    const auto known = queue_bounds.find(name);
    return known != queue_bounds.end()
               ? known->second
               : broker_queue{name, unlisted_max_waiting, unlisted_max_wait};
}

double slot_broker::impl::share(const base::department_name& department) const
{
    const auto known = departments.find(department);
    return known == departments.end()
               ? 0
               : known->second.used / known->second.quota;
}

std::optional<slot_refusal>
slot_broker::impl::check_feasible(const slot_request& request,
                                  base::time_point now) const
{
    if (request.deadline <= now)
        return slot_refusal::wait_too_long;
    const bool empty = workers.max_slots() == 0;
    if (!empty && !workers.fits_any(request.size))
        return slot_refusal::too_large;
    if (!terms.may_borrow && !workers.has_candidate(request))
        return slot_refusal::no_worker;
    return std::nullopt;
}

// Refuses a wait as too long only if it would be too long even if the pool
// served nothing but this department, so that no request is refused that could
// be served in time.
std::optional<slot_refusal>
slot_broker::impl::check_wait(const waiting_request& entry,
                              base::time_point now) const
{
    const auto& request = entry.request;
    if (queue.size(request.queue) > bounds(request.queue).max_waiting)
        return slot_refusal::queue_full;
    const auto slots = workers.slots(now) + borrowed.size();
    if (slots == 0)
        return std::nullopt;
    const auto work_ahead =
        queue.expected_work(request.urgency, request.department) -
        entry.estimate.typical_time;
    if (work_ahead / static_cast<std::int64_t>(slots) > entry.expiry - now)
        return slot_refusal::wait_too_long;
    return std::nullopt;
}

submit_result slot_broker::impl::enqueue(waiting_request entry,
                                         base::time_point now)
{
    const auto ticket = entry.ticket;
    queue.push(std::move(entry));
    grant_waiting(now);
    const auto decided = std::find_if(events.begin(), events.end(),
                                      [&](const slot_event& event)
                                      { return event.ticket == ticket; });
    if (decided != events.end())
    {
        submit_result result{ticket, std::move(decided->decision)};
        events.erase(decided);
        return result;
    }
    if (const auto refusal = check_wait(*queue.find(ticket), now))
    {
        queue.remove(ticket);
        return {ticket, refuse(*refusal)};
    }
    return {ticket, std::nullopt};
}

void slot_broker::impl::refuse_expired(base::time_point now)
{
    for (const auto& entry : queue.take_expired(now))
    {
        const bool can_be_served =
            terms.may_borrow || workers.has_candidate(entry.request);
        events.push_back(
            {entry.ticket, refuse(can_be_served ? slot_refusal::wait_too_long
                                                : slot_refusal::no_worker)});
    }
}

waiting_request*
slot_broker::impl::next_match(const wait_queue::match_function& matches)
{
    const auto by_share = [this](const base::department_name& department)
    {
        return share(department);
    };
    const bool batch_first = consecutive_urgent_grants + 1 >= batch_interval;
    const auto first =
        batch_first ? base::priority::batch : base::priority::urgent;
    const auto second =
        batch_first ? base::priority::urgent : base::priority::batch;
    if (auto* entry = queue.find_next(first, by_share, matches))
        return entry;
    return queue.find_next(second, by_share, matches);
}

void slot_broker::impl::count_grant(base::priority urgency)
{
    const bool batch_waits = queue.size(base::priority::batch) > 0;
    consecutive_urgent_grants =
        urgency == base::priority::urgent && batch_waits
            ? std::min(consecutive_urgent_grants + 1, batch_interval)
            : 0;
}

slot_grant slot_broker::impl::create_grant(const slot_request& request,
                                           const base::member_id& holder,
                                           const base::worker_id& worker,
                                           double charge, bool lent,
                                           base::time_point now)
{
    const auto id = request.id.empty() ? settings.self.str() + "-" +
                                             std::to_string(next_ticket++)
                                       : request.id;
    slot_grant grant{id, worker, settings.pool, settings.self};
    workers.take_slot(worker);
    grants.add({grant, holder, request.queue, request.department, charge, lent,
                now + lending.settings().max_loan_time, id});
    return grant;
}

void slot_broker::impl::grant_waiting(base::time_point now)
{
    while (queue.size() > 0 && workers.has_free(now))
    {
        std::optional<base::worker_id> worker;
        auto* entry = next_match(
            [&](const waiting_request& candidate)
            {
                worker = workers.pick(candidate.request, now);
                return worker.has_value();
            });
        if (entry == nullptr)
            return;
        const auto taken = *queue.remove(entry->ticket);
        count_grant(taken.request.urgency);
        auto grant = create_grant(taken.request, taken.holder, *worker,
                                  taken.estimate.charge, false, now);
        departments[taken.request.department].used += taken.estimate.charge;
        events.push_back(
            {taken.ticket, {std::move(grant), slot_refusal::no_worker}});
    }
}

void slot_broker::impl::remove_grant(const held_grant& held)
{
    workers.return_slot(held.grant.worker);
    if (!held.loan)
        departments[held.department].used -= held.charge;
    grants.remove(std::string(held.grant.id));
}

void slot_broker::impl::remove_borrowed_grant(const held_grant& held)
{
    departments[held.department].used -= held.charge;
    borrowed.remove(held.grant.id);
}

void slot_broker::impl::handle_overdue_loans(base::time_point now)
{
    for (const auto& held : borrowed.overdue(now))
        remove_borrowed_grant(held);
    for (const auto& held : grants.overdue(now))
        if (now > held.due)
            borrow_blocked_until[held.queue] = now + overrun_penalty;
}

slot_broker::slot_broker(broker_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{
}

slot_broker::~slot_broker() = default;

void slot_broker::set_terms(broker_terms terms)
{
    impl_->queue_bounds.clear();
    for (const auto& queue : terms.queues)
        impl_->queue_bounds[queue.name] = queue;
    for (auto& [name, usage] : impl_->departments)
        usage.quota = min_quota_slots;
    for (const auto& department : terms.departments)
        impl_->departments[department.name].quota =
            std::max<double>(department.quota_slots, min_quota_slots);
    impl_->terms = std::move(terms);
}

void slot_broker::set_workers(const std::vector<broker_worker>& workers)
{
    std::set<base::worker_id> removed;
    for (const auto& id : impl_->workers.ids())
        removed.insert(id);
    for (const auto& worker : workers)
    {
        removed.erase(worker.id);
        const bool known = impl_->workers.find(worker.id) != nullptr;
        impl_->workers.set(worker,
                           known ? 0 : impl_->grants.count_on(worker.id));
    }
    for (const auto& id : removed)
        impl_->workers.remove(id);
}

void slot_broker::set_accepting(const base::worker_id& worker, bool accepting)
{
    impl_->workers.set_accepting(worker, accepting);
}

void slot_broker::reset_worker(const base::worker_id& worker)
{
    impl_->workers.ejector().reset_worker(worker);
    for (const auto& grant : impl_->grants.on_worker(worker))
        impl_->remove_grant(*impl_->grants.find(grant.id));
}

void slot_broker::record_report(const base::worker_id& worker,
                                std::uint32_t slots_used, base::time_point now)
{
    impl_->workers.record_report(worker, slots_used, now);
}

submit_result slot_broker::submit(const slot_request& request,
                                  const base::member_id& holder,
                                  const request_estimate& estimate,
                                  base::time_point now)
{
    if (const auto waiting = impl_->queue.ticket_of(request.id); waiting != 0)
        return {waiting, std::nullopt};
    if (const auto* held = impl_->grants.find(request.id))
        return {0, slot_decision{held->grant, {}}};
    if (const auto* loan = request.id.empty()
                               ? nullptr
                               : impl_->borrowed.find_request(request.id))
        return {0, slot_decision{loan->grant, {}}};
    if (const auto refusal = impl_->check_feasible(request, now))
        return {0, refuse(*refusal)};
    const auto expiry =
        std::min(request.deadline, now + impl_->bounds(request.queue).max_wait);
    return impl_->enqueue(
        {impl_->next_ticket++, request, holder, estimate, expiry, now}, now);
}

cancelled_request slot_broker::cancel(const std::string& request_id,
                                      base::time_point now)
{
    if (const auto ticket = impl_->queue.ticket_of(request_id); ticket != 0)
    {
        impl_->queue.remove(ticket);
        return {ticket, std::nullopt};
    }
    if (const auto* held = impl_->grants.find(request_id))
        release(slot_grant(held->grant), slot_outcome::unused, now);
    cancelled_request cancelled;
    if (const auto* loan = impl_->borrowed.find_request(request_id))
    {
        cancelled.loan = loan->grant;
        impl_->remove_borrowed_grant(held_grant(*loan));
    }
    return cancelled;
}

slot_decision slot_broker::grant_of_two(const slot_request& request,
                                        const base::member_id& holder,
                                        base::random_source& random,
                                        base::time_point now)
{
    const auto candidates = impl_->workers.candidates(request, now);
    std::vector<std::uint32_t> used;
    used.reserve(candidates.size());
    for (const auto& candidate : candidates)
        used.push_back(candidate.used);
    const auto chosen = choose_of_two(used, random);
    if (!chosen)
        return refuse(slot_refusal::no_worker);
    auto grant = impl_->create_grant(request, holder,
                                     candidates[*chosen].worker, 1, false, now);
    impl_->departments[request.department].used += 1;
    grant.broker = {};
    return {std::move(grant), slot_refusal::no_worker};
}

void slot_broker::release(const slot_grant& grant, slot_outcome outcome,
                          base::time_point now)
{
    impl_->handle_overdue_loans(now);
    if (const auto* held = impl_->grants.find(grant.id))
        impl_->remove_grant(*held);
    else if (const auto* loan = impl_->borrowed.find(grant.id))
        impl_->remove_borrowed_grant(held_grant(*loan));
    impl_->workers.record_outcome(grant.worker, outcome, now);
}

std::vector<slot_event> slot_broker::advance(base::time_point now)
{
    impl_->handle_overdue_loans(now);
    impl_->refuse_expired(now);
    impl_->grant_waiting(now);
    return std::exchange(impl_->events, {});
}

std::optional<base::time_point>
slot_broker::next_event(base::time_point now) const
{
    auto next = impl_->queue.next_expiry();
    if (!next)
        return std::nullopt;
    const auto change = impl_->workers.next_change(now);
    return change ? std::min(*next, *change) : next;
}

slot_decision slot_broker::lend(const slot_request& request,
                                const base::member_id& borrower,
                                base::time_point now)
{
    if (const auto* held = impl_->grants.find(request.id))
        return {held->grant, {}};
    impl_->handle_overdue_loans(now);
    const auto blocked = impl_->borrow_blocked_until.find(request.queue);
    if (blocked != impl_->borrow_blocked_until.end() && now < blocked->second)
        return refuse(slot_refusal::no_worker);
    const lender_load load{impl_->workers.slots(now), impl_->workers.used(now),
                           impl_->grants.loan_count(),
                           impl_->terms.min_workers *
                               impl_->workers.max_slots(),
                           static_cast<std::uint32_t>(impl_->queue.size())};
    if (impl_->lending.decide(load, request) != lending_verdict::lend)
        return refuse(slot_refusal::no_worker);
    const auto worker = impl_->workers.pick(request, now);
    if (!worker)
        return refuse(slot_refusal::no_worker);
    return {impl_->create_grant(request, borrower, *worker, 0, true, now),
            slot_refusal::no_worker};
}

std::vector<slot_grant> slot_broker::overdue_loans(base::time_point now) const
{
    std::vector<slot_grant> overdue;
    for (const auto& held : impl_->grants.overdue(now))
        overdue.push_back(held.grant);
    return overdue;
}

std::optional<borrow_need> slot_broker::next_borrow(base::time_point now)
{
    if (!impl_->terms.may_borrow || impl_->queue.size() == 0)
        return std::nullopt;
    auto* entry = impl_->next_match(
        [&](const waiting_request& candidate)
        {
            return candidate.borrow_after <= now &&
                   impl_->lending.is_lendable(candidate.request);
        });
    if (entry == nullptr)
        return std::nullopt;
    entry->borrow_after = now + borrow_retry_interval;
    return borrow_need{entry->ticket, entry->request, entry->holder};
}

bool slot_broker::add_loan(std::uint64_t ticket, const slot_grant& grant,
                           base::time_point now)
{
    const auto taken = impl_->queue.remove(ticket);
    if (!taken)
        return false;
    const auto& request = taken->request;
    impl_->count_grant(request.urgency);
    impl_->departments[request.department].used += taken->estimate.charge;
    impl_->borrowed.add({grant, taken->holder, request.queue,
                         request.department, taken->estimate.charge, true,
                         now + borrowed_grant_ttl, request.id});
    impl_->events.push_back({ticket, {grant, slot_refusal::no_worker}});
    return true;
}

dropped_work slot_broker::drop_member(const base::member_id& member,
                                      base::time_point now)
{
    dropped_work dropped;
    for (const auto& entry : impl_->queue.take_held_by(member))
        dropped.tickets.push_back(entry.ticket);
    dropped.loans = impl_->borrowed.held_by(member);
    auto returned = impl_->grants.held_by(member);
    returned.insert(returned.end(), dropped.loans.begin(), dropped.loans.end());
    for (const auto& grant : returned)
        release(grant, slot_outcome::unused, now);
    return dropped;
}

std::vector<std::uint64_t> slot_broker::withdraw_waiting()
{
    std::vector<std::uint64_t> tickets;
    for (const auto& entry : impl_->queue.take_all())
        tickets.push_back(entry.ticket);
    return tickets;
}

std::size_t slot_broker::waiting_count() const
{
    return impl_->queue.size();
}

broker_state slot_broker::state(base::time_point now) const
{
    return {
        impl_->queue.by_queue(),
        impl_->workers.slots(now),
        impl_->workers.used(now),
        impl_->grants.loan_count(),
        static_cast<std::uint32_t>(impl_->borrowed.size()),
        static_cast<std::uint32_t>(impl_->workers.ejector().ejected_count())};
}

const worker_table& slot_broker::workers() const
{
    return impl_->workers;
}

} // namespace pimentograde::policy
