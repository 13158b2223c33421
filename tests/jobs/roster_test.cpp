// What a new owner of a pool takes over: the load is a burst during which the
// role changes hands while some workers are silent.

#include "base/error.hpp"
#include "jobs/successor.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

// A pool with a task of job "a" on each of two workers; the second one falls
// silent, and job "b" waits.
struct disturbed_pool
{
    pool_fixture pool{{describe("w1"), describe("w2")}};
    std::vector<start_order> started;

    disturbed_pool()
    {
        pool.submit("a", make_job({make_step(2, 8000)}));
        started = pool.plan_and_start();
        REQUIRE(started.size() == 2);
        pool.report("w1", running({order_on("w1")}, 10));
        pool.report("w2", running({order_on("w2")}, 10));
        pool.state.set_lease_end("w1", pool.now + 6s);
        pool.state.set_lease_end("w2", pool.now + 6s);
        pool.state.set_reachable("w2", false);
        pool.submit("b", make_job({make_step(1, 8000)}));
    }
    start_order order_on(const std::string& worker) const
    {
        return *std::find_if(started.begin(), started.end(),
                             [&](const start_order& order)
                             { return order.worker == worker; });
    }
};

} // namespace

// Guards against all inherited jobs waiting for one silent worker (kavango-cues
// trouble-2: the pool stood still for 10 s after each takeover).
TEST_CASE("jobs without a run on a silent worker go on after a hand-over")
{
    disturbed_pool before;
    before.pool.report("w1", ended(before.order_on("w1"), end_kind::done));
    successor next(before.pool.state,
                   before.pool.state.final_roster(before.pool.now),
                   before.pool.now);
    next.report("w1");
    const auto orders = next.plan();
    CHECK(starts(orders, "b"));
    // The run on the silent worker may still work.
    CHECK_FALSE(starts(orders, "a"));
}

// The same after the owner was killed: it had recorded the silent worker.
TEST_CASE("a silent worker is recorded with its runs before a kill")
{
    disturbed_pool before;
    CHECK(before.pool.state.is_roster_outdated(before.pool.now));
    const auto roster = before.pool.state.roster(before.pool.now);
    before.pool.state.note_recorded(roster);
    CHECK_FALSE(before.pool.state.is_roster_outdated(before.pool.now));
    before.pool.report("w1", ended(before.order_on("w1"), end_kind::done));
    successor next(before.pool.state, roster, before.pool.now);
    next.report("w1");
    const auto orders = next.plan();
    CHECK(starts(orders, "b"));
    CHECK_FALSE(starts(orders, "a"));
}

// Guards against a second run while the first one works: the roster was older
// than the run, since the store had been away (kavango-cues trouble-3: 5 tasks
// stopped, 2 run twice).
TEST_CASE("a listed run replaces an older one from the roster")
{
    disturbed_pool before;
    pool_fixture& pool = before.pool;
    const auto old_roster = pool.state.roster(pool.now);
    pool.state.note_recorded(old_roster);
    pool.report("w1", ended(before.order_on("w1"), end_kind::done));
    pool.state.lose_runs("w2", run_loss::lapsed, pool.now, wall);
    const auto orders = pool.plan_and_start();
    REQUIRE(starts(orders, "a"));
    REQUIRE(orders[0].run == 2);
    successor next(pool.state, old_roster, pool.now);
    next.report("w1", running({orders[0]}, 10));
    CHECK(next.state.take_stops().empty());
    next.state.lose_runs("w2", run_loss::ended, next.now + 50ms, wall);
    CHECK_FALSE(starts(next.plan(60ms), "a"));
}

// Guards against a wait for runs that the earlier owner knew to be lost.
TEST_CASE("the roster is written again when a silent worker's runs are lost")
{
    disturbed_pool before;
    pool_state& state = before.pool.state;
    state.note_recorded(state.roster(before.pool.now));
    CHECK_FALSE(state.is_roster_outdated(before.pool.now));
    state.lose_runs("w2", run_loss::lapsed, before.pool.now, wall);
    CHECK(state.is_roster_outdated(before.pool.now));
    state.note_recorded(state.roster(before.pool.now));
    CHECK_FALSE(state.is_roster_outdated(before.pool.now));
}

// Guards against a wait that begins anew with each owner (kavango-cues scale-1,
// LOST: a run lost at 11 s started again at 32.7 s, after two takeovers).
TEST_CASE("the lease of a silent worker ends at the same time for each owner")
{
    disturbed_pool before;
    const base::time_point lease_end = before.pool.now + 6s;
    const auto first = before.pool.state.final_roster(before.pool.now);
    successor second(before.pool.state, first, before.pool.now + 3s);
    const auto silent = std::find_if(first.begin(), first.end(),
                                     [](const roster_entry& entry)
                                     { return entry.worker.id == "w2"; });
    REQUIRE(silent != first.end());
    CHECK(*silent->lease_left <= 6s);
    const auto handed_on = second.state.final_roster(second.now + 2s);
    successor third(second.state, handed_on, second.now + 2s);
    third.report("w1");
    const auto orders = third.plan();
    CHECK_FALSE(starts(orders, "a"));
    REQUIRE(starts(orders, "b"));
    third.report("w1", ended(orders[0], end_kind::done));
    // The store and the claim take time, never the other way round.
    CHECK(third.state.workers().at("w2").lease_ends_by <= lease_end + 3s);
    third.state.lose_runs("w2", run_loss::lapsed, lease_end + 3s, wall);
    CHECK(starts(third.plan(9s), "a"));
}

// Guards against a task that runs twice because its start order was in flight
// when the earlier owner ended.
TEST_CASE("a run whose order may be in flight is stopped before another one")
{
    pool_fixture before({describe("w1")});
    before.submit("a", make_job({make_step(1)}));
    const auto orders = before.plan();
    REQUIRE(orders.size() == 1);
    before.state.apply_start_answer(orders[0], start_answer::unknown,
                                    before.now);
    successor next(before.state, before.state.final_roster(before.now),
                   before.now);
    next.report("w1");
    CHECK(next.plan().empty());
    const auto stops = next.state.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == orders[0].run);
    next.state.apply_stop_answer(stops[0], true, next.now + 20ms);
    next.now += 100ms;
    next.report("w1");
    CHECK(starts(next.plan(), "a"));
}

// Guards against a run that the next owner does not expect: the roster says
// which runs a silent worker has, and its owner starts another one there.
TEST_CASE("a worker that was silent gets no runs until it is recorded again")
{
    disturbed_pool before;
    pool_fixture& pool = before.pool;
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w2", ended(before.order_on("w2"), end_kind::done));
    CHECK(pool.plan().empty());
    CHECK(pool.state.is_roster_outdated(pool.now));
    const auto roster = pool.state.roster(pool.now);
    // The write failed, and may have taken effect.
    CHECK(pool.plan().empty());
    pool.state.note_recorded(roster);
    CHECK(starts(pool.plan(), "b"));
}

// The same while the write that says so is under way.
TEST_CASE("a worker that answers during the write gets no runs before the next")
{
    disturbed_pool before;
    pool_fixture& pool = before.pool;
    pool.report("w1", running({before.order_on("w1")}, 20));
    const auto roster = pool.state.roster(pool.now);
    pool.report("w2", ended(before.order_on("w2"), end_kind::done));
    CHECK(pool.plan().empty());
    pool.state.note_recorded(roster);
    CHECK(pool.plan().empty());
    pool.state.note_recorded(pool.state.roster(pool.now));
    CHECK(starts(pool.plan(), "b"));
}

// Guards against refusals at each takeover: the new owner has no report yet.
TEST_CASE("a new owner accepts jobs before its workers have reported")
{
    pool_fixture before({describe("w1")});
    successor next(before.state, before.state.final_roster(before.now),
                   before.now);
    const auto answer = next.state.submit("c", make_job({make_step(1)}),
                                          "queue", next.now, wall);
    CHECK(answer.outcome == submit_result::kind::accepted);
}

// Guards against work for a pool whose workers are all silent.
TEST_CASE("a pool refuses jobs while none of its workers answers")
{
    pool_fixture pool({describe("w1")});
    pool.state.set_reachable("w1", false);
    const auto answer = pool.state.submit("c", make_job({make_step(1)}),
                                          "queue", pool.now, wall);
    CHECK(answer.outcome == submit_result::kind::refused);
}

TEST_CASE("a roster is read as it was written, also without the newer fields")
{
    roster_entry entry{describe("w1")};
    entry.is_silent = true;
    entry.runs = {{{"00000000000000aa", 0, 1, 2}, 3, true}};
    entry.lease_left = 1500ms;
    entry.hold_left = 700ms;
    const std::vector<roster_entry> roster{entry, {describe("w2")}};
    auto read = decode_roster(encode_roster(roster));
    REQUIRE(read.size() == 2);
    // The pool is part of the key.
    read[0].worker.pool = read[1].worker.pool = "pool";
    CHECK(read == roster);
    CHECK_THROWS_AS(decode_roster(R"([{"id":"w1"}])"), base::error);
    CHECK_THROWS_AS(decode_roster("{"), base::error);
}

// Guards against a second run after a run has ended: its worker fell silent
// before the end was stored, and was recorded as one without runs.
TEST_CASE("a silent worker is recorded with its runs only if ends are stored")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("a", make_job({make_step(1)}));
    const std::string record = encode_record(*pool.state.find_job("a"));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.now += 100ms;
    pool.state.apply_report(orders[0].worker, ended(orders[0], end_kind::done),
                            pool.now, pool.now, wall);
    pool.state.set_reachable(orders[0].worker, false);
    for (const roster_entry& entry : pool.state.roster(pool.now))
        CHECK_FALSE(entry.runs);
}

// The same while the record is on its way to the store, and after its write
// got no answer.
TEST_CASE("a silent worker is recorded with its runs only if writes have ended")
{
    pool_fixture pool({describe("w1")});
    pool.submit("a", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.now += 100ms;
    pool.state.apply_report("w1", ended(orders[0], end_kind::done), pool.now,
                            pool.now, wall);
    const auto writes = pool.state.take_changes(1);
    REQUIRE(writes.size() == 1);
    pool.state.set_reachable("w1", false);
    CHECK_FALSE(pool.state.roster(pool.now).at(0).runs);
    pool.state.note_not_stored("a", true);
    CHECK_FALSE(pool.state.roster(pool.now).at(0).runs);
    pool.state.take_changes(1);
    pool.state.note_stored("a", 2);
    CHECK(pool.state.roster(pool.now).at(0).runs);
    CHECK(pool.state.is_roster_outdated(pool.now));
}

// Guards against a second run after a run has ended: the worker's entry lapsed
// before the end was stored, so the next owner did not ask the worker.
TEST_CASE("an unlisted worker stays in the roster until its ends are stored")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("a", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    const std::string worker = orders[0].worker;
    pool.now += 100ms;
    pool.state.apply_report(worker, ended(orders[0], end_kind::done), pool.now,
                            pool.now, wall);
    pool.state.unlist_worker(worker, pool.now);
    CHECK_FALSE(pool.state.can_forget(worker, pool.now));
    CHECK(pool.state.roster(pool.now).size() == 2);
    CHECK(pool.state.final_roster(pool.now).size() == 2);
    pool.store();
    CHECK(pool.state.can_forget(worker, pool.now));
    CHECK(pool.state.roster(pool.now).size() == 1);
}

// The worker's end is certain: nobody can tell how its runs have ended.
TEST_CASE("a worker that has ended is forgotten although ends are not stored")
{
    pool_fixture pool({describe("w1")});
    pool.submit("a", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.now += 100ms;
    pool.state.apply_report("w1", ended(orders[0], end_kind::done), pool.now,
                            pool.now, wall);
    pool.state.unlist_worker("w1", pool.now);
    pool.state.lose_runs("w1", run_loss::ended, pool.now, wall);
    CHECK(pool.state.can_forget("w1", pool.now));
}

// Guards against two runs at once: the worker's entry lapsed and came back
// while a roster without the worker was being written, and the next owner read
// that roster.
TEST_CASE("a worker that the roster leaves out gets no runs until it is in it")
{
    pool_fixture pool({describe("w1")});
    pool.state.unlist_worker("w1", pool.now);
    const auto roster = pool.state.roster(pool.now);
    CHECK(roster.empty());
    pool.state.update_worker(describe("w1"));
    pool.submit("a", make_job({make_step(1)}));
    CHECK(pool.plan().empty());
    pool.state.note_recorded(roster);
    CHECK(pool.plan().empty());
    pool.state.note_recorded(pool.state.roster(pool.now));
    CHECK(starts(pool.plan(), "a"));
}

// Guards against more failed runs than attempts: an earlier owner waited for
// the outcome of a run whose worker's lease had ended.
TEST_CASE("the next owner counts lapsed runs whose outcome is unknown")
{
    pool_fixture before({describe("w1"), describe("w2")}, 1);
    before.submit("a", make_job({make_step(1)}));
    const auto orders = before.plan_and_start();
    REQUIRE(orders.size() == 1);
    const std::string worker = orders[0].worker;
    before.report(worker, running(orders, 10));
    before.state.set_reachable(worker, false);
    before.state.lose_runs(worker, run_loss::lapsed, before.now, wall);
    CHECK(before.plan().empty());
    successor next(before.state, before.state.final_roster(before.now),
                   before.now);
    next.state.set_policy({"queue", "pool", 0, 1, 1.6, 600ms});
    next.report(worker == "w1" ? "w2" : "w1");
    CHECK(next.plan().empty());
}

// Guards against more failed runs than attempts: two owners gave different runs
// one number, and their failures counted as one.
TEST_CASE("runs of one number on two workers fail separately")
{
    pool_fixture before({describe("w1"), describe("w2"), describe("w3")});
    before.submit("a", make_job({make_step(1)}));
    const job* subject = before.state.find_job("a");
    const job stored = decode_record("a", encode_record(*subject));
    auto orders = before.plan();
    REQUIRE(orders.size() == 1);
    before.state.apply_start_answer(orders[0], start_answer::no_room,
                                    before.now);
    const auto second = before.plan_and_start();
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].run == 2);
    // The owner is killed, and the lease of the worker ends.
    pool_fixture next({describe("w1"), describe("w2"), describe("w3")});
    next.state.restore(stored, next.now, wall);
    next.state.set_reachable(second[0].worker, false);
    const auto third = next.plan_and_start();
    REQUIRE(third.size() == 1);
    REQUIRE(third[0].worker != second[0].worker);
    next.report(third[0].worker, ended(third[0], end_kind::failed));
    next.report(second[0].worker, ended(second[0], end_kind::failed));
    next.now += 1s;
    CHECK(next.plan().empty());
}

namespace
{

// A pool with two workers, and a task whose start on `worker` got no answer and
// has been stopped there since.
struct pool_with_late_start
{
    pool_fixture pool{{describe("w1"), describe("w2")}};
    start_order order;
    std::string worker;
    base::time_point asked_at;

    pool_with_late_start()
    {
        pool.submit("a", make_job({make_step(1)}));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        order = orders[0];
        worker = order.worker;
        asked_at = pool.now;
        pool.state.apply_start_answer(order, start_answer::unknown, pool.now);
        pool.report(worker, of_incarnation(1));
        pool.state.apply_stop_answer(pool.state.take_stops().at(0), true,
                                     pool.now);
        pool.report(worker, of_incarnation(1));
    }
    const roster_entry* find(std::span<const roster_entry> roster) const
    {
        const auto found = std::find_if(roster.begin(), roster.end(),
                                        [&](const roster_entry& entry)
                                        { return entry.worker.id == worker; });
        return found == roster.end() ? nullptr : &*found;
    }
    bool is_named(std::span<const roster_entry> roster) const
    {
        const roster_entry* entry = find(roster);
        return entry != nullptr && entry->late_starts.size() == 1 &&
               entry->late_starts[0].task == order.task &&
               entry->late_starts[0].run == order.run &&
               entry->late_starts[0].time_left > 12s;
    }
};

} // namespace

// Guards against a late start that is forgotten with its worker, whose entry
// has lapsed.
TEST_CASE("an unlisted worker stays until its late starts can no longer arrive")
{
    pool_with_late_start before;
    pool_fixture& pool = before.pool;
    pool.state.unlist_worker(before.worker, pool.now);
    CHECK_FALSE(pool.state.can_forget(before.worker, pool.now));
    CHECK(before.is_named(pool.state.roster(pool.now)));
    CHECK(before.is_named(pool.state.final_roster(pool.now)));
    pool.now = before.asked_at + 14s;
    CHECK(pool.state.can_forget(before.worker, pool.now));
    CHECK(pool.state.roster(pool.now).size() == 1);
    CHECK(pool.state.final_roster(pool.now).size() == 1);
}

// Guards against a late start that the next owner does not know of, since its
// worker was recorded without runs.
TEST_CASE("every roster names the late starts")
{
    pool_with_late_start before;
    pool_fixture& pool = before.pool;
    const auto roster = pool.state.roster(pool.now);
    REQUIRE(before.find(roster) != nullptr);
    CHECK_FALSE(before.find(roster)->runs);
    CHECK(before.is_named(roster));
    // A job that is not stored keeps the runs out of the final roster.
    pool.state.submit("b", make_job({make_step(1)}), "queue", pool.now, wall);
    const auto last = pool.state.final_roster(pool.now);
    CHECK_FALSE(before.find(last)->runs);
    CHECK(before.is_named(last));
    // Also after the task has ended elsewhere.
    pool.state.cancel("a", wall);
    CHECK(before.is_named(pool.state.final_roster(pool.now)));
}

// Guards against a late start that the next owner forgets, or waits for anew.
TEST_CASE("the next owner binds a task for the time that its late start has")
{
    pool_with_late_start before;
    pool_fixture& pool = before.pool;
    bool is_final = false;
    SUBCASE("killed") {}
    SUBCASE("in order")
    {
        is_final = true;
    }
    const auto roster = is_final ? pool.state.final_roster(pool.now)
                                 : pool.state.roster(pool.now);
    successor next(pool.state, roster, before.asked_at + 6s);
    const std::string other = before.worker == "w1" ? "w2" : "w1";
    next.state.set_reachable(before.worker, false);
    next.state.lose_runs(before.worker, run_loss::lapsed, next.now, wall);
    next.report(other);
    CHECK_FALSE(starts(next.plan(), "a"));
    // It may have been stored for any time, so the time left is not shortened.
    CHECK_FALSE(starts(next.plan(12s), "a"));
    CHECK(starts(next.plan(14s), "a"));
}

// Guards against a late start that reaches the worker under the next owner.
TEST_CASE("the next owner stops the late starts of tasks that have ended")
{
    pool_with_late_start before;
    pool_fixture& pool = before.pool;
    pool.state.cancel("a", wall);
    pool.store();
    successor next(pool.state, pool.state.roster(pool.now), pool.now);
    next.report(before.worker, of_incarnation(1));
    const auto stops = next.state.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == before.order.run);
}

// Guards against a roster without a late start, and against a write of the
// roster for each late start.
TEST_CASE("new late starts are recorded, at most twice a second")
{
    pool_fixture pool({describe("w1")});
    pool.submit("a", make_job({make_step(2)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 2);
    pool.now += 1s;
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    CHECK(pool.state.is_roster_outdated(pool.now));
    const auto roster = pool.state.roster(pool.now);
    CHECK_FALSE(pool.state.is_roster_outdated(pool.now));
    pool.state.note_recorded(roster);
    pool.state.apply_start_answer(orders[1], start_answer::unknown, pool.now);
    CHECK_FALSE(pool.state.is_roster_outdated(pool.now + 400ms));
    CHECK(pool.state.is_roster_outdated(pool.now + 500ms));
    pool.state.note_recorded(pool.state.roster(pool.now + 500ms));
    CHECK_FALSE(pool.state.is_roster_outdated(pool.now + 2s));
}

// Guards against a process that cannot read the roster of another version, and
// against time left that is rounded down.
TEST_CASE("late starts in a roster are read as they were written")
{
    roster_entry entry{describe("w1")};
    entry.late_starts = {{{"00000000000000aa", 0, 1, 2}, 3, 1500ms + 1ns}};
    const auto text = encode_roster(std::vector{entry});
    const auto read = decode_roster(text);
    REQUIRE(read.size() == 1);
    REQUIRE(read[0].late_starts.size() == 1);
    CHECK(read[0].late_starts[0].task == entry.late_starts[0].task);
    CHECK(read[0].late_starts[0].run == 3);
    CHECK(read[0].late_starts[0].time_left == 1501ms);
    entry.late_starts.clear();
    CHECK(decode_roster(encode_roster(std::vector{entry}))
              .at(0)
              .late_starts.empty());
}

// Guards against a next owner that knows nothing of a start whose answer its
// predecessor did not wait for: records were not stored, so the roster says no
// runs.
TEST_CASE("the final roster names starts that are under way")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.submit("k", make_job({make_step(1)}), "queue", pool.now, wall);
    std::vector<roster_late_start> starts;
    for (const roster_entry& entry : pool.state.final_roster(pool.now))
    {
        CHECK_FALSE(entry.runs);
        starts.insert(starts.end(), entry.late_starts.begin(),
                      entry.late_starts.end());
    }
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == orders[0].task);
    CHECK(starts[0].time_left >= 12s);
}

// Guards against a roster that is written again and again while a task waits
// for a silent worker.
TEST_CASE("a late start at a silent worker is recorded once")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const start_order order = pool.plan_unanswered();
    const std::string worker = order.worker;
    pool.let_lapse(worker);
    REQUIRE(pool.state.is_roster_outdated(pool.now));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.now += 1s;
    CHECK_FALSE(pool.state.is_roster_outdated(pool.now));
}
