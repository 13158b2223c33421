#include "node/queue_pools.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

std::string key_of(const platform::queue_route& route)
{
    return route.host + route.path_prefix;
}

} // namespace

const queue_pools::entry* queue_pools::find(std::string_view queue) const
{
    const auto found = positions_.find(queue);
    return found == positions_.end() ? nullptr : &entries_[found->second];
}

bool queue_pools::add(std::string_view queue, const std::string& pool)
{
    const auto [found, is_new] =
        positions_.try_emplace(std::string(queue), entries_.size());
    if (is_new)
        entries_.push_back({std::string(queue), {}, {}, 0});
    auto& pools = entries_[found->second].pools;
    if (std::find(pools.begin(), pools.end(), pool) != pools.end())
        return false;
    pools.push_back(pool);
    return true;
}

bool queue_pools::add(const platform::configuration& current)
{
    bool has_changed = false;
    std::set<std::string, std::less<>> configured{std::string(all_queues)};
    for (const auto& route : current.queues)
    {
        configured.insert(key_of(route));
        has_changed |= add(key_of(route), route.policy.pool);
    }
    if (entries_.size() <= max_queues)
        return has_changed;
    std::size_t excess = entries_.size() - max_queues;
    std::erase_if(entries_,
                  [&](const entry& known)
                  {
                      if (excess == 0 || configured.contains(known.queue))
                          return false;
                      --excess;
                      has_changed = true;
                      return true;
                  });
    positions_.clear();
    for (std::size_t index = 0; index < entries_.size(); ++index)
        positions_.emplace(entries_[index].queue, index);
    return has_changed;
}

void queue_pools::assign(const platform::configuration& current)
{
    add(current);
    for (const auto& route : current.queues)
        if (is_reassigned(route, current.version))
            adopt({key_of(route), route.policy.pool, current.version});
}

void queue_pools::merge(const queue_pools& other)
{
    for (const entry& known : other.entries_)
    {
        for (const std::string& pool : known.pools)
            add(known.queue, pool);
        adopt(other.newest(known.queue));
    }
}

void queue_pools::adopt(const peer::queue_assignment& stated)
{
    if (stated.pool.empty())
        return;
    add(stated.queue, stated.pool);
    entry& known = entries_[positions_.find(stated.queue)->second];
    if (!known.assigned_pool.empty() && known.since >= stated.since)
        return;
    known.assigned_pool = stated.pool;
    known.since = stated.since;
}

bool queue_pools::add_for_all(const std::string& pool)
{
    return add(all_queues, pool);
}

bool queue_pools::contains(const platform::queue_route& route) const
{
    const entry* known = find(key_of(route));
    return known != nullptr &&
           std::find(known->pools.begin(), known->pools.end(),
                     route.policy.pool) != known->pools.end();
}

std::vector<std::string>
queue_pools::earlier_pools(const platform::queue_route& route) const
{
    std::vector<std::string> pools;
    if (const entry* known = find(key_of(route)))
        pools = known->pools;
    if (const entry* known = find(all_queues))
        for (const std::string& pool : known->pools)
            if (std::find(pools.begin(), pools.end(), pool) == pools.end())
                pools.push_back(pool);
    std::erase(pools, route.policy.pool);
    return pools;
}

peer::queue_assignment queue_pools::newest(std::string_view queue) const
{
    const entry* known = find(queue);
    if (known == nullptr)
        return {std::string(queue), {}, 0};
    return {known->queue, known->assigned_pool, known->since};
}

peer::queue_assignment
queue_pools::newest(const platform::queue_route& route) const
{
    return newest(key_of(route));
}

std::vector<peer::queue_assignment> queue_pools::assignments() const
{
    std::vector<peer::queue_assignment> result;
    for (const entry& known : entries_)
        if (!known.assigned_pool.empty())
            result.push_back({known.queue, known.assigned_pool, known.since});
    return result;
}

bool queue_pools::is_reassigned(const platform::queue_route& route,
                                std::int64_t version) const
{
    const peer::queue_assignment known = newest(route);
    return known.pool.empty() ||
           (known.pool != route.policy.pool && known.since < version);
}

bool queue_pools::is_newest(const peer::queue_assignment& stated) const
{
    return newest(stated.queue) == stated;
}

std::string queue_pools::encode() const
{
    json::array rows;
    for (const entry& known : entries_)
    {
        json::object row{
            {"queue", known.queue},
            {"pools", json::array(known.pools.begin(), known.pools.end())}};
        if (!known.assigned_pool.empty())
        {
            row["assigned_pool"] = known.assigned_pool;
            row["since"] = known.since;
        }
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object{{"queues", std::move(rows)}});
}

queue_pools queue_pools::decode(std::string_view text)
{
    try
    {
        queue_pools result;
        const json::value parsed = json::parse(text);
        for (const json::value& row : parsed.at("queues").as_array())
        {
            const std::string queue(row.at("queue").as_string());
            for (const json::value& pool : row.at("pools").as_array())
                result.add(queue, std::string(pool.as_string()));
            // Missing in records of versions before assignments were ordered.
            if (const json::value* pool =
                    row.as_object().if_contains("assigned_pool"))
                result.adopt({queue, std::string(pool->as_string()),
                              row.at("since").to_number<std::int64_t>()});
        }
        return result;
    }
    catch (const std::exception& failure)
    {
        throw base::error(base::error_code::invalid, "read queues' pools", "",
                          failure.what());
    }
}

} // namespace pimentograde::node
