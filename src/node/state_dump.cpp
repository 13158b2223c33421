#include "node/state_dump.hpp"

#include <boost/json.hpp>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

json::object dump_worker(const jobs::worker_view& worker, base::time_point now)
{
    return {{"address", worker.description.address},
            {"listed", worker.is_listed},
            {"draining", worker.description.is_draining},
            {"reachable", worker.is_reachable},
            {"reported", worker.knowledge.has_reported()},
            {"runs_certain", worker.knowledge.is_certain()},
            {"accepts_starts", worker.accepts_starts(now)},
            {"runs", worker.runs.size()},
            {"cpu_free_millis", worker.free().cpu_millis},
            {"memory_free_mb", worker.free().memory_mb},
            {"last_end", worker.applied_end}};
}

json::object dump_pool(const pools::pool_owner& owner, base::time_point now)
{
    json::object workers;
    for (const auto& [id, worker] : owner.state().workers())
        workers[id] = dump_worker(worker, now);
    json::array isolated;
    for (const jobs::task_id& task : owner.state().isolated_tasks())
        isolated.emplace_back(jobs::to_string(task));
    return {{"fence", owner.fence()},
            {"loaded", owner.is_loaded()},
            {"jobs", owner.state().job_count()},
            {"backlog_core_seconds", owner.state().backlog()},
            {"usable_cores", owner.state().usable_cores(now)},
            {"isolated_tasks", std::move(isolated)},
            {"workers", std::move(workers)}};
}

} // namespace

std::string dump_state(const session& members, const pool_claims& claims,
                       std::int64_t configuration_version)
{
    const base::time_point now = base::steady_now();
    json::object pools;
    for (const auto& owner : claims.owners())
        pools[owner->pool()] = dump_pool(*owner, now);
    json::array names;
    for (const auto& [name, entry] : members.members())
        names.push_back(json::object{{"name", name}, {"zone", entry.zone}});
    return json::serialize(
        json::object{{"instance", members.own().name},
                     {"registered", members.is_registered()},
                     {"configuration_version", configuration_version},
                     {"members", std::move(names)},
                     {"pools", std::move(pools)}});
}

} // namespace pimentograde::node
