#include "jobs/tenant_usage.hpp"

#include <vector>

namespace pimentograde::jobs
{

tenant_usage::counted_place& tenant_usage::place_of(std::string_view worker,
                                                    const tenant_place& place)
{
    auto found = workers_.find(worker);
    if (found == workers_.end())
        found = workers_.emplace(std::string(worker), place_table{}).first;
    const auto known = found->second.find(place.task);
    if (known != found->second.end())
        return known->second;
    const auto total = totals_.try_emplace(place.tenant).first;
    total->second += place.need;
    counted_place& counted = found->second[place.task];
    counted.total = total;
    counted.need = place.need;
    return counted;
}

void tenant_usage::drop_if_unused(place_table& places, const task_id& task)
{
    const auto found = places.find(task);
    if (found == places.end() || found->second.counts())
        return;
    found->second.total->second -= found->second.need;
    places.erase(found);
}

void tenant_usage::begin_run(std::string_view worker, const tenant_place& place)
{
    place_of(worker, place).is_running = true;
}

void tenant_usage::end_run(std::string_view worker, const task_id& task)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    const auto place = found->second.find(task);
    if (place == found->second.end())
        return;
    place->second.is_running = false;
    drop_if_unused(found->second, task);
}

void tenant_usage::set_late_starts(std::string_view worker,
                                   std::span<const tenant_place> places)
{
    const auto found = workers_.find(worker);
    std::vector<task_id> before;
    if (found != workers_.end())
        for (auto& [task, place] : found->second)
            if (std::exchange(place.may_start, false))
            {
                place.starts_by = {};
                before.push_back(task);
            }
    for (const tenant_place& place : places)
    {
        counted_place& counted = place_of(worker, place);
        counted.may_start = true;
        if (place.until <= counted.starts_by)
            continue;
        counted.starts_by = place.until;
        deadlines_.emplace(place.until,
                           std::pair(std::string(worker), place.task));
    }
    for (const task_id& task : before)
        drop_if_unused(found->second, task);
}

void tenant_usage::set_other_runs(std::string_view worker,
                                  std::span<const tenant_place> places)
{
    const auto found = workers_.find(worker);
    std::vector<task_id> before;
    if (found != workers_.end())
        for (auto& [task, place] : found->second)
            if (std::exchange(place.is_listed, false))
                before.push_back(task);
    for (const tenant_place& place : places)
        place_of(worker, place).is_listed = true;
    for (const task_id& task : before)
        drop_if_unused(found->second, task);
}

void tenant_usage::hide(std::string_view worker,
                        const resource_amount& capacity, base::time_point until)
{
    note_heard(worker);
    hidden_workers_.emplace(std::string(worker),
                            hidden_worker{capacity, until});
    hidden_ += capacity;
}

void tenant_usage::note_heard(std::string_view worker)
{
    const auto found = hidden_workers_.find(worker);
    if (found == hidden_workers_.end())
        return;
    hidden_ -= found->second.capacity;
    hidden_workers_.erase(found);
}

void tenant_usage::expire(base::time_point now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto [worker, task] = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = workers_.find(worker);
        if (found == workers_.end())
            continue;
        const auto place = found->second.find(task);
        if (place == found->second.end() || place->second.starts_by > now)
            continue;
        place->second.may_start = false;
        drop_if_unused(found->second, task);
    }
    for (auto entry = hidden_workers_.begin(); entry != hidden_workers_.end();)
    {
        const auto current = entry++;
        if (now >= current->second.until)
            note_heard(std::string(current->first));
    }
}

void tenant_usage::clear_places()
{
    workers_.clear();
    totals_.clear();
    deadlines_.clear();
}

resource_amount tenant_usage::used_by(std::string_view tenant) const
{
    const auto found = totals_.find(tenant);
    return found == totals_.end() ? resource_amount{} : found->second;
}

std::map<std::string, resource_amount, std::less<>> tenant_usage::totals() const
{
    auto used = totals_;
    std::erase_if(used, [](const auto& entry)
                  { return entry.second == resource_amount{}; });
    return used;
}

} // namespace pimentograde::jobs
