#include "dispatch/slot_service.hpp"

#include "base/error.hpp"
#include "dispatch/slot_events.hpp"
#include "dispatch/slot_service_impl.hpp"

#include <utility>

namespace pimentograde::dispatch
{

using policy::slot_decision;
using policy::slot_grant;
using policy::slot_outcome;
using policy::slot_refusal;
using policy::slot_request;

slot_service::impl::impl(base::member_id member, slot_hooks given,
                         base::random_source source)
    : self(std::move(member)), hooks(std::move(given)), random(source)
{
    // The random part keeps ids distinct from those of an earlier process of
    // the same member.
    id_prefix = self.str() + "-" + random.hex_id() + "-";
}

std::string slot_service::impl::next_id()
{
    return id_prefix + std::to_string(id_count++);
}

pool_slots* slot_service::impl::find(const base::pool_name& pool) const
{
    const auto known = pools.find(pool);
    return known == pools.end() ? nullptr : known->second.get();
}

bool slot_service::impl::is_broker(const base::pool_name& pool) const
{
    return hooks.broker_of(pool) == self;
}

void slot_service::impl::apply_fleet()
{
    for (auto& [name, slots] : pools)
        if (!fleet.pools().contains(name))
        {
            slots->broker().set_workers({});
            slots->refuse_waiting(slot_refusal::no_worker);
        }
    for (const auto& [name, view] : fleet.pools())
    {
        auto& slots = pools[name];
        if (!slots)
            slots = std::make_unique<pool_slots>(
                policy::broker_settings{self, name, lending, ejection});
        slots->broker().set_terms(view.terms);
        slots->broker().set_workers(view.workers);
        slots->deliver();
    }
}

void slot_service::impl::refresh_worker(const base::worker_id& worker)
{
    auto* pool = find(fleet.pool_of(worker));
    if (pool == nullptr)
        return;
    const bool before = pool->broker().workers().is_accepting(worker);
    const bool after = fleet.refresh(worker);
    pool->broker().set_accepting(worker, after);
    if (before && !after)
        log::write(event_worker_leaving, {{"worker", worker.str()}});
    pool->deliver();
}

slot_service::slot_service(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

slot_service::~slot_service()
{
    stop();
}

policy::slot_operations slot_service::operations()
{
    return {[this](const slot_request& request) { return acquire(request); },
            [this](const slot_request& request, const slot_grant& grant,
                   slot_outcome outcome, base::duration run_time)
            {
                release(request, grant, outcome, run_time);
            }};
}

slot_decision slot_service::acquire(const slot_request& request)
{
    return impl_->acquire(request);
}

void slot_service::release(const slot_request& request, const slot_grant& grant,
                           slot_outcome outcome, base::duration run_time)
{
    impl_->release(request, grant, outcome, run_time);
}

slot_decision slot_service::handle_acquire(const base::member_id& from,
                                           const slot_request& request)
{
    const auto fail = [&](base::error_code code, std::string_view detail)
    {
        throw base::error(code, "acquire_slot", impl_->self.str(), detail);
    };
    if (impl_->stopping)
        fail(base::error_code::unavailable, "this member is stopping");
    if (!impl_->is_broker(request.pool))
        fail(base::error_code::conflict, "another member is the broker");
    const auto decision = impl_->acquire_local(request, from);
    if (!decision)
        fail(base::error_code::conflict, "the pool has a new broker");
    if (decision->refusal == slot_refusal::stopping && !decision->grant)
        fail(base::error_code::unavailable, "this member is stopping");
    return *decision;
}

slot_decision slot_service::handle_borrow(const base::member_id& from,
                                          const slot_request& request)
{
    if (!impl_->is_broker(request.pool))
        throw base::error(base::error_code::conflict, "borrow_slot",
                          impl_->self.str(), "another member is the broker");
    return impl_->lend(request, from);
}

void slot_service::handle_release(const base::member_id&,
                                  const slot_request& request,
                                  const slot_grant& grant, slot_outcome outcome,
                                  base::duration run_time)
{
    if (outcome == slot_outcome::unused)
        if (auto* pool = impl_->find(grant.pool))
            if (const auto loan = pool->cancel(grant.id))
                impl_->return_slot(request, *loan);
    impl_->apply_release(request, grant, outcome, run_time);
}

void slot_service::set_fleet(const config::bundle& bundle,
                             std::span<const worker_placement> placements)
{
    impl_->fleet.set_fleet(bundle, placements);
    for (const auto& department : bundle.departments)
        impl_->retries.set_ratio(department.name, department.retry_ratio);
    impl_->apply_fleet();
    update_brokers();
}

void slot_service::update_brokers()
{
    for (auto& [name, slots] : impl_->pools)
    {
        if (slots->broker().waiting_count() == 0 || impl_->is_broker(name))
            continue;
        const auto moved = slots->redirect_waiting();
        log::write(event_brokership_moved,
                   {{"pool", name.str()}, {"requests", moved}});
    }
}

void slot_service::drop_member(const base::member_id& member)
{
    for (auto& [name, slots] : impl_->pools)
        for (const auto& loan : slots->drop_member(member))
        {
            slot_request request;
            request.pool = name;
            impl_->return_slot(request, loan);
        }
    impl_->unreachable.erase(member);
}

void slot_service::record_leaving(const base::worker_id& worker,
                                  policy::leaving_source source,
                                  std::uint64_t incarnation)
{
    impl_->fleet.leaving().signal(worker, source, incarnation,
                                  base::steady_now());
    impl_->refresh_worker(worker);
}

void slot_service::clear_leaving(const base::worker_id& worker,
                                 policy::leaving_source source)
{
    impl_->fleet.leaving().clear(worker, source);
    impl_->refresh_worker(worker);
}

void slot_service::record_report(const base::worker_id& worker,
                                 const provider::worker_report& report)
{
    const auto now = base::steady_now();
    auto& leaving = impl_->fleet.leaving();
    const auto before = leaving.incarnation(worker);
    leaving.observe(worker, report.incarnation, report.leaving, now);
    for (const auto& usage : report.usage)
        impl_->fleet.sizes().record_usage(base::queue_name(usage.queue),
                                          usage.lease, usage.used,
                                          usage.run_time);
    if (auto* pool = impl_->find(impl_->fleet.pool_of(worker)))
    {
        if (before != 0 && leaving.incarnation(worker) != before)
            pool->broker().reset_worker(worker);
        pool->broker().record_report(worker, report.slots_used, now);
    }
    impl_->refresh_worker(worker);
}

void slot_service::set_idle_slots(const base::pool_name& pool,
                                  std::uint32_t idle_slots)
{
    impl_->hints[pool].idle = idle_slots;
}

void slot_service::stop()
{
    impl_->stopping = true;
    for (auto& [name, slots] : impl_->pools)
        slots->refuse_waiting(slot_refusal::stopping);
}

std::vector<policy::leaving_hint> slot_service::leaving_hints() const
{
    return impl_->fleet.leaving().hints();
}

std::vector<policy::lender_candidate> slot_service::idle_slots() const
{
    std::vector<policy::lender_candidate> result;
    const auto now = base::steady_now();
    for (const auto& [name, view] : impl_->fleet.pools())
    {
        if (!impl_->is_broker(name))
            continue;
        const auto state = impl_->find(name)->broker().state(now);
        result.push_back(
            {name, view.spare,
             state.slots > state.used ? state.slots - state.used : 0});
    }
    return result;
}

std::vector<slot_grant> slot_service::overdue_loans() const
{
    std::vector<slot_grant> result;
    const auto now = base::steady_now();
    for (const auto& [name, slots] : impl_->pools)
        for (auto& grant : slots->broker().overdue_loans(now))
            result.push_back(std::move(grant));
    return result;
}

bool slot_service::is_leaving(const base::worker_id& worker) const
{
    return impl_->fleet.leaving().is_leaving(worker);
}

const slot_counters& slot_service::counters() const
{
    return impl_->counters;
}

std::uint64_t slot_service::refused(slot_refusal reason) const
{
    return impl_->counters.refused.at(static_cast<std::size_t>(reason));
}

boost::json::object slot_service::snapshot() const
{
    const auto now = base::steady_now();
    boost::json::object pools;
    for (const auto& [name, view] : impl_->fleet.pools())
    {
        const auto state = impl_->find(name)->broker().state(now);
        boost::json::object waiting;
        for (const auto& [queue, count] : state.waiting)
            waiting[queue.str()] = count;
        pools[name.str()] = {{"broker", impl_->hooks.broker_of(name).str()},
                             {"waiting", std::move(waiting)},
                             {"slots", state.slots},
                             {"used", state.used},
                             {"lent", state.lent},
                             {"borrowed", state.borrowed},
                             {"ejected", state.ejected},
                             {"leaving", impl_->fleet.leaving_count(name)}};
    }
    boost::json::object refusals;
    for (std::size_t reason = 0; reason < impl_->counters.refused.size();
         ++reason)
        refusals[policy::to_string(static_cast<slot_refusal>(reason))] =
            impl_->counters.refused.at(reason);
    const auto& counters = impl_->counters;
    return {{"pools", std::move(pools)},
            {"refused", std::move(refusals)},
            {"granted", counters.granted},
            {"retried", counters.retried},
            {"borrowed", counters.borrowed},
            {"lent", counters.lent},
            {"unbrokered", counters.unbrokered},
            {"redirected", counters.redirected},
            {"releases_lost", counters.releases_lost}};
}

slot_service::builder& slot_service::builder::self(base::member_id member)
{
    self_ = std::move(member);
    return *this;
}

slot_service::builder& slot_service::builder::hooks(slot_hooks hooks)
{
    hooks_ = std::move(hooks);
    return *this;
}

slot_service::builder&
slot_service::builder::lending(policy::lending_settings settings)
{
    lending_ = settings;
    return *this;
}

slot_service::builder&
slot_service::builder::ejection(policy::ejection_settings settings)
{
    ejection_ = settings;
    return *this;
}

slot_service::builder& slot_service::builder::seed(std::uint64_t value)
{
    seed_ = value;
    return *this;
}

std::unique_ptr<slot_service> slot_service::builder::build()
{
    auto state = std::make_unique<impl>(self_, hooks_,
                                        seed_ ? base::random_source(*seed_)
                                              : base::random_source());
    state->lending = lending_;
    state->ejection = ejection_;
    return std::unique_ptr<slot_service>(new slot_service(std::move(state)));
}

} // namespace pimentograde::dispatch
