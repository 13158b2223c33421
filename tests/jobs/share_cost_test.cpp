// The processor time that shares add to the decisions of a pool's owner.

#include "pool_fixture.hpp"
#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::tests;

namespace
{

constexpr int open_jobs = 300;
constexpr int repetitions = 200;

enum class share_mode
{
    none,
    on,
    weighted
};

std::vector<tenant_policy> make_policies(int tenants, double weight)
{
    std::vector<tenant_policy> policies;
    for (int index = 0; index < tenants; ++index)
        policies.push_back({"tenant-" + std::to_string(index), weight, {}});
    return policies;
}

template <typename Action>
double micros_of(int count, const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < count; ++index)
        action(static_cast<std::size_t>(index));
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    return took.count() / count;
}

struct cost
{
    /// Microseconds for a submission, and for each job that a plan ranks.
    double submission = 0.0;
    double ranking = 0.0;
};

// A pool of 60 workers with room for one task, in which 300 jobs wait.
cost measure(int tenants, share_mode mode, double weight)
{
    std::vector<worker_description> workers;
    for (int index = 0; index < 60; ++index)
        workers.push_back(describe("w" + std::to_string(100 + index),
                                   index == 0 ? 1000 : 500));
    pool_fixture pool(std::move(workers));
    // So generous that no job is refused for the backlog.
    pool.state.set_policy({"queue", "pool", 0, 2, 1.6, 1h});
    const auto policies = make_policies(tenants, weight);
    const job_spec spec = make_job({make_step(8)});
    const auto submit = [&](const std::string& id, std::size_t index)
    {
        pool.state.submit(id, spec, "queue", pool.now, wall,
                          policies[index % policies.size()].name);
    };
    for (std::size_t index = 0; index < open_jobs; ++index)
        submit("j" + std::to_string(index), index);
    pool.store();
    REQUIRE(pool.state.job_count() == open_jobs);
    if (mode != share_mode::none)
        pool.state.set_tenants(policies);
    pool.state.set_weighted_order(mode == share_mode::weighted);
    cost result;
    result.submission = micros_of(repetitions,
                                  [&](std::size_t index)
                                  {
                                      const auto id =
                                          "n" + std::to_string(index);
                                      submit(id, index);
                                      pool.state.withdraw(id);
                                  });
    result.ranking =
        micros_of(repetitions,
                  [&](std::size_t)
                  {
                      const auto orders = pool.plan();
                      REQUIRE(orders.size() == 1);
                      pool.state.apply_start_answer(
                          orders[0], start_answer::no_room, pool.now);
                      pool.now += 10s;
                  }) /
        open_jobs;
    return result;
}

} // namespace

// Guards against a cost that grows with the tenants: an owner with 0.25 cores
// plans hundreds of starts a second. Prints the figures; the bound is wide
// since the machine is shared.
TEST_CASE("the cost of shares hardly grows with the tenants")
{
    for (const int tenants : {20, 210})
    {
        const auto policies = make_policies(tenants, 5.0);
        tenant_shares shares;
        shares.set_tenants(policies);
        const double take = micros_of(
            100'000,
            [&](std::size_t index) {
                shares.take(policies[index % policies.size()].name, "job", {});
            });
        const cost none = measure(tenants, share_mode::none, 0.0);
        const cost within = measure(tenants, share_mode::on, 1000.0);
        const cost excess = measure(tenants, share_mode::on, 1e-9);
        const cost weighted = measure(tenants, share_mode::weighted, 1000.0);
        MESSAGE(tenants << " tenants, us: bucket " << take
                        << "; submission within the share " << within.submission
                        << ", excess " << excess.submission
                        << ", without shares " << none.submission
                        << "; ranking of a job " << within.ranking
                        << ", weighted " << weighted.ranking
                        << ", without shares " << none.ranking);
        CHECK(take < 20.0);
        CHECK(weighted.ranking < 20.0);
    }
}
