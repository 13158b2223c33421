#ifndef PIMENTOGRADE_NODE_POOL_CLAIMS_HPP
#define PIMENTOGRADE_NODE_POOL_CLAIMS_HPP

#include "base/time.hpp"
#include "metrics/registry.hpp"
#include "net/http_client.hpp"
#include "net/task_group.hpp"
#include "net/wakeup.hpp"
#include "node/node_options.hpp"
#include "node/queue_recorder.hpp"
#include "node/session.hpp"
#include "node/worker_directory.hpp"
#include "platform/configuration.hpp"
#include "pools/pool_owner.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// The role of owning a pool.
std::string pool_role(std::string_view pool);

/// The role of sending orders to machines.
inline constexpr std::string_view fleet_role = "fleet";

/// All roles of the configuration, in an order common to all instances.
std::vector<std::string> roles_of(const platform::configuration& current);

/// What all owners of an instance are built with.
struct owner_settings
{
    /// Longest lease that a worker grants.
    base::duration worker_lease{};
    /// See `platform::node_settings`.
    double remote_factor = 1.0;
    base::duration stop_time{};
    double quota_excess = 0.0;
    node_options options;
};

/// Claims pools without an owner and runs the owners of this instance.
class pool_claims
{
public:
    /// `needs_workers` is called with whether this instance owns a pool, since
    /// only owners need the worker directory.
    pool_claims(session& members, worker_directory& directory,
                queue_recorder& queues, platform::store_client& store,
                net::http_client& http, metrics::registry& metrics,
                const owner_settings& settings,
                std::function<void(bool)> needs_workers);
    ~pool_claims();
    pool_claims(const pool_claims&) = delete;
    pool_claims& operator=(const pool_claims&) = delete;

    void start();
    /// Stops sending orders and stores the owners' state. The lease can be
    /// ended afterwards.
    void quiesce();
    /// Ends the owners' fibers.
    void stop();
    /// Wakes the claim loop after a change of members, holders, workers or the
    /// configuration.
    void notify() { wakeup_.notify(); }
    void set_configuration(const platform::configuration& current);

    /// The pool's owner on this instance; null when it does not own the pool.
    [[nodiscard]] std::shared_ptr<pools::pool_owner>
    find(std::string_view pool) const;
    /// All owners on this instance.
    [[nodiscard]] std::vector<std::shared_ptr<pools::pool_owner>>
    owners() const;

private:
    void run();
    void check_pools(base::time_point now);
    void check_pool(const std::string& pool, base::time_point now);
    void open_owner(const std::string& pool, std::int64_t revision);
    void close_lost_owners();
    void hand_over_if_better(base::time_point now);
    void hand_over(const std::string& pool, pools::pool_owner& owner);
    void update_owners();

    session& session_;
    worker_directory& directory_;
    queue_recorder& queues_;
    platform::store_client& store_;
    net::http_client& http_;
    metrics::registry& metrics_;
    owner_settings settings_;
    std::function<void(bool)> needs_workers_;
    std::vector<jobs::queue_policy> policies_;
    std::vector<jobs::tenant_policy> tenants_;
    std::set<std::string> pools_;
    std::vector<std::string> roles_;
    std::map<std::string, std::shared_ptr<pools::pool_owner>, std::less<>>
        owners_;
    std::set<std::string> lost_;
    /// Fences of this instance's ended ownerships, by pool.
    std::map<std::string, std::int64_t> ended_fences_;
    /// Pools whose role is being released.
    std::set<std::string> handing_over_;
    std::map<std::string, base::time_point> free_since_;
    /// Since when another instance has enough more processor time to take
    /// over a role.
    std::optional<base::time_point> better_owner_since_;
    net::wakeup wakeup_;
    net::stop_signal stop_;
    net::task_group fibers_;
};

} // namespace pimentograde::node

#endif
