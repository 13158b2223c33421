#ifndef PIMENTOGRADE_TESTS_JOBS_LOCALITY_REPLAY_HPP
#define PIMENTOGRADE_TESTS_JOBS_LOCALITY_REPLAY_HPP

#include "jobs/pool_fixture.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>

namespace pimentograde::tests
{

/// Load on 4 racks of 5 workers with 4 cores: jobs of one to three tasks arrive
/// for ten seconds.
struct replay_load
{
    double remote_factor = 1.5;
    /// Offered load as a share of the pool's cores.
    double load = 0.4;
    /// Share of the jobs that ask for the first rack.
    double hot_share = 0.6;
    /// Share of the tasks that take seven times as long.
    double long_share = 0.0;
    /// Number of workers that take five times as long, on any rack.
    int slow_workers = 0;
    std::uint64_t seed = 1;
};

struct replay_result
{
    double mean_seconds = 0.0;
    double p90_seconds = 0.0;
    int jobs = 0;
    int slow_starts = 0;
};

/// Advances in steps of 20 ms; workers report every 100 ms and with each end.
inline replay_result replay(const replay_load& load,
                            const std::function<void(pool_state&)>& configure)
{
    constexpr int racks = 4;
    constexpr int workers_of_rack = 5;
    constexpr int cores = 4;
    constexpr double mean_work = 1.6;
    std::vector<worker_description> workers;
    for (int index = 0; index < racks * workers_of_rack; ++index)
    {
        workers.push_back(describe("w" + std::to_string(100 + index),
                                   cores * std::int64_t{1000}));
        workers.back().labels = {"r" + std::to_string(index % racks)};
    }
    pool_fixture pool(workers);
    pool.state.set_policy({"queue", "pool", 0, 2, 1.6, 20s});
    pool.state.set_remote_factor(load.remote_factor);
    configure(pool.state);
    struct run
    {
        start_order order;
        base::time_point begin;
        base::time_point end;
    };
    std::map<std::string, std::vector<run>> runs;
    std::map<std::string, std::int64_t> ends;
    std::map<std::string, base::time_point> open;
    std::mt19937_64 random(load.seed);
    const auto uniform = [&]
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(random);
    };
    std::vector<double> seconds;
    replay_result result;
    const base::time_point begin = pool.now;
    double offered = 0.0;
    for (int tick = 0; tick < 500 || !open.empty(); ++tick)
    {
        pool.now = begin + tick * 20ms;
        for (; tick < 500 && offered < load.load * racks * workers_of_rack *
                                           cores * tick * 0.02;
             ++result.jobs)
        {
            step_spec part = make_step(1 + static_cast<int>(random() % 3));
            part.estimate = std::chrono::milliseconds(400 + random() % 800);
            if (uniform() < load.hot_share)
                part.data_rack = "r0";
            offered += mean_work;
            const std::string id = "j" + std::to_string(result.jobs);
            pool.submit(id, make_job({part}));
            open.emplace(id, pool.now);
        }
        for (const auto& worker : workers)
        {
            worker_report rows;
            auto& own = runs[worker.id];
            for (const run& entry : own)
                if (entry.end <= pool.now)
                    rows.ended.push_back({++ends[worker.id],
                                          entry.order.task,
                                          entry.order.run,
                                          end_kind::done,
                                          {}});
            std::erase_if(own, [&](const run& entry)
                          { return entry.end <= pool.now; });
            for (const run& entry : own)
                rows.running.push_back(
                    {entry.order.task,
                     entry.order.run,
                     {},
                     static_cast<int>(100.0 * (pool.now - entry.begin) /
                                      (entry.end - entry.begin))});
            if (!rows.ended.empty() || tick % 5 == 0)
                pool.state.apply_report(worker.id, rows, pool.now, pool.now,
                                        wall);
        }
        pool.store();
        for (auto entry = open.begin(); entry != open.end();)
        {
            if (pool.state.find_job(entry->first)->status == job_status::open)
            {
                ++entry;
                continue;
            }
            seconds.push_back(base::count_seconds(pool.now - entry->second));
            entry = open.erase(entry);
        }
        for (const auto& order : pool.plan_and_start())
        {
            const auto& spec =
                *pool.state.find_job(order.task.job)->find_spec(order.task);
            const auto& view = pool.state.workers().at(order.worker);
            // Depends on the task only, so that all variants run the same work.
            std::mt19937_64 own(load.seed * 7919 +
                                std::hash<std::string>{}(order.task.job) +
                                static_cast<std::uint64_t>(order.task.index));
            double length = base::count_seconds(spec.estimate) *
                            std::lognormal_distribution<>(0.0, 0.25)(own);
            if (std::uniform_real_distribution<>(0.0, 1.0)(own) <
                load.long_share)
                length *= 7.0;
            if (!spec.data_rack.empty() && !view.has_label(spec.data_rack))
                length *= load.remote_factor;
            const int number = std::stoi(order.worker.substr(1)) - 100;
            if (number < load.slow_workers)
            {
                length *= 5.0;
                ++result.slow_starts;
            }
            runs[order.worker].push_back(
                {order, pool.now,
                 pool.now + std::chrono::duration_cast<base::duration>(
                                std::chrono::duration<double>(length))});
        }
    }
    std::sort(seconds.begin(), seconds.end());
    for (const double value : seconds)
        result.mean_seconds += value / static_cast<double>(seconds.size());
    result.p90_seconds = seconds[seconds.size() * 9 / 10];
    return result;
}

} // namespace pimentograde::tests

#endif
