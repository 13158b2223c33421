// Shares between tenants: what admission and order need to know of the pool.

#include "jobs/placement.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

std::int64_t ready_millis(const job& subject, base::wall_time wall)
{
    std::int64_t millis = 0;
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
    {
        const int waiting = subject.steps[position].waiting();
        if (waiting > 0 && subject.is_step_ready(position, wall))
            millis += waiting *
                      reserved_resources(subject.spec_of(position)).cpu_millis;
    }
    return millis;
}

std::int64_t active_millis(const job& subject)
{
    std::int64_t millis = 0;
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
        if (subject.steps[position].active > 0)
            millis += subject.steps[position].active *
                      reserved_resources(subject.spec_of(position)).cpu_millis;
    return millis;
}

} // namespace

double pool_state::excess_backlog() const
{
    if (tenants_.empty())
        return 0.0;
    double work = 0.0;
    for (const job* subject : open_)
        if (subject->is_excess)
            work += subject->estimates.work_left;
    return work;
}

bool pool_state::has_room_for(const job& subject, base::time_point now,
                              base::wall_time wall) const
{
    std::int64_t usable = 0;
    std::int64_t free = 0;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.accepts_starts(now))
            continue;
        usable += worker.description.capacity.cpu_millis;
        free += worker.free().cpu_millis;
    }
    // A job that is wider than the pool needs all of it.
    std::int64_t needed = std::min(ready_millis(subject, wall), usable);
    for (const job* other : open_)
    {
        needed += ready_millis(*other, wall);
        if (needed > free)
            return false;
    }
    return needed <= free;
}

weighted_use pool_state::tenant_use() const
{
    weighted_use use;
    if (!has_weighted_order_ || tenants_.empty())
        return use;
    for (const job* subject : open_)
    {
        if (subject->tenant.empty() || subject->spec.is_long_running())
            continue;
        const auto tenant = tenants_.find(subject->tenant);
        if (tenant != tenants_.end() && tenant->second.weight > 0.0)
            use.add(tenant->first, tenant->second.weight,
                    active_millis(*subject));
    }
    return use;
}

} // namespace pimentograde::jobs
