#ifndef PIMENTOGRADE_TESTS_CAPACITY_MAKE_BUNDLE_HPP
#define PIMENTOGRADE_TESTS_CAPACITY_MAKE_BUNDLE_HPP

#include "config/bundle.hpp"

#include <string>

namespace pimentograde::tests
{

inline constexpr std::uint32_t workers_per_rack = 4;
inline constexpr std::uint32_t slots_per_worker = 8;

/// Pools `p0`, `p1`, ... of `workers_per_pool` workers `w0`, `w1`, ...; the
/// workers of a pool alternate between the zones, and 4 consecutive workers of
/// a zone share a rack. One department `d` with one queue per pool. No budgets
/// and no waves.
inline config::bundle
make_bundle(std::size_t pools, std::size_t workers_per_pool, std::size_t zones)
{
    config::bundle bundle;
    bundle.deployment = "test";
    bundle.weights = {0.6, 0.2, 0.2};
    for (std::size_t zone = 0; zone < zones; ++zone)
        bundle.zones.emplace_back("z" + std::to_string(zone));
    bundle.departments.push_back({base::department_name("d"), 100, 0.1, {}});
    for (std::size_t pool = 0; pool < pools; ++pool)
    {
        const base::pool_name name("p" + std::to_string(pool));
        bundle.pools.push_back({name, pool + 1 == pools});
        bundle.queues.push_back(
            {base::queue_name("q" + std::to_string(pool)),
             base::department_name("d"), name, base::priority::batch, 100,
             std::chrono::seconds{60}, std::chrono::seconds{1}});
        for (std::size_t index = 0; index < workers_per_pool; ++index)
        {
            const std::size_t number = bundle.workers.size();
            const std::size_t in_zone = number / zones;
            config::worker worker;
            worker.id = base::worker_id("w" + std::to_string(number));
            worker.pool = name;
            worker.zone = bundle.zones[number % zones];
            worker.rack = base::rack_name(
                "r" + std::to_string(in_zone / workers_per_rack));
            worker.address = {"127.0.0.1",
                              static_cast<std::uint16_t>(10000 + number)};
            worker.size = {32, 131072, 0};
            worker.slots = slots_per_worker;
            worker.connections = 64;
            bundle.workers.push_back(std::move(worker));
        }
    }
    return bundle;
}

/// A budget of department `d` in each pool.
inline void add_budgets(config::bundle& bundle, std::uint32_t min_workers,
                        config::failure_domain survive)
{
    for (const config::pool& pool : bundle.pools)
        bundle.budgets.push_back(
            {base::department_name("d"), pool.name, min_workers, survive});
}

/// A wave `wave` over all pools.
inline void add_wave(config::bundle& bundle, std::uint32_t max_parallel,
                     base::duration period)
{
    config::wave wave;
    wave.name = "wave";
    for (const config::pool& pool : bundle.pools)
        wave.pools.push_back(pool.name);
    wave.max_parallel = max_parallel;
    wave.period = period;
    bundle.waves.push_back(std::move(wave));
}

inline base::wall_time start_time()
{
    return base::from_millis(1796360000000);
}

} // namespace pimentograde::tests

#endif
