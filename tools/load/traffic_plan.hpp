#ifndef PIMENTOGRADE_LOAD_TRAFFIC_PLAN_HPP
#define PIMENTOGRADE_LOAD_TRAFFIC_PLAN_HPP

#include "base/time.hpp"
#include "config/bundle.hpp"

#include <string>
#include <vector>

namespace pimentograde::load
{

/// Demand of a queue in a burst and between bursts, in means.
inline constexpr double burst_level = 5;
inline constexpr double quiet_level = 0.05;
/// Share of the time in a burst: the demand averages one mean.
inline constexpr double burst_share =
    (1 - quiet_level) / (burst_level - quiet_level);

/// Traffic of one queue.
struct queue_traffic
{
    std::string queue;
    bool urgent = false;
    std::vector<std::string> callers;
    /// Submissions a second.
    double mean_rate = 0;
    base::duration task_time{};
    /// Where in the cycle the burst begins.
    base::duration burst_start{};
};

struct traffic_settings
{
    /// Demand of a burst as a share of the pool's capacity.
    double burst_load = 1.2;
    /// Submissions a second of all queues together; 0: as `burst_load` says.
    double total_rate = 0;
    /// Factor on the tasks' expected time.
    double time_scale = 1;
    base::duration burst_time = std::chrono::seconds{4};
};

/// Traffic of each queue; the bursts follow each other in turn.
std::vector<queue_traffic> plan_traffic(const config::bundle& bundle,
                                        const traffic_settings& settings);

/// Length of one cycle of burst and quiet time.
base::duration cycle_time(const traffic_settings& settings);

/// Rate of a level and the time until the level changes.
struct traffic_level
{
    double rate = 0;
    base::duration left{};
};

traffic_level level_at(const queue_traffic& traffic,
                       const traffic_settings& settings,
                       base::duration since_start);

} // namespace pimentograde::load

#endif
