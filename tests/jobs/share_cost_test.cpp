// The processor time that shares add to the decisions of a pool's owner.

#include "pool_fixture.hpp"
#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::tests;

namespace
{

constexpr int open_jobs = 300;
constexpr int repetitions = 200;

std::string tenant_name(int index)
{
    return "tenant-" + std::to_string(index);
}

/// 60 workers on which only one task fits at a time, and waiting jobs.
pool_fixture make_pool(int tenants, bool has_shares)
{
    std::vector<worker_description> workers;
    for (int index = 0; index < 60; ++index)
        workers.push_back(describe("w" + std::to_string(100 + index),
                                   index == 0 ? 1000 : 500));
    pool_fixture pool(std::move(workers));
    // So generous that no job is refused for the backlog.
    pool.state.set_policy({"queue", "pool", 0, 2, 1.6, 1h});
    std::vector<tenant_policy> policies;
    for (int index = 0; index < tenants; ++index)
        policies.push_back({tenant_name(index), 1000.0, {}});
    if (has_shares)
        pool.state.set_tenants(policies);
    for (int index = 0; index < open_jobs; ++index)
        pool.state.submit("j" + std::to_string(index), make_job({make_step(8)}),
                          "queue", pool.now, wall,
                          tenant_name(index % tenants));
    pool.store();
    REQUIRE(pool.state.job_count() == open_jobs);
    return pool;
}

template <typename Action>
double micros_of(int count, const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < count; ++index)
        action(index);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    return took.count() / count;
}

// One plan that ranks all waiting jobs, for each of them.
double rank_micros(int tenants, bool has_shares, bool has_weighted_order)
{
    pool_fixture pool = make_pool(tenants, has_shares);
    pool.state.set_weighted_order(has_weighted_order);
    std::size_t starts = 0;
    const double micros =
        micros_of(repetitions,
                  [&](int)
                  {
                      for (const auto& order : pool.plan())
                      {
                          ++starts;
                          pool.state.apply_start_answer(
                              order, start_answer::no_room, pool.now);
                      }
                      pool.now += 10s;
                  });
    CHECK(starts == repetitions);
    return micros / open_jobs;
}

// One submission beside the waiting jobs; it is accepted if `weight` allows.
double submit_micros(int tenants, bool has_shares, double weight)
{
    pool_fixture pool = make_pool(tenants, has_shares);
    if (has_shares)
    {
        std::vector<tenant_policy> policies;
        for (int index = 0; index < tenants; ++index)
            policies.push_back({tenant_name(index), weight, {}});
        pool.state.set_tenants(policies);
    }
    const job_spec spec = make_job({make_step(8)});
    return micros_of(repetitions,
                     [&](int index)
                     {
                         const std::string id = "n" + std::to_string(index);
                         pool.state.submit(id, spec, "queue", pool.now, wall,
                                           tenant_name(index % tenants));
                         pool.state.withdraw(id);
                     });
}

} // namespace

// Guards against a cost that grows with the tenants: an owner with 0.25 cores
// plans hundreds of starts a second. Prints the figures; the bound is wide
// since the machine is shared.
TEST_CASE("the cost of shares hardly grows with the tenants")
{
    for (const int tenants : {20, 210})
    {
        tenant_shares shares;
        std::vector<tenant_policy> policies;
        std::vector<std::string> names;
        for (int index = 0; index < tenants; ++index)
        {
            names.push_back(tenant_name(index));
            policies.push_back({names.back(), 5.0, {}});
        }
        shares.set_tenants(policies);
        const double take = micros_of(
            100'000,
            [&](int index)
            {
                shares.take(names[static_cast<std::size_t>(index % tenants)],
                            "job", base::time_point(index * 1ms));
            });
        const double rank = rank_micros(tenants, true, true);
        MESSAGE(
            tenants << " tenants, us: bucket " << take
                    << "; submission, within the share "
                    << submit_micros(tenants, true, 1000.0) << ", excess "
                    << submit_micros(tenants, true, 1e-9) << ", without shares "
                    << submit_micros(tenants, false, 0.0)
                    << "; ranking of a job "
                    << rank_micros(tenants, true, false)
                    << ", with weighted order " << rank << ", without shares "
                    << rank_micros(tenants, false, false));
        CHECK(take < 20.0);
        CHECK(rank < 20.0);
    }
}
