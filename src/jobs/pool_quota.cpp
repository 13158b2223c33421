// What tenants may have running in the pool, and what their grants allow.

#include "jobs/lease_bound.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// An order that an earlier owner has sent may arrive this late, and the run
// that it begins may last for the lease of a start order on a slow clock.
constexpr std::chrono::milliseconds late_order_time{1600};

} // namespace

void pool_state::set_tenants(std::span<const tenant_policy> tenants)
{
    tenants_.clear();
    for (const tenant_policy& entry : tenants)
        tenants_.emplace(entry.name, entry);
    shares_.set_tenants(tenants);
    const bool was_active = quota_.is_active();
    quota_.set_tenants(tenants_);
    if (quota_.is_active() && !was_active)
        recount_tenants();
}

std::optional<tenant_place> pool_state::place_of(const task_id& task,
                                                 base::time_point until) const
{
    const job* subject = find_job(task.job);
    const step_spec* part =
        subject == nullptr ? nullptr : subject->find_spec(task);
    if (part == nullptr || subject->tenant.empty())
        return std::nullopt;
    return tenant_place{task, subject->tenant, part->need, until};
}

void pool_state::count_run(const worker_view& worker, const task_id& task)
{
    if (!quota_.is_active())
        return;
    if (const auto place = place_of(task))
        usage_.begin_run(worker.description.id, *place);
}

void pool_state::count_late_starts(const worker_view& worker)
{
    if (!quota_.is_active())
        return;
    std::vector<tenant_place> places;
    for (const unanswered_start& start : worker.unanswered)
        if (auto place = place_of(start.task, start.arrives_by))
            places.push_back(std::move(*place));
    usage_.set_late_starts(worker.description.id, places);
}

void pool_state::count_other_runs(const worker_view& worker)
{
    if (!quota_.is_active())
        return;
    std::vector<tenant_place> places;
    for (const task_id& task : worker.other_runs)
        if (auto place = place_of(task))
            places.push_back(std::move(*place));
    usage_.set_other_runs(worker.description.id, places);
}

void pool_state::recount_tenants()
{
    usage_.clear_places();
    for (const auto& [id, worker] : workers_)
    {
        for (const auto& [task, run] : worker.runs)
            count_run(worker, task);
        count_late_starts(worker);
        count_other_runs(worker);
    }
}

// An order of an earlier owner may come from a pool whose roster was not
// written again before it was killed.
void pool_state::hide_runs(const worker_view& worker,
                           const resource_amount& capacity,
                           base::time_point deadline, base::time_point now)
{
    usage_.hide(worker.description.id, capacity,
                std::max<base::time_point>(deadline, now + late_call_time +
                                                         late_order_time));
}

void pool_state::begin_quota_plan(std::span<worker_view* const> workers,
                                  base::time_point now, base::wall_time wall)
{
    if (!quota_.is_active())
        return;
    usage_.expire(now);
    resource_amount room;
    for (const worker_view* worker : workers)
        room += worker->free();
    quota_.begin_plan(room);
    // A job that is still being stored needs its grant when it is.
    for (const auto* jobs : {&dirty_, &writing_})
        for (const job* subject : *jobs)
        {
            if (subject->is_stored || subject->status != job_status::open ||
                !quota_.has_cap(subject->tenant))
                continue;
            for (std::size_t position = 0; position < subject->steps.size();
                 ++position)
                if (subject->is_step_ready(position, wall))
                    quota_.note_expected(subject->tenant,
                                         subject->spec_of(position).need,
                                         subject->steps[position].waiting());
        }
}

bool pool_state::is_held_back(const job& subject, std::size_t position,
                              int count)
{
    const resource_amount& need = subject.spec_of(position).need;
    if (subject.tenant.empty() ||
        quota_.may_start(subject.tenant, usage_, need, count))
        return false;
    quota_.note_held_back(subject.tenant, need,
                          subject.steps[position].waiting());
    return true;
}

} // namespace pimentograde::jobs
