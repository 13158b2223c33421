// What the owner of a pool believes of a worker that has started again under
// the same id: runs of the new incarnation and orders that are under way stay.

#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

// Guards against a task that is started on a second worker while its start
// order is on the way to a worker that has restarted.
TEST_CASE("a start under way to a restarted worker is not repeated elsewhere")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.report("w1", of_incarnation(1));
    pool.report("w2", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.report(orders[0].worker, of_incarnation(2));
    CHECK(pool.plan().empty());
    // The new incarnation has carried it out.
    pool.state.apply_start_answer(orders[0], start_answer::started, pool.now);
    pool.report(orders[0].worker, of_incarnation(2, running({orders[0]}, 10)));
    CHECK(pool.plan().empty());
    // Or the earlier one had, and its run is gone.
    pool.report(orders[0].worker, of_incarnation(2));
    CHECK(pool.plan().size() == 1);
}

// Guards against a task that is started on a second worker although the new
// incarnation acknowledged its start while the report was on its way.
TEST_CASE("a start acknowledged after a report was requested outlives a "
          "restart in that report")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.report("w1", of_incarnation(1));
    pool.report("w2", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    const base::time_point requested_at = pool.now;
    pool.now += 50ms;
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.now += 50ms;
    pool.state.apply_report(orders[0].worker, of_incarnation(2), requested_at,
                            pool.now, wall);
    CHECK(pool.plan().empty());
    pool.report(orders[0].worker, of_incarnation(2, running({orders[0]}, 10)));
    CHECK(pool.plan().empty());
}

// Guards against blaming a task for a crash of the incarnation before the one
// that runs it.
TEST_CASE("a run that the new incarnation lists is kept")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.report("w1", of_incarnation(1));
    pool.report("w2", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.report(orders[0].worker, of_incarnation(2, running({orders[0]}, 10)));
    CHECK(pool.plan().empty());
    const job* subject = pool.state.find_job("j");
    REQUIRE(subject != nullptr);
    CHECK(subject->steps[0].tasks[0].crashes.empty());
}

// Guards against a run that is believed to go on after the worker has lost it.
TEST_CASE("a run that the new incarnation does not list starts again")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.report("w1", of_incarnation(1));
    pool.report("w2", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.report(orders[0].worker, of_incarnation(2));
    const auto next = pool.plan();
    REQUIRE(next.size() == 1);
    CHECK(next[0].run == 2);
}
