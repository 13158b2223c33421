#include "dispatch/fleet_view.hpp"

#include <algorithm>

namespace pimentograde::dispatch
{

void fleet_view::set_fleet(const config::bundle& bundle,
                           std::span<const worker_placement> placements)
{
    pools_.clear();
    workers_.clear();
    add_pools(bundle);
    for (const auto& worker : bundle.workers)
        workers_[worker.id] = {worker.pool, true};
    for (const auto& placement : placements)
        if (workers_.contains(placement.worker))
            workers_[placement.worker] = {placement.pool, placement.in_service};
    for (const auto& worker : bundle.workers)
        add_worker(worker);
    for (const auto& queue : bundle.queues)
        sizes_.set_initial(queue.name, queue.expected_time);
}

void fleet_view::add_pools(const config::bundle& bundle)
{
    policy::broker_terms common;
    common.may_borrow = bundle.pools.size() > 1;
    for (const auto& department : bundle.departments)
        common.departments.push_back({department.name, department.quota_slots});
    for (const auto& pool : bundle.pools)
        pools_[pool.name] = {pool.spare, common, {}};
    for (const auto& queue : bundle.queues)
        if (const auto pool = pools_.find(queue.pool); pool != pools_.end())
            pool->second.terms.queues.push_back(
                {queue.name, queue.max_waiting, queue.max_wait});
    for (const auto& budget : bundle.budgets)
        if (const auto pool = pools_.find(budget.pool); pool != pools_.end())
        {
            auto& required = pool->second.terms.min_workers;
            required = std::max(required, budget.min_workers);
        }
}

void fleet_view::add_worker(const config::worker& worker)
{
    const auto& state = workers_.at(worker.id);
    const auto pool = pools_.find(state.pool);
    if (pool == pools_.end())
        return;
    const bool accepting = state.in_service && !leaving_.is_leaving(worker.id);
    pool->second.workers.push_back(
        {worker.id, worker.size, worker.slots, accepting});
}

base::pool_name fleet_view::pool_of(const base::worker_id& worker) const
{
    const auto known = workers_.find(worker);
    return known == workers_.end() ? base::pool_name{} : known->second.pool;
}

bool fleet_view::refresh(const base::worker_id& worker)
{
    const auto known = workers_.find(worker);
    if (known == workers_.end())
        return false;
    const bool accepting =
        known->second.in_service && !leaving_.is_leaving(worker);
    if (const auto pool = pools_.find(known->second.pool); pool != pools_.end())
        for (auto& entry : pool->second.workers)
            if (entry.id == worker)
                entry.accepting = accepting;
    return accepting;
}

std::uint32_t fleet_view::leaving_count(const base::pool_name& pool) const
{
    const auto known = pools_.find(pool);
    if (known == pools_.end())
        return 0;
    const auto& workers = known->second.workers;
    return static_cast<std::uint32_t>(std::count_if(
        workers.begin(), workers.end(),
        [&](const auto& worker) { return leaving_.is_leaving(worker.id); }));
}

policy::request_estimate
fleet_view::estimate(const policy::slot_request& request) const
{
    const auto learned = sizes_.estimate(request.queue, request.size);
    policy::request_estimate result{1, learned.typical_time};
    const auto pool = pools_.find(request.pool);
    if (pool != pools_.end() && !pool->second.workers.empty())
    {
        const auto& worker = pool->second.workers.front();
        result.charge =
            policy::slot_charge(learned.size, worker.size, worker.slots);
    }
    return result;
}

base::duration fleet_view::long_time(const policy::slot_request& request) const
{
    return sizes_.estimate(request.queue, request.size).long_time;
}

} // namespace pimentograde::dispatch
