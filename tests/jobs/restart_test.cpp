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

// Guards against a late start that the worker's next incarnation carries out
// before its owner knows of the restart, while the task runs elsewhere.
TEST_CASE("a task starts again where its late start may still arrive")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const start_order order = pool.plan_unanswered();
    const std::string worker = order.worker;
    pool.report(worker, of_incarnation(1));
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report(worker, of_incarnation(1));
    // It waits rather than start elsewhere.
    pool.state.set_reachable(worker, false);
    CHECK(pool.plan().empty());
    pool.report(worker, of_incarnation(1));
    const auto again = pool.plan_and_start();
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker == worker);
    CHECK(again[0].run == 2);
}

// Guards against tasks that wait for a silent worker longer than its lease.
TEST_CASE("a task starts elsewhere once the lease of its silent worker has "
          "ended")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    const std::string worker = orders[0].worker;
    pool.report(worker, running(orders, 10));
    pool.report(worker, running(orders, 20));
    pool.state.set_reachable(worker, false);
    pool.now += 7s;
    CHECK(pool.plan().empty());
    pool.state.lose_runs(worker, run_loss::lapsed, pool.now, wall);
    const auto next = pool.plan();
    REQUIRE(next.size() == 1);
    CHECK(next[0].worker != worker);
}

// Guards against a start order that is cut off, and that the worker's next
// incarnation carries out while the task runs elsewhere.
TEST_CASE("a task starts again where its start was cut off")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const start_order order = pool.plan_unanswered(start_answer::cut_off);
    const std::string worker = order.worker;
    pool.report(worker, of_incarnation(1));
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report(worker, of_incarnation(1));
    pool.state.set_reachable(worker, false);
    CHECK(pool.plan().empty());
    pool.report(worker, of_incarnation(1));
    const auto again = pool.plan_and_start();
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker == worker);
}

// Guards against a start order that a silent worker, or its next incarnation,
// carries out after the task has ended elsewhere.
TEST_CASE("a task without an answer to its start waits beyond the lease of its "
          "silent worker")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    const std::string worker = orders[0].worker;
    const base::time_point asked_at = pool.now;
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.let_lapse(worker);
    CHECK(pool.plan().empty());
    pool.now = asked_at + 12s;
    CHECK(pool.plan().empty());
    // The lease that comes with the order has ended too.
    pool.now = asked_at + 14s;
    const auto next = pool.plan();
    REQUIRE(next.size() == 1);
    CHECK(next[0].worker != worker);
}

// Guards against tasks that wait for a silent worker longer than its lease,
// although their start order has arrived.
TEST_CASE("a task whose late start has been seen waits no longer than the "
          "lease")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const start_order order = pool.plan_unanswered();
    const std::string worker = order.worker;
    pool.report(worker, running({order}, 10));
    pool.report(worker, running({order}, 20));
    pool.let_lapse(worker);
    CHECK(pool.plan().size() == 1);
}

// Guards against a late start that the next owner does not know of.
TEST_CASE("the hand-over names starts that may still arrive")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const start_order order = pool.plan_unanswered();
    const std::string worker = order.worker;
    pool.report(worker, of_incarnation(1));
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report(worker, of_incarnation(1));
    for (const roster_entry& entry : pool.state.final_roster(pool.now))
    {
        REQUIRE(entry.runs);
        CHECK(entry.runs->size() == (entry.worker.id == worker ? 1 : 0));
    }
}

// Guards against a late start that is forgotten because the worker's lease
// ended before its time limit, as after a pause of this process.
TEST_CASE("a late start is known although its run was given up meanwhile")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.set_reachable(orders[0].worker, false);
    pool.state.lose_runs(orders[0].worker, run_loss::lapsed, pool.now, wall);
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    CHECK(pool.plan().empty());
}

// Guards against a late start of a cancelled task that a worker carries out
// after its restart.
TEST_CASE("a late start is known although its run was to be stopped meanwhile")
{
    pool_fixture pool({describe("w1")});
    pool.report("w1", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.cancel("j", wall);
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report("w1", of_incarnation(1));
    pool.report("w1", of_incarnation(2));
    CHECK(pool.state.take_stops().size() == 1);
}

// Guards against a long-running task that is away while its worker is silent.
TEST_CASE("a long-running task does not wait for a silent worker")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    auto part = make_step(1);
    part.is_long_running = true;
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    const std::string worker = orders[0].worker;
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.report(worker, of_incarnation(1));
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report(worker, of_incarnation(1));
    pool.state.set_reachable(worker, false);
    pool.now += 2s;
    const auto next = pool.plan();
    REQUIRE(next.size() == 1);
    CHECK(next[0].worker != worker);
}

// Guards against a late start that a restarted worker carries out since the
// answer to its one stop order was lost.
TEST_CASE("the stop of a late start is repeated until it is acknowledged")
{
    pool_fixture pool({describe("w1")});
    pool.report("w1", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.cancel("j", wall);
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report("w1", of_incarnation(1));
    CHECK(pool.state.take_stops().empty());
    pool.report("w1", of_incarnation(2));
    const auto stops = pool.state.take_stops();
    REQUIRE(stops.size() == 1);
    pool.state.apply_stop_answer(stops[0], false, pool.now);
    pool.report("w1", of_incarnation(2));
    CHECK(pool.state.take_stops().empty());
    pool.now += 500ms;
    pool.report("w1", of_incarnation(2));
    const auto again = pool.state.take_stops();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run == orders[0].run);
    pool.state.apply_stop_answer(again[0], true, pool.now);
    pool.now += 500ms;
    pool.report("w1", of_incarnation(2));
    CHECK(pool.state.take_stops().empty());
    // The next incarnation knows of no stop.
    pool.report("w1", of_incarnation(3));
    CHECK(pool.state.take_stops().size() == 1);
    pool.now += 14s;
    pool.report("w1", of_incarnation(4));
    CHECK(pool.state.take_stops().empty());
}

// Guards against an end that a restarted worker forgets unread: its restart was
// noticed while the poll that acknowledges ends of the earlier incarnation
// still waited for its answer.
TEST_CASE("nothing starts after a restart beside a poll that is under way")
{
    pool_fixture pool({describe("w1")});
    pool.report("w1", of_incarnation(1));
    pool.submit("j", make_job({make_step(1)}));
    pool.state.begin_acknowledgement("w1", pool.now);
    pool.report("w1", of_incarnation(2));
    CHECK(pool.state.may_forget_ends("w1", pool.now));
    CHECK(pool.plan().empty());
    pool.state.end_acknowledgement("w1", true);
    pool.now += 11s;
    CHECK(pool.plan().empty());
    pool.now += 1s;
    CHECK(pool.plan().size() == 1);
}

// Guards against a task that waits for a worker whose place another one has
// taken.
TEST_CASE("a task does not wait for a late start at a replaced worker")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const start_order order = pool.plan_unanswered();
    const std::string worker = order.worker;
    pool.let_lapse(worker);
    CHECK(pool.plan().empty());
    pool.state.lose_runs(worker, run_loss::ended, pool.now, wall);
    CHECK(pool.plan().size() == 1);
}

// Guards against a lasting task that is away too long (LOST): a suspect of a
// crash may not start where an earlier order may still arrive.
TEST_CASE("a lasting suspect does not wait for its late start")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.report("w1", of_incarnation(1));
    pool.report("w2", of_incarnation(1));
    step_spec lasting = make_step(1);
    lasting.is_long_running = true;
    pool.submit("j", make_job({lasting}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.apply_start_answer(orders[0], start_answer::cut_off, pool.now);
    pool.report(orders[0].worker, of_incarnation(2));
    pool.report(orders[0].worker, of_incarnation(2));
    for (const stop_order& stop : pool.state.take_stops())
        pool.state.apply_stop_answer(stop, true, pool.now);
    pool.report(orders[0].worker, of_incarnation(2));
    pool.now += 2s;
    CHECK(pool.plan().size() == 1);
}
