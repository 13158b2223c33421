#ifndef PIMENTOGRADE_CAPACITY_BUFFER_PLANNER_HPP
#define PIMENTOGRADE_CAPACITY_BUFFER_PLANNER_HPP

#include "config/bundle.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace pimentograde::capacity
{

/// Demand of one queue, which alternates between two levels. The figures are
/// those of section 1 of the design page.
struct burst_profile
{
    /// Level in a burst, in means.
    double high = 5;
    /// Level between bursts, in means.
    double low = 0.05;
    /// Mean demand as a share of the slots of the queue's pool. Five means are
    /// then just more than the pool holds.
    double mean_share = 0.21;

    /// Share of the time in a burst, from high p + low (1 - p) = 1.
    [[nodiscard]] double burst_share() const
    {
        return (1 - low) / (high - low);
    }
};

/// Probability that exactly `bursting` of `queues` independent queues are in a
/// burst (binomial distribution).
double burst_probability(std::uint32_t queues, std::uint32_t bursting,
                         double burst_share);

/// Demand of `queues` queues of which `bursting` are in a burst, in means of
/// one queue.
double demand_in_means(const burst_profile& profile, std::uint32_t queues,
                       std::uint32_t bursting);

enum class buffer_strategy
{
    /// Each pool holds what it needs by itself.
    fixed_spares,
    /// Maintenance spares per pool; bursts overflow into one spare pool.
    shared_spare,
    /// Maintenance spares per pool; bursts use idle slots of all pools.
    lending,
    /// As `lending`; maintenance spares move from pool to pool.
    moving
};

inline constexpr buffer_strategy all_buffer_strategies[] = {
    buffer_strategy::fixed_spares, buffer_strategy::shared_spare,
    buffer_strategy::lending, buffer_strategy::moving};

std::string_view to_string(buffer_strategy strategy);

struct buffer_settings
{
    burst_profile bursts;
    /// With all workers up, so many simultaneous bursts are served that fewer
    /// than this share of the time has more.
    double covered_share = 0.99;
    /// Simultaneous bursts that are served while a failure domain is lost.
    std::uint32_t bursts_in_failure = 2;
    /// A strategy within this ratio to the lower bound meets the target; the
    /// weights choose between several that do.
    double target_ratio = 1.15;
    /// Period of a wave that states none.
    base::duration default_period = std::chrono::hours{24 * 7};
};

struct buffer_option
{
    buffer_strategy strategy = buffer_strategy::fixed_spares;
    /// Workers beyond the budgets' minimum.
    std::uint32_t instances = 0;
    /// To the lower bound; 1 when both are 0.
    double ratio = 1;
    double moves_per_hour = 0;
    /// Workers per pool, in the order of the bundle's pools.
    std::vector<std::uint32_t> pool_workers;
    /// Workers in a spare pool of their own.
    std::uint32_t shared_workers = 0;
    /// Zones, as indices, in which the first of them have to be; the others
    /// may be anywhere.
    std::vector<std::uint32_t> shared_zones;
};

struct buffer_plan
{
    /// Sum over pools of the largest `min_workers`.
    std::uint32_t base_workers = 0;
    /// Least buffer of any strategy; docs/buffer.md derives it.
    std::uint32_t lower_bound = 0;
    /// Parts of the lower bound.
    std::uint32_t failure_bound = 0;
    std::uint32_t maintenance_bound = 0;
    std::uint32_t burst_bound = 0;
    /// Workers of the bundle beyond `base_workers`; negative when it has fewer.
    std::int64_t in_bundle = 0;
    /// Simultaneous bursts that are served with all workers up.
    std::uint32_t covered_bursts = 0;
    /// In the order of `all_buffer_strategies`.
    std::vector<buffer_option> options;
    buffer_strategy chosen = buffer_strategy::moving;
};

/// Computes the least spare capacity that keeps the promises of `bundle`:
/// every budget after the worst further failure, also during a drain, and slots
/// for the stated bursts. Assumes that a pool's workers are spread evenly over
/// zones and racks.
buffer_plan plan_buffer(const config::bundle& bundle,
                        const buffer_settings& settings = {});

} // namespace pimentograde::capacity

#endif
