// Three owners in a row within 3 s: the first one goes on ordering a worker
// that the others cannot reach.

#include "pools/contested_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

const std::string task_a = id_a + ".0.0.0";
const std::string task_b = id_b + ".0.0.0";

// The first owner runs one task on "w1", and orders another one there once it
// is cut from the store and the second owner has loaded the pool.
struct takeover_pool : contested_pool
{
    platform_standin::worker_double& reached = add_worker("w1", 1200ms);
    claimant& first = take_over({"w1"});

    // Both jobs are stored; the second one waits for the room of the first.
    void submit_jobs()
    {
        REQUIRE(eventually([&] { return first.accepts_starts("w1"); }));
        REQUIRE(first.submit(id_a, 4));
        REQUIRE(eventually([&] { return reached.running_count() == 1; }));
        REQUIRE(first.submit(id_b, 4));
    }
    // Only the first owner reaches "w1" from then on. "w2" is idle.
    void isolate()
    {
        reached.highest_reachable_fence = first.owner->fence();
        add_worker("w2", 100ms);
    }
    // A takeover by an owner that uses "w2" if it is listed.
    claimant& load_next(const std::vector<std::string>& listed)
    {
        claimant& next = take_over(listed);
        REQUIRE(eventually([&] { return next.owner->is_loaded(); }, 1s));
        return next;
    }
    void await_second_order()
    {
        REQUIRE(
            eventually([&] { return platform.starts_of(task_b) == 1; }, 3s));
        CHECK(reached.records.back().fence == first.owner->fence());
    }
    // The third owner starts nothing while "w1" is silent, and takes over what
    // it finds there.
    void check_third(claimant& third)
    {
        REQUIRE(eventually([&] { return third.accepts_starts("w2"); }, 1s));
        const auto heard_at = base::steady_now() + 700ms;
        while (base::steady_now() < heard_at)
        {
            CHECK(platform.worker("w2").starts.empty());
            CHECK(is_in_roster("w1"));
            boost::this_fiber::sleep_for(20ms);
        }
        CHECK(reached.running_count() == 1);
        reached.highest_reachable_fence = 0;
        CHECK(eventually(
            [&] {
                return third.owner->state().workers().at("w1").runs.size() == 1;
            },
            1s));
        CHECK(eventually([&] { return third.is_completed(id_a); }, 3s));
        CHECK(eventually([&] { return third.is_completed(id_b); }, 3s));
        CHECK(platform.starts_of(task_a) == 1);
        CHECK(platform.starts_of(task_b) == 1);
        CHECK(platform.worker("w2").starts.empty());
    }
};

} // namespace

// Guards against two runs at once: a worker that the third owner has not heard
// is named as ended, although the first owner still has a task running there.
TEST_CASE("a worker named as ended to the third owner keeps its tasks")
{
    takeover_pool pool;
    pool.submit_jobs();
    pool.isolate();
    pool.first.cut_from_store();
    const auto cut_at = base::steady_now();
    pool.load_next({"w1"});
    pool.await_second_order();
    claimant& third = pool.load_next({"w1", "w2"});
    CHECK(base::steady_now() - cut_at < 3s);
    third.owner->end_worker("w1");
    pool.check_third(third);
}

// Guards against a roster that the second owner stores before it has heard the
// worker, and from which the third one takes that nothing runs there.
TEST_CASE("a roster of an owner that has not heard a worker hides no runs")
{
    takeover_pool pool;
    pool.submit_jobs();
    pool.isolate();
    pool.first.cut_from_store();
    const auto cut_at = base::steady_now();
    const auto rosters = pool.roster_writes();
    claimant& second = pool.load_next({"w1", "w2"});
    SUBCASE("the worker is listed") {}
    SUBCASE("the worker is named as ended")
    {
        second.owner->end_worker("w1");
    }
    REQUIRE(eventually([&] { return pool.roster_writes() > rosters; }, 1s));
    pool.await_second_order();
    claimant& third = pool.load_next({"w1", "w2"});
    CHECK(base::steady_now() - cut_at < 3s);
    pool.check_third(third);
}

// Guards against runs that the first owner has stated in its last roster, and
// that the third one loses when their worker is named as ended.
TEST_CASE("runs that were handed over stay at a worker named as ended")
{
    takeover_pool pool;
    pool.submit_jobs();
    pool.await_second_order();
    pool.isolate();
    pool.first.owner->quiesce();
    const auto ended_at = base::steady_now();
    pool.load_next({"w1"});
    boost::this_fiber::sleep_for(200ms);
    claimant& third = pool.load_next({"w1", "w2"});
    CHECK(base::steady_now() - ended_at < 3s);
    third.owner->end_worker("w1");
    pool.check_third(third);
}
