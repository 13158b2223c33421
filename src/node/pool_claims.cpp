#include "node/pool_claims.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

namespace
{

constexpr std::chrono::milliseconds check_interval{200};
// An instance with more processor time must be present for this long before a
// pool is handed over.
constexpr std::chrono::seconds hand_over_delay{2};

} // namespace

std::string pool_role(std::string_view pool)
{
    return "pool/" + std::string(pool);
}

std::vector<std::string> roles_of(const platform::configuration& current)
{
    std::set<std::string> names;
    for (const auto& pool : current.pools)
        if (!pool.is_standby)
            names.insert(pool_role(pool.name));
    std::vector<std::string> roles(names.begin(), names.end());
    roles.emplace_back(fleet_role);
    return roles;
}

pool_claims::pool_claims(session& members, worker_directory& directory,
                         queue_recorder& queues, platform::store_client& store,
                         net::http_client& http, metrics::registry& metrics,
                         const owner_settings& settings,
                         std::function<void(bool)> needs_workers)
    : session_(members), directory_(directory), queues_(queues), store_(store),
      http_(http), metrics_(metrics), settings_(settings),
      needs_workers_(std::move(needs_workers))
{
}

pool_claims::~pool_claims()
{
    stop();
}

void pool_claims::start()
{
    fibers_.spawn_restarting("claim pools", [this] { run(); });
}

void pool_claims::quiesce()
{
    stop_.set();
    wakeup_.notify();
    // A copy: claims and hand-overs in progress change the table meanwhile.
    net::task_group quiescing;
    for (const auto& owner : owners())
        quiescing.spawn([owner] { owner->quiesce(); });
    quiescing.join();
}

void pool_claims::stop()
{
    quiesce();
    fibers_.join();
    // Destroying the owners suspends this fiber, and calls may look up an owner
    // in the meantime: the table is emptied first.
    const auto ended = std::exchange(owners_, {});
}

void pool_claims::set_configuration(const platform::configuration& current)
{
    policies_.clear();
    for (const auto& route : current.queues)
        policies_.push_back(route.policy);
    tenants_.clear();
    for (const auto& tenant : current.tenants)
        tenants_.push_back(tenant.policy);
    pools_.clear();
    for (const auto& pool : current.pools)
        if (!pool.is_standby)
            pools_.insert(pool.name);
    roles_ = roles_of(current);
    wakeup_.notify();
}

std::shared_ptr<pools::pool_owner>
pool_claims::find(std::string_view pool) const
{
    const auto found = owners_.find(pool);
    if (found == owners_.end() || lost_.contains(std::string(pool)))
        return nullptr;
    // The session learns first that the role has ended, also while a claim of
    // another pool waits for the store.
    const holder* current = session_.holder_of(pool_role(pool));
    return current != nullptr && current->revision == found->second->fence()
               ? found->second
               : nullptr;
}

std::vector<std::shared_ptr<pools::pool_owner>> pool_claims::owners() const
{
    std::vector<std::shared_ptr<pools::pool_owner>> result;
    for (const auto& [pool, owner] : owners_)
        result.push_back(owner);
    return result;
}

void pool_claims::run()
{
    while (!stop_.is_set())
    {
        wakeup_.wait_until(base::steady_now() + check_interval);
        if (stop_.is_set())
            return;
        close_lost_owners();
        check_pools(base::steady_now());
        if (stop_.is_set())
            return;
        hand_over_if_better(base::steady_now());
        needs_workers_(!owners_.empty());
        update_owners();
    }
}

void pool_claims::close_lost_owners()
{
    for (const std::string& pool : std::exchange(lost_, {}))
    {
        const auto found = owners_.find(pool);
        if (found == owners_.end())
            continue;
        ended_fences_[pool] = found->second->fence();
        // In its own fiber: a pending worker query may delay this for seconds.
        fibers_.spawn([owner = std::move(found->second)] { owner->quiesce(); });
        owners_.erase(found);
    }
}

void pool_claims::hand_over_if_better(base::time_point now)
{
    const auto loaded = std::find_if(owners_.begin(), owners_.end(),
                                     [](const auto& entry)
                                     { return entry.second->is_loaded(); });
    if (loaded == owners_.end() || !session_.should_hand_over(roles_))
    {
        better_owner_since_.reset();
        return;
    }
    if (!better_owner_since_)
        better_owner_since_ = now;
    if (now - *better_owner_since_ < hand_over_delay ||
        !session_.holds_lease(base::suspend_aware_now()))
        return;
    better_owner_since_.reset();
    log::write(event_pool_handed_over, {{"pool", loaded->first},
                                        {"fence", loaded->second->fence()},
                                        {"own_cores", session_.own().cores}});
    ended_fences_[loaded->first] = loaded->second->fence();
    handing_over_.insert(loaded->first);
    fibers_.spawn(
        [this, pool = loaded->first, owner = loaded->second]
        {
            hand_over(pool, *owner);
            handing_over_.erase(pool);
        });
    owners_.erase(loaded);
}

// The owner's state is stored before the role becomes free. If the release
// fails, this instance claims the role anew, see `check_pool`: writes and
// orders of the ended owner may take effect late, and only a new fence excludes
// them.
void pool_claims::hand_over(const std::string& pool, pools::pool_owner& owner)
{
    owner.quiesce();
    try
    {
        session_.release(pool_role(pool), owner.fence());
    }
    catch (const std::exception& failure)
    {
        log::write(event_claim_failed,
                   {{"pool", pool}, {"reason", failure.what()}});
    }
}

void pool_claims::check_pools(base::time_point now)
{
    // A copy: a claim waits for the store, and a new configuration may replace
    // the pools meanwhile.
    const std::set<std::string> pools = pools_;
    for (const std::string& pool : pools)
        if (!stop_.is_set() && pools_.contains(pool))
            check_pool(pool, now);
}

void pool_claims::check_pool(const std::string& pool, base::time_point now)
{
    const holder* current = session_.holder_of(pool_role(pool));
    const auto owner = owners_.find(pool);
    if (owner != owners_.end())
    {
        if (current == nullptr || current->revision != owner->second->fence())
            lost_.insert(pool);
        return;
    }
    if (!session_.is_registered() || handing_over_.contains(pool))
        return;
    const auto ended = ended_fences_.find(pool);
    const bool has_ended = current != nullptr && ended != ended_fences_.end() &&
                           ended->second >= current->revision;
    if (current != nullptr && session_.is_own(*current) && !has_ended)
    {
        // An earlier claim whose response was lost has taken effect.
        open_owner(pool, current->revision);
        return;
    }
    // The known holder may predate the end of an ownership of this instance;
    // in this case a new claim shows the current state.
    if (current != nullptr && current->node != session_.own().name)
    {
        free_since_.erase(pool);
        return;
    }
    const auto since = free_since_.emplace(pool, now).first->second;
    if (now - since < session_.delay_before_claim(pool_role(pool), roles_, now))
        return;
    free_since_.erase(pool);
    try
    {
        const auto revision = session_.claim(pool_role(pool));
        if (revision && !stop_.is_set())
            open_owner(pool, *revision);
    }
    catch (const std::exception& failure)
    {
        log::write(event_claim_failed,
                   {{"pool", pool}, {"reason", failure.what()}});
    }
}

void pool_claims::open_owner(const std::string& pool, std::int64_t revision)
{
    log::write(event_pool_claimed, {{"pool", pool}, {"fence", revision}});
    std::shared_ptr<pools::pool_owner> owner =
        pools::pool_owner::builder{}
            .pool(pool)
            .ownership(session::role_key(pool_role(pool)), revision)
            .store(store_)
            .http(http_)
            .worker_lease(settings_.worker_lease)
            .remote_factor(settings_.remote_factor)
            .near_wait(settings_.options.waits_for_near_workers)
            .worker_speed(settings_.options.uses_worker_speed)
            .stop_time(settings_.stop_time)
            .counters(metrics_)
            .may_order(
                [this, role = pool_role(pool), revision] {
                    return session_.may_order(role, revision,
                                              base::suspend_aware_now());
                })
            .holds_lease(
                [this, role = pool_role(pool), revision]
                {
                    const auto now = base::suspend_aware_now();
                    return session_.holds_lease(now) &&
                           session_.may_order(role, revision, now);
                })
            .on_load([this] { queues_.refresh(); })
            .on_lost(
                [this, pool](std::string_view)
                {
                    lost_.insert(pool);
                    wakeup_.notify();
                })
            .build();
    owner->set_policies(policies_);
    owner->set_tenants(tenants_);
    if (directory_.is_listed())
        owner->set_workers(directory_.workers_of(pool));
    owner->start();
    owners_[pool] = std::move(owner);
}

void pool_claims::update_owners()
{
    for (auto& [pool, owner] : owners_)
    {
        owner->set_policies(policies_);
        owner->set_tenants(tenants_);
        if (directory_.is_listed())
            owner->set_workers(directory_.workers_of(pool));
    }
}

} // namespace pimentograde::node
