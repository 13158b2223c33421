// A tenant of the simulated pool whose grant is smaller than the pool.

#include "jobs/pool_world.hpp"

namespace pimentograde::tests
{

namespace
{

constexpr std::int64_t millis_per_task = 1000;
// The pool's part of the cap, so that it may not exceed its grant by a task.
constexpr int cap_divisor = 3;

} // namespace

void pool_world::grant_tenant(jobs::pool_state& state) const
{
    if (odds_.granted_tasks == 0)
        return;
    const jobs::resource_amount grant{odds_.granted_tasks * millis_per_task, 0,
                                      0};
    const jobs::resource_amount cap{grant.cpu_millis * cap_divisor, 0, 0};
    state.set_tenants(std::vector{jobs::tenant_policy{"tenant", 1.0, cap}});
    jobs::quota_record record;
    record.grants.emplace("pool", grant);
    state.quota().note_stored("tenant", 1, record, now_);
}

// What is kept up to date at each change is what a full count gives.
void pool_world::check_usage()
{
    if (odds_.granted_tasks == 0)
        return;
    jobs::resource_amount counted;
    for (const auto& [id, worker] : owner_.state->workers())
    {
        std::set<jobs::task_id> tasks(worker.other_runs.begin(),
                                      worker.other_runs.end());
        for (const auto& [task, run] : worker.runs)
            tasks.insert(task);
        for (const auto& start : worker.unanswered)
            if (now_ < start.arrives_by)
                tasks.insert(start.task);
        for (const jobs::task_id& task : tasks)
            if (const jobs::job* subject = owner_.state->find_job(task.job))
                if (const auto* part = subject->find_spec(task))
                    counted += part->need;
    }
    if (owner_.state->usage().used_by("tenant") != counted)
        violations_.emplace_back("the use of the tenant is counted wrong");
}

// A start that an owner has sent just before it was killed, to a worker that
// has restarted since, is one that no successor can know of.
void pool_world::check_grant(const jobs::task_id& task, bool is_unknown)
{
    if (odds_.granted_tasks == 0 || is_unknown)
        return;
    int running = 0;
    for (const simulated_worker& worker : workers_)
        running += static_cast<int>(worker.running.size());
    if (running > odds_.granted_tasks)
        violations_.push_back("above the grant with " + to_string(task));
}

} // namespace pimentograde::tests
