#include "node/machine_inventory.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

void machine_inventory::set_machines(std::span<const fleet::machine> listed,
                                     base::time_point requested_at)
{
    listed_at_ = requested_at;
    machines_.clear();
    for (const fleet::machine& entry : listed)
        machines_[entry.id] = entry;
}

void machine_inventory::set_load(const std::string& pool, peer::pool_load load)
{
    known_load& known = loads_[pool];
    known.workers.clear();
    known.load = std::move(load);
    for (const peer::worker_load& worker : known.load.workers)
        known.workers[worker.worker] = &worker;
}

const fleet::machine* machine_inventory::find(const std::string& machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? nullptr : &found->second;
}

const peer::pool_load* machine_inventory::load_of(const std::string& pool) const
{
    const auto found = loads_.find(pool);
    return found == loads_.end() || !found->second.load.is_known
               ? nullptr
               : &found->second.load;
}

const peer::worker_load*
machine_inventory::worker_of(const fleet::machine& entry) const
{
    const auto pool = loads_.find(entry.pool);
    if (pool == loads_.end() || entry.worker.empty())
        return nullptr;
    const auto worker = pool->second.workers.find(entry.worker);
    return worker == pool->second.workers.end() ? nullptr : worker->second;
}

std::optional<fleet::machine_load>
machine_inventory::machine_load(const std::string& machine) const
{
    const fleet::machine* entry = find(machine);
    if (entry == nullptr || entry->status != fleet::machine_status::up)
        return std::nullopt;
    fleet::machine_load load;
    if (const peer::pool_load* pool = load_of(entry->pool))
    {
        constexpr std::int64_t min_usable_millis = 1000;
        load.pool_backlog = static_cast<double>(pool->backlog_core_ms) /
                            static_cast<double>(std::max(pool->usable_millis,
                                                         min_usable_millis));
    }
    if (const peer::worker_load* worker = worker_of(*entry))
    {
        load.runs = worker->runs;
        load.long_running = worker->long_running;
    }
    return load;
}

} // namespace pimentograde::node
