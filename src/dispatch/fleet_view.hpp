#ifndef PIMENTOGRADE_DISPATCH_FLEET_VIEW_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_VIEW_HPP

#include "config/bundle.hpp"
#include "dispatch/slot_service.hpp"
#include "policy/leaving_registry.hpp"
#include "policy/size_estimator.hpp"
#include "policy/slot_broker.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace pimentograde::dispatch
{

/// Combined view of workers, pools and queues from the bundle, the fleet state,
/// the leaving signals and the usage reports.
class fleet_view
{
public:
    struct pool_view
    {
        bool spare = false;
        policy::broker_terms terms;
        std::vector<policy::broker_worker> workers;
    };

    void set_fleet(const config::bundle& bundle,
                   std::span<const worker_placement> placements);

    /// Pools with their workers; `accepting` is false for leaving workers.
    [[nodiscard]] const std::map<base::pool_name, pool_view>& pools() const
    {
        return pools_;
    }
    /// Returns the pool of a worker; empty if the worker is unknown.
    [[nodiscard]] base::pool_name pool_of(const base::worker_id& worker) const;
    /// Updates whether a worker accepts work, and returns the new value.
    bool refresh(const base::worker_id& worker);
    [[nodiscard]] std::uint32_t
    leaving_count(const base::pool_name& pool) const;

    /// Estimated slot charge and run time of a request's task, for the broker.
    [[nodiscard]] policy::request_estimate
    estimate(const policy::slot_request& request) const;
    [[nodiscard]] base::duration
    long_time(const policy::slot_request& request) const;

    [[nodiscard]] policy::leaving_registry& leaving() { return leaving_; }
    [[nodiscard]] const policy::leaving_registry& leaving() const
    {
        return leaving_;
    }
    [[nodiscard]] policy::size_estimator& sizes() { return sizes_; }

private:
    struct worker_state
    {
        base::pool_name pool;
        bool in_service = true;
    };

    void add_pools(const config::bundle& bundle);
    void add_worker(const config::worker& worker);

    std::map<base::pool_name, pool_view> pools_;
    std::map<base::worker_id, worker_state> workers_;
    policy::leaving_registry leaving_;
    policy::size_estimator sizes_;
};

} // namespace pimentograde::dispatch

#endif
