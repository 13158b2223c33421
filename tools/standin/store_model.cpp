#include "standin/store_model.hpp"

#include <utility>

namespace pimentograde::standin
{

namespace
{

// Earlier versions kept for stale reads; values may have almost 1 MB.
constexpr std::size_t kept_versions = 4;

} // namespace

void store_model::replace(slot& target, entry next)
{
    target.earlier.push_back(std::move(target.current));
    if (target.earlier.size() > kept_versions)
        target.earlier.pop_front();
    target.current = std::move(next);
}

void store_model::drop_lease(const std::string& name, base::time_point now)
{
    for (auto& [key, target] : slots_)
        if (target.lease == name)
        {
            target.lease.clear();
            replace(target, {nullptr, 0, now});
        }
    leases_.erase(name);
}

void store_model::expire(base::time_point now)
{
    std::vector<std::string> ended;
    for (const auto& [name, held] : leases_)
        if (held.end <= now)
            ended.push_back(name);
    for (const std::string& name : ended)
        drop_lease(name, now);
}

void store_model::expire_all_leases(base::time_point now)
{
    while (!leases_.empty())
        drop_lease(std::string(leases_.begin()->first), now);
}

provider::kv_entry store_model::get(std::string_view key, base::time_point now)
{
    return get_stale(key, {}, now);
}

provider::kv_entry store_model::get_stale(std::string_view key,
                                          base::duration age,
                                          base::time_point now)
{
    expire(now);
    const auto found = slots_.find(key);
    if (found == slots_.end())
        return {};
    const slot& target = found->second;
    const entry* seen = &target.current;
    for (auto older = target.earlier.rbegin();
         older != target.earlier.rend() && seen->since > now - age; ++older)
        seen = &*older;
    if (!seen->value)
        return {};
    return {*seen->value, seen->version};
}

provider::swap_result
store_model::compare_and_swap(std::string_view key,
                              std::uint64_t expected_version,
                              std::string_view value, base::time_point now)
{
    expire(now);
    const auto found = slots_.find(key);
    const std::uint64_t version =
        found == slots_.end() ? 0 : found->second.current.version;
    if (version != expected_version)
        return {provider::swap_outcome::conflict, version};
    slot& target = slots_[std::string(key)];
    replace(target,
            {std::make_shared<std::string>(value), ++last_version_, now});
    return {provider::swap_outcome::applied, last_version_};
}

std::vector<provider::kv_item> store_model::list(std::string_view prefix,
                                                 base::duration age,
                                                 base::time_point now)
{
    expire(now);
    std::vector<provider::kv_item> items;
    for (auto at = slots_.lower_bound(prefix);
         at != slots_.end() && at->first.starts_with(prefix); ++at)
    {
        provider::kv_entry seen = get_stale(at->first, age, now);
        if (seen.version != 0)
            items.push_back({at->first, std::move(seen)});
    }
    return items;
}

provider::lease_grant store_model::acquire_lease(std::string_view name,
                                                 std::string_view holder,
                                                 base::duration ttl,
                                                 base::time_point now)
{
    expire(now);
    const auto found = leases_.find(name);
    if (found != leases_.end() && found->second.holder != holder)
        return {false, found->second.holder};
    leases_[std::string(name)] = {std::string(holder), now + ttl};
    return {true, std::string(holder)};
}

bool store_model::release_lease(std::string_view name, std::string_view holder,
                                base::time_point now)
{
    expire(now);
    const auto found = leases_.find(name);
    if (found == leases_.end() || found->second.holder != holder)
        return false;
    drop_lease(std::string(name), now);
    return true;
}

std::uint64_t store_model::put_leased(std::string_view key,
                                      std::string_view value,
                                      std::string_view lease_name,
                                      base::time_point now)
{
    expire(now);
    if (!leases_.contains(lease_name))
        return 0;
    slot& target = slots_[std::string(key)];
    target.lease = lease_name;
    replace(target,
            {std::make_shared<std::string>(value), ++last_version_, now});
    return last_version_;
}

std::size_t store_model::total_bytes() const
{
    std::size_t sum = 0;
    for (const auto& [key, target] : slots_)
        if (target.current.value)
            sum += target.current.value->size();
    return sum;
}

} // namespace pimentograde::standin
