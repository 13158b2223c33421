#include "pools/pool_owner.hpp"

#include <utility>

namespace pimentograde::pools
{

pool_owner::builder& pool_owner::builder::pool(std::string name)
{
    pool_ = std::move(name);
    return *this;
}

pool_owner::builder& pool_owner::builder::ownership(std::string key,
                                                    std::int64_t revision)
{
    key_ = std::move(key);
    revision_ = revision;
    return *this;
}

pool_owner::builder& pool_owner::builder::store(platform::store_client& client)
{
    store_ = &client;
    return *this;
}

pool_owner::builder& pool_owner::builder::http(net::http_client& client)
{
    http_ = &client;
    return *this;
}

pool_owner::builder& pool_owner::builder::worker_lease(base::duration length)
{
    lease_ = length;
    return *this;
}

pool_owner::builder& pool_owner::builder::remote_factor(double factor)
{
    remote_factor_ = factor;
    return *this;
}

pool_owner::builder& pool_owner::builder::near_wait(bool is_enabled)
{
    near_wait_ = is_enabled;
    return *this;
}

pool_owner::builder& pool_owner::builder::worker_speed(bool is_used)
{
    worker_speed_ = is_used;
    return *this;
}

pool_owner::builder& pool_owner::builder::stop_time(base::duration longest)
{
    stop_time_ = longest;
    return *this;
}

pool_owner::builder& pool_owner::builder::counters(metrics::registry& registry)
{
    counters_ = &registry;
    return *this;
}

pool_owner::builder& pool_owner::builder::may_order(std::function<bool()> check)
{
    may_order_ = std::move(check);
    return *this;
}

pool_owner::builder&
pool_owner::builder::holds_lease(std::function<bool()> check)
{
    holds_lease_ = std::move(check);
    return *this;
}

pool_owner::builder&
pool_owner::builder::on_lost(std::function<void(std::string_view)> hook)
{
    lost_ = std::move(hook);
    return *this;
}

pool_owner::builder& pool_owner::builder::on_load(std::function<void()> read)
{
    load_ = std::move(read);
    return *this;
}

} // namespace pimentograde::pools
