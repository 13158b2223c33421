#include "policy/grant_table.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::policy
{

void grant_table::add(held_grant held)
{
    const bool loan = held.loan;
    auto id = held.grant.id;
    if (grants_.emplace(std::move(id), std::move(held)).second && loan)
        ++loans_;
}

const held_grant* grant_table::find(const std::string& id) const
{
    const auto known = grants_.find(id);
    return known == grants_.end() ? nullptr : &known->second;
}

const held_grant* grant_table::find_request(const std::string& request_id) const
{
    const auto known =
        std::find_if(grants_.begin(), grants_.end(),
                     [&](const auto& entry)
                     { return entry.second.request_id == request_id; });
    return known == grants_.end() ? nullptr : &known->second;
}

void grant_table::remove(const std::string& id)
{
    const auto known = grants_.find(id);
    if (known == grants_.end())
        return;
    loans_ -= known->second.loan ? 1 : 0;
    grants_.erase(known);
}

std::uint32_t grant_table::count_on(const base::worker_id& worker) const
{
    return static_cast<std::uint32_t>(
        std::count_if(grants_.begin(), grants_.end(),
                      [&](const auto& entry)
                      { return entry.second.grant.worker == worker; }));
}

std::vector<slot_grant>
grant_table::held_by(const base::member_id& holder) const
{
    std::vector<slot_grant> found;
    for (const auto& [id, held] : grants_)
        if (held.holder == holder)
            found.push_back(held.grant);
    return found;
}

std::vector<slot_grant>
grant_table::on_worker(const base::worker_id& worker) const
{
    std::vector<slot_grant> found;
    for (const auto& [id, held] : grants_)
        if (held.grant.worker == worker)
            found.push_back(held.grant);
    return found;
}

std::vector<held_grant> grant_table::overdue(base::time_point now) const
{
    std::vector<held_grant> found;
    if (loans_ == 0)
        return found;
    for (const auto& [id, held] : grants_)
        if (held.loan && now >= held.due)
            found.push_back(held);
    return found;
}

} // namespace pimentograde::policy
