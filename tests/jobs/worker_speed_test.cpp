// Workers that are slower than others, and tasks that take long on any.

#include "jobs/locality_replay.hpp"
#include "jobs/worker_speed.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

// Mean over several seeds.
replay_result mean_of(replay_load load, bool uses_speed)
{
    constexpr int seeds = 5;
    replay_result mean;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        load.seed = static_cast<std::uint64_t>(seed);
        const replay_result one =
            replay(load, [&](pool_state& state)
                   { state.set_worker_speed(uses_speed); });
        mean.mean_seconds += one.mean_seconds / seeds;
        mean.p90_seconds += one.p90_seconds / seeds;
        mean.jobs += one.jobs;
        mean.slow_starts += one.slow_starts;
    }
    return mean;
}

double slowness(const worker_speed& speed, std::vector<running_evidence> runs,
                base::time_point now)
{
    return slowness_of(speed.log_ratio(runs, 0.0, now), 0.0);
}

} // namespace

// Guards against a worker that is marked for one long task, one that is found
// slow only after its runs have ended, and one that stays marked for ever.
TEST_CASE("a worker is slow when several of its runs are late")
{
    const base::time_point now{100s};
    worker_speed speed;
    const running_evidence late{2.1, 0.0, 0, 1.0};
    SUBCASE("one long run does not count, several that are due do")
    {
        CHECK(slowness(speed, {late}, now) == 1.0);
        CHECK(slowness(speed, {late, late}, now) == doctest::Approx(2.1));
    }
    SUBCASE("ends before the late runs were due say nothing")
    {
        for (int run = 0; run < 8; ++run)
            speed.note_end(1.0, 1.0, now - 2s);
        CHECK(slowness(speed, {late, late}, now) > 1.0);
    }
    SUBCASE("two long runs beside others that end in time do not count")
    {
        for (int run = 0; run < 2; ++run)
            speed.note_end(1.0, 1.0, now - 300ms);
        CHECK(slowness(speed, {late, late}, now) == 1.0);
    }
    SUBCASE("progress shows it before the runs are due")
    {
        const running_evidence slow{0.5, 0.5, 10, 1.0};
        CHECK(slowness(speed, {slow, slow}, now) == doctest::Approx(5.0));
    }
    SUBCASE("the mark ends")
    {
        for (int run = 0; run < 8; ++run)
            speed.note_end(5.0, 1.0, now);
        CHECK(slowness(speed, {}, now) == doctest::Approx(5.0));
        CHECK(slowness(speed, {}, now + 20s) == 1.0);
    }
    SUBCASE("estimates that are wrong on all workers mark none")
    {
        std::vector<double> ratios(10, 1.2);
        const double usual = usual_log_ratio(ratios);
        CHECK(slowness_of(1.2, usual) == 1.0);
        CHECK(slowness_of(1.7, usual) == 1.0);
        CHECK(slowness_of(1.7, usual, true) > 1.0);
        CHECK(slowness_of(1.2 + 1.6, usual) == doctest::Approx(std::exp(1.6)));
    }
}

// Guards against tasks that are sent to slow workers while others are free or
// about to be, and against workers that get no work as long tasks ran there.
TEST_CASE("callers of a pool with slow workers or long tasks wait less")
{
    struct shape
    {
        double load;
        double long_share;
        int slow_workers;
        /// Bound of the mean completion time, as a share of that without.
        double bound;
    };
    for (const auto& [load, long_share, slow_workers, bound] :
         {shape{0.3, 0.0, 4, 0.9}, shape{0.6, 0.0, 4, 0.9},
          // More than the pool can do: slow workers are needed as well.
          shape{1.0, 0.0, 4, 1.0}, shape{0.6, 0.03, 4, 0.9},
          shape{0.3, 0.03, 0, 1.02}, shape{0.8, 0.03, 0, 1.02},
          shape{1.2, 0.03, 0, 1.02}, shape{0.8, 0.0, 0, 1.02}})
    {
        const replay_load given{1.5, load, 0.0, long_share, slow_workers, 1};
        const replay_result off = mean_of(given, false);
        const replay_result on = mean_of(given, true);
        std::printf("load %.1f long %.2f slow workers %d: mean off %.3f on "
                    "%.3f s; p90 off %.3f on %.3f s; slow starts off %d on %d "
                    "(%d jobs)\n",
                    load, long_share, slow_workers, off.mean_seconds,
                    on.mean_seconds, off.p90_seconds, on.p90_seconds,
                    off.slow_starts, on.slow_starts, on.jobs);
        CAPTURE(load);
        CAPTURE(long_share);
        CAPTURE(slow_workers);
        CHECK(on.mean_seconds <= bound * off.mean_seconds);
    }
}

// Guards against a late mark, a task that waits for ever for a faster worker,
// and a change of placement without the switch.
TEST_CASE("a task goes to a slow worker only if no other is free soon")
{
    pool_fixture pool({describe("w1", 4000), describe("w2", 4000)});
    pool.state.set_worker_speed(true);
    step_spec part = make_step(3);
    pool.submit("first", make_job({part}));
    const auto first = pool.plan_and_start();
    REQUIRE(first.size() == 3);
    const std::string slow = first[0].worker;
    REQUIRE(first[2].worker == slow);
    pool.now += 300ms;
    pool.report(slow, running(first, 0));
    pool.plan();
    CHECK(pool.state.workers().at(slow).slowness == 1.0);
    pool.now += 600ms;
    pool.report(slow, running(first, 0));
    SUBCASE("another worker is free")
    {
        pool.submit("j", make_job({make_step(1)}));
        const auto orders = pool.plan();
        CHECK(pool.state.workers().at(slow).slowness > 2.0);
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].worker != slow);
    }
    SUBCASE("without the switch it goes where it leaves least room")
    {
        pool.state.set_worker_speed(false);
        pool.submit("j", make_job({make_step(1)}));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].worker == slow);
    }
    SUBCASE("another worker will be free, but the wait is bounded")
    {
        pool.submit("fill", make_job({make_step(4)}));
        const auto fill = pool.plan_and_start();
        REQUIRE(fill.size() == 4);
        REQUIRE(fill[0].worker != slow);
        pool.now += 400ms;
        pool.report(fill[0].worker, running(fill, 90));
        pool.submit("j", make_job({make_step(1)}));
        CHECK(pool.plan().empty());
        pool.now += 2s;
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].worker == slow);
    }
}

// Guards against a pass over all runs that is too slow for a small owner.
TEST_CASE("the workers' speed is estimated quickly")
{
    for (const int count : {60, 400})
    {
        std::vector<worker_description> workers;
        for (int index = 0; index < count; ++index)
            workers.push_back(describe("w" + std::to_string(1000 + index)));
        pool_fixture pool(workers);
        for (int index = 0; index < count; ++index)
            pool.submit("f" + std::to_string(index), make_job({make_step(7)}));
        pool.plan_and_start();
        const auto seconds_of_plan = [&](const std::string& job)
        {
            pool.submit(job, make_job({make_step(100, 250)}));
            const auto begin = std::chrono::steady_clock::now();
            const std::size_t starts = pool.plan_and_start().size();
            const auto end = std::chrono::steady_clock::now();
            CHECK(starts == 100);
            return base::count_seconds(end - begin);
        };
        const double off = seconds_of_plan("off");
        pool.state.set_worker_speed(true);
        const double first = seconds_of_plan("first");
        const double second = count > 100 ? seconds_of_plan("second") : 0.0;
        std::printf("plan of 100 starts, %d workers with 7 runs: %.0f us "
                    "without speeds, %.0f us with a pass over the runs, %.0f "
                    "us between passes\n",
                    count, off * 1e6, first * 1e6, second * 1e6);
        CHECK(first < 0.1);
    }
}
