#include "load/traffic_plan.hpp"

#include <algorithm>

namespace pimentograde::load
{

namespace
{

constexpr std::chrono::milliseconds shortest_task{1};

double pool_slots(const config::bundle& bundle, const base::pool_name& pool)
{
    double slots = 0;
    for (const config::worker& worker : bundle.workers)
        if (worker.pool == pool)
            slots += worker.slots;
    return slots;
}

std::vector<std::string> callers_of(const config::bundle& bundle,
                                    const base::department_name& name)
{
    std::vector<std::string> callers;
    for (const config::department& department : bundle.departments)
        if (department.name == name)
            for (const config::caller_entry& caller : department.callers)
                callers.push_back(caller.name.str());
    return callers;
}

base::duration scaled(base::duration length, double factor)
{
    return base::duration{static_cast<base::duration::rep>(
        static_cast<double>(length.count()) * factor)};
}

} // namespace

base::duration cycle_time(const traffic_settings& settings)
{
    return scaled(settings.burst_time, 1 / burst_share);
}

std::vector<queue_traffic> plan_traffic(const config::bundle& bundle,
                                        const traffic_settings& settings)
{
    std::vector<queue_traffic> plan;
    double sum = 0;
    for (const config::queue& queue : bundle.queues)
    {
        queue_traffic traffic;
        traffic.queue = queue.name.str();
        traffic.urgent = queue.urgency == base::priority::urgent;
        traffic.callers = callers_of(bundle, queue.department);
        traffic.task_time = std::max<base::duration>(
            scaled(queue.expected_time, settings.time_scale), shortest_task);
        // Queues that share a pool share its capacity.
        const auto sharing =
            std::count_if(bundle.queues.begin(), bundle.queues.end(),
                          [&](const config::queue& other)
                          { return other.pool == queue.pool; });
        traffic.mean_rate = settings.burst_load *
                            pool_slots(bundle, queue.pool) /
                            base::count_seconds(traffic.task_time) /
                            static_cast<double>(sharing) / burst_level;
        if (traffic.callers.empty() || traffic.mean_rate <= 0)
            continue;
        sum += traffic.mean_rate;
        plan.push_back(std::move(traffic));
    }
    const double factor =
        settings.total_rate > 0 ? settings.total_rate / sum : 1;
    const base::duration cycle = cycle_time(settings);
    for (std::size_t index = 0; index < plan.size(); ++index)
    {
        plan[index].mean_rate *= factor;
        plan[index].burst_start =
            scaled(cycle, static_cast<double>(index) /
                              static_cast<double>(plan.size()));
    }
    return plan;
}

traffic_level level_at(const queue_traffic& traffic,
                       const traffic_settings& settings,
                       base::duration since_start)
{
    const base::duration cycle = cycle_time(settings);
    const base::duration position =
        (since_start + cycle - traffic.burst_start) % cycle;
    if (position < settings.burst_time)
        return {traffic.mean_rate * burst_level,
                settings.burst_time - position};
    return {traffic.mean_rate * quiet_level, cycle - position};
}

} // namespace pimentograde::load
