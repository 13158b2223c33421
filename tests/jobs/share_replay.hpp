#ifndef PIMENTOGRADE_TESTS_JOBS_SHARE_REPLAY_HPP
#define PIMENTOGRADE_TESTS_JOBS_SHARE_REPLAY_HPP

#include "jobs/ordering.hpp"
#include "jobs/pool_state.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Replays the load of several tenants on one pool in simulated time.
namespace pimentograde::tests
{

using namespace pimentograde::jobs;
using namespace std::chrono_literals;

struct tenant_load
{
    std::string name;
    /// Jobs per second: the tenant's weight, and what it sends.
    double weight = 0.0;
    double rate = 0.0;
    /// What it sends from `burst_from` to `burst_to`.
    double burst_rate = 0.0;
};

struct replay_setup
{
    std::vector<tenant_load> tenants;
    /// Whether the pool's owner knows the tenants.
    bool has_shares = true;
    bool has_weighted_order = is_weighted_order_on;
    bool names_tenants = true;
    base::duration burst_from = 5s;
    base::duration burst_to = 10s;
    base::duration length = 20s;
    int workers = 20;
    /// Two steps of 8 tasks of 1.3 s on 7 cores, instead of 1.6 steps of 8
    /// tasks of 0.8 s on 3 cores.
    bool has_large_jobs = false;
    std::uint64_t seed = 1;
};

struct tenant_result
{
    int sent = 0;
    int in_time = 0;
    /// The part of both that was sent within the tenant's weight.
    int sent_within = 0;
    int in_time_within = 0;
    /// Refused at the first submission.
    int refused = 0;
    [[nodiscard]] double part() const
    {
        return sent == 0 ? 1.0 : static_cast<double>(in_time) / sent;
    }
    [[nodiscard]] double part_within() const
    {
        return sent_within == 0
                   ? 1.0
                   : static_cast<double>(in_time_within) / sent_within;
    }
};

struct replay_result
{
    std::map<std::string, tenant_result> tenants;
    /// Starts and refusals in their order.
    std::vector<std::string> decisions;

    /// Result of all tenants whose name begins with `prefix`.
    [[nodiscard]] tenant_result sum(const std::string& prefix) const
    {
        tenant_result all;
        for (const auto& [name, result] : tenants)
            if (name.starts_with(prefix))
            {
                all.sent += result.sent;
                all.in_time += result.in_time;
                all.sent_within += result.sent_within;
                all.in_time_within += result.in_time_within;
                all.refused += result.refused;
            }
        return all;
    }
};

inline job_spec make_replay_job(bool is_large, std::mt19937_64& random)
{
    step_spec part;
    part.task_count = 8;
    part.need = {is_large ? 7000 : 3000, 100, 0};
    part.estimate = is_large ? 1300ms : 800ms;
    job_spec spec;
    spec.steps = {part};
    part.after = {0};
    if (is_large || random() % 10 < 6)
        spec.steps.push_back(part);
    return spec;
}

/// The pool's capacity in jobs per second.
inline double replay_capacity(const replay_setup& setup)
{
    constexpr double cores_per_worker = 32.0;
    const double work =
        setup.has_large_jobs ? 2 * 8 * 1.3 * 7.0 : 1.6 * 8 * 0.8 * 3.0;
    return setup.workers * cores_per_worker / work;
}

inline replay_result replay(const replay_setup& setup)
{
    struct call
    {
        std::string id;
        std::string tenant;
        job_spec spec;
        int attempt = 0;
        bool is_within = false;
    };
    constexpr auto wall = base::wall_time(1'000'000s);
    constexpr auto tick = 10ms;
    constexpr int attempts = 3;
    const base::time_point start(100s);
    const queue_policy policy{"queue", "pool", 0, 2, 1.6, 600ms};
    std::mt19937_64 random(setup.seed);
    std::multimap<base::time_point, call> calls;
    replay_result result;
    std::vector<tenant_policy> policies;
    for (const tenant_load& load : setup.tenants)
    {
        policies.push_back({load.name, load.weight, {}});
        int count = 0;
        result.tenants[load.name];
        for (base::time_point at = start; at < start + setup.length;)
        {
            const bool is_burst = load.burst_rate > 0.0 &&
                                  at >= start + setup.burst_from &&
                                  at < start + setup.burst_to;
            const double rate = is_burst ? load.burst_rate : load.rate;
            base::duration gap = 100ms;
            if (rate > 0.0)
                gap = std::chrono::duration_cast<base::duration>(
                    std::chrono::duration<double>(
                        std::exponential_distribution<>(rate)(random)));
            // A rate counts from its change on.
            const auto change = at < start + setup.burst_from
                                    ? start + setup.burst_from
                                    : start + setup.burst_to;
            at = at < change ? std::min(at + gap, change) : at + gap;
            if (rate > 0.0 && at != change && at < start + setup.length)
                calls.emplace(
                    at,
                    call{load.name + "-" + std::to_string(count++), load.name,
                         make_replay_job(setup.has_large_jobs, random)});
        }
    }
    tenant_shares shares;
    shares.set_tenants(policies);
    pool_state state("pool");
    state.set_policy(policy);
    state.set_weighted_order(setup.has_weighted_order);
    if (setup.has_shares)
        state.set_tenants(policies);
    for (int index = 0; index < setup.workers; ++index)
    {
        worker_description worker;
        worker.id = "w" + std::to_string(index);
        worker.capacity = {32'000, 131'072, 0};
        state.update_worker(worker);
        state.note_recorded(state.roster(start));
        state.apply_report(worker.id, {}, start, start, wall);
    }
    std::multimap<base::time_point, start_order> ends;
    std::map<std::string, std::int64_t> numbers;
    std::map<std::string, call> accepted;
    std::map<std::string, base::time_point> objectives;
    base::time_point now = start;
    while (!calls.empty() || !ends.empty())
    {
        now += tick;
        while (!calls.empty() && calls.begin()->first <= now)
        {
            call entry = calls.extract(calls.begin()).mapped();
            tenant_result& counts = result.tenants[entry.tenant];
            const bool is_first = entry.attempt++ == 0;
            if (is_first)
            {
                entry.is_within = shares.take(entry.tenant, entry.id, now) ==
                                  share_use::within;
                ++counts.sent;
                counts.sent_within += entry.is_within ? 1 : 0;
            }
            const auto answer =
                state.submit(entry.id, entry.spec, "queue", now, wall,
                             setup.names_tenants ? entry.tenant : "");
            if (answer.outcome == submit_result::kind::accepted)
            {
                objectives[entry.id] =
                    objective_of(*state.find_job(entry.id), policy);
                accepted.emplace(entry.id, entry);
                continue;
            }
            result.decisions.push_back("refuse " + entry.id);
            counts.refused += is_first ? 1 : 0;
            if (entry.attempt < attempts)
                calls.emplace(now + answer.admission.retry_after, entry);
        }
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const start_order order = ends.extract(ends.begin()).mapped();
            worker_report rows;
            rows.ended.push_back({++numbers[order.worker],
                                  order.task,
                                  order.run,
                                  end_kind::done,
                                  {}});
            rows.is_truncated = true;
            state.apply_report(order.worker, rows, now, now, wall);
            const std::string& id = order.task.job;
            if (state.find_job(id)->status == job_status::completed &&
                now <= objectives[id])
            {
                const call& entry = accepted.at(id);
                tenant_result& counts = result.tenants[entry.tenant];
                ++counts.in_time;
                counts.in_time_within += entry.is_within ? 1 : 0;
            }
        }
        for (const auto& change : state.take_changes(1000))
            state.note_stored(change.job, 1);
        for (const auto& order : state.plan(now, wall))
        {
            state.apply_start_answer(order, start_answer::started, now);
            const auto& part =
                accepted.at(order.task.job)
                    .spec.steps[static_cast<std::size_t>(order.task.step)];
            ends.emplace(now + part.estimate, order);
            result.decisions.push_back(to_string(order.task) + " " +
                                       order.worker);
        }
    }
    return result;
}

} // namespace pimentograde::tests

#endif
