// What a new owner may conclude about a worker that it has not heard.

#include "jobs/successor.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

// An owner starts a task on "w1" and is killed; the next one has heard "w2"
// only.
struct unheard_pool
{
    pool_fixture before{{describe("w1"), describe("w2")}};
    start_order order;
    std::optional<successor> next;

    unheard_pool()
    {
        before.submit("a", make_job({make_step(1)}));
        order = before.plan_and_start().at(0);
        next.emplace(before.state, before.state.roster(before.now), before.now);
        next->report(idle_worker());
    }
    [[nodiscard]] std::string idle_worker() const
    {
        return order.worker == "w1" ? "w2" : "w1";
    }
    void lose(run_loss loss)
    {
        next->state.lose_runs(order.worker, loss, next->now, wall);
        next->state.unlist_worker(order.worker, next->now);
    }
};

} // namespace

// Guards against two runs at once: a live worker was named as ended, by an
// order to its machine that had been carried out before, to an owner that had
// not heard it.
TEST_CASE("a worker that has not been heard keeps its tasks when it is said to "
          "have ended")
{
    unheard_pool pool;
    pool.lose(run_loss::ended);
    CHECK(pool.next->plan().empty());
    pool.next->report(pool.order.worker, running({pool.order}, 10));
    CHECK(pool.next->plan().empty());
    CHECK(pool.next->state.workers()
              .at(pool.order.worker)
              .runs.contains(pool.order.task));
}

// Guards against the same at the owner after that one, which knows no worker
// that the roster lacks.
TEST_CASE(
    "a worker that has not been heard stays in the roster when it is said "
    "to have ended")
{
    unheard_pool pool;
    pool.lose(run_loss::ended);
    pool_state& state = pool.next->state;
    CHECK_FALSE(state.can_forget(pool.order.worker, pool.next->now));
    for (const auto& roster :
         {state.roster(pool.next->now), state.final_roster(pool.next->now)})
    {
        successor third(pool.before.state, roster, pool.next->now + 1s);
        third.report(pool.idle_worker());
        CHECK(third.plan().empty());
    }
}

// Guards against a second run by a late start, and against an attempt too many:
// what the roster says of a worker was dropped although nobody had heard it.
TEST_CASE(
    "what the roster says of a worker holds when it is said to have ended")
{
    pool_fixture before({describe("w1"), describe("w2")});
    const start_order order = before.plan_unanswered();
    roster_entry entry{describe(order.worker), false};
    entry.late_starts = {{order.task, order.run, 13s}};
    entry.unresolved = {order.task};
    pool_fixture next({describe("w3")});
    next.submit("j", make_job({make_step(1)}));
    next.state.inherit_worker(entry, next.now + unknown_lease, next.now);
    CHECK_FALSE(next.state.end_worker(order.worker, next.now, wall));
    const worker_view& worker = next.state.workers().at(order.worker);
    CHECK(worker.awaits_late_starts(next.now));
    CHECK(worker.unresolved.size() == 1);
}

TEST_CASE("an idle worker that was heard counts as ended with its machine")
{
    unheard_pool pool;
    CHECK_FALSE(
        pool.next->state.end_worker(pool.order.worker, pool.next->now, wall));
    pool.next->report(pool.order.worker, running({pool.order}, 10));
    CHECK_FALSE(
        pool.next->state.end_worker(pool.order.worker, pool.next->now, wall));
    CHECK(
        pool.next->state.end_worker(pool.idle_worker(), pool.next->now, wall));
    CHECK(pool.next->state.can_forget(pool.idle_worker(), pool.next->now));
}

// Guards against a job that waits for ever for a worker that is gone.
TEST_CASE("tasks of a worker that was never heard start once no earlier order "
          "can have an effect")
{
    unheard_pool pool;
    pool.lose(run_loss::ended);
    CHECK(pool.next->plan(unknown_lease - 1ms).empty());
    CHECK(starts(pool.next->plan(unknown_lease), "a"));
    CHECK(pool.next->state.can_forget(pool.order.worker,
                                      pool.next->now + unknown_lease));
}

// Guards against a wait for a worker that its owner has heard: nobody else can
// start anything there.
TEST_CASE("tasks of a worker that has ended after it was heard start at once")
{
    unheard_pool pool;
    pool.next->report(pool.order.worker, running({pool.order}, 10));
    // It has survived the start.
    pool.next->now += 1s;
    pool.next->report(pool.order.worker, running({pool.order}, 20));
    pool.lose(run_loss::ended);
    CHECK(starts(pool.next->plan(), "a"));
}

// Guards against a second run of a task whose end has not been read yet: the
// owner's own polls extend the worker's lease beyond the earlier owner's time.
TEST_CASE("a worker whose list was cut short keeps its tasks while its lease "
          "is extended")
{
    unheard_pool pool;
    pool_state& state = pool.next->state;
    // 500 other ends come first.
    worker_report part;
    part.is_truncated = true;
    state.apply_report(pool.order.worker, part, pool.next->now + 10ms,
                       pool.next->now + 10ms, wall);
    state.set_lease_end(pool.order.worker, pool.next->now + unknown_lease + 5s);
    CHECK(pool.next->plan(unknown_lease - 1ms).empty());
    CHECK(pool.next->plan(unknown_lease + 1ms).empty());
}

// Guards against a second run beside the next owner, which may have heard the
// worker and extends its lease; this owner has dropped it.
TEST_CASE("a contested owner starts nothing again since it has forgotten a "
          "worker that it never heard")
{
    unheard_pool pool;
    pool_state& state = pool.next->state;
    state.unlist_worker(pool.order.worker, pool.next->now);
    const base::time_point later = pool.next->now + unknown_lease;
    CHECK(state.plan(later, wall, ownership::contested).empty());
    // What `remove_idle_links` does right after the plan.
    REQUIRE(state.can_forget(pool.order.worker, later));
    state.forget_worker(pool.order.worker);
    CHECK(state.plan(later + 250ms, wall, ownership::contested).empty());
}

// Guards against all inherited jobs waiting for workers that have ended
// (kowhai-retakes-grown trouble-2: 166 jobs for 10 s): their machines were
// moved just before the owner lost power.
TEST_CASE("jobs do not wait for released workers after a kill")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("a", make_job({make_step(1, 8000)}));
    REQUIRE(pool.state.prepare_leave("w2", pool.now + 2500ms, pool.now));
    CHECK(pool.state.is_roster_outdated(pool.now));
    const auto roster = pool.state.roster(pool.now);
    pool.state.note_recorded(roster);
    CHECK_FALSE(pool.state.is_roster_outdated(pool.now));
    successor next(pool.state, roster, pool.now);
    next.report("w1");
    CHECK(starts(next.plan(), "a"));
}

// Guards against a second run: a worker that was not taken away after all gets
// a run that the recorded roster does not tell the next owner to ask for.
TEST_CASE("a released worker gets runs again only once it is recorded so")
{
    pool_fixture pool({describe("w1")});
    REQUIRE(pool.state.prepare_leave("w1", pool.now + 2500ms, pool.now));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.submit("a", make_job({make_step(1, 8000)}));
    pool.now += 2500ms;
    CHECK(pool.state.plan(pool.now, wall).empty());
    CHECK(pool.state.is_roster_outdated(pool.now));
    const auto roster = pool.state.roster(pool.now);
    CHECK(pool.state.plan(pool.now, wall).empty());
    pool.state.note_recorded(roster);
    CHECK(starts(pool.state.plan(pool.now, wall), "a"));
    successor next(pool.state, roster, pool.now);
    CHECK_FALSE(starts(next.plan(), "a"));
}

// Guards against a run that the next owner does not know of: the worker lists
// one that it is not known to have.
TEST_CASE("a released worker with an unknown run is to be asked")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("a", make_job({make_step(1, 8000)}));
    worker_report unknown;
    unknown.running.push_back({*parse_task_id("b.0.0.0"), 1, {}, 50});
    pool.report("w2", unknown);
    pool.state.prepare_leave("w2", pool.now + 2500ms, pool.now);
    successor next(pool.state, pool.state.roster(pool.now), pool.now);
    next.report("w1");
    CHECK_FALSE(starts(next.plan(), "a"));
}
