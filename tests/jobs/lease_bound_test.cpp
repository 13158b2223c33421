// How long a lease may last although its owner extends it no longer.

#include "jobs/lease_bound.hpp"
#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

constexpr base::time_point start{100s};

} // namespace

// Guards against runs that are given up too early: extensions without an answer
// that arrive one after the other add up, each only once and within its bound.
TEST_CASE("late extensions prolong a lease one after the other")
{
    lease_bound bound;
    bound.note_sent(start, 3s, extension_kind::poll);
    bound.note_sent(start + 1s, 3s, extension_kind::poll);
    CHECK(bound.ends_by(start + 4s, true) == start + 10s);
    // The first arrives by 12 s and the second by 13 s.
    CHECK(bound.ends_by(start + 12s, true) == start + 16s);
    CHECK(bound.ends_by(start + 20s, true) == start + 20s);
}

// Guards against an order of arrival that is not the worst: the shorter one can
// only count before the longer one.
TEST_CASE("late extensions of two lengths are counted at their latest")
{
    lease_bound bound;
    bound.note_sent(start, 3s, extension_kind::poll);
    bound.note_sent(start, 1s, extension_kind::poll);
    CHECK(bound.ends_by(start + 12s, true) == start + 15s);
    CHECK(bound.ends_by(start + 11s, true) == start + 15s);
    CHECK(bound.ends_by(start + 10s, true) == start + 14s);
}

// Guards against tasks that wait although no call was left unanswered: what was
// sent last is most often lost with the worker.
TEST_CASE("only starts that were left unanswered count")
{
    lease_bound bound;
    const auto answered = bound.note_sent(start, 3s, extension_kind::start);
    bound.note_answered(answered);
    const auto left = bound.note_sent(start + 1s, 3s, extension_kind::start);
    CHECK(bound.ends_by(start + 4s, false) == start + 4s);
    CHECK(bound.ends_by(start + 4s, true) == start + 7s);
    // It is under way, and a later call may be answered first.
    CHECK_FALSE(bound.note_reachable(start + 2s));
    CHECK(bound.ends_by(start + 4s, false) == start + 4s);
    bound.note_failed(left);
    CHECK_FALSE(bound.note_reachable(start + 1s));
    CHECK(bound.note_reachable(start + 2s));
    CHECK_FALSE(bound.note_reachable(start + 3s));
    CHECK(bound.ends_by(start + 4s, false) == start + 7s);
    bound.forget_before(start + 17s);
    CHECK(bound.ends_by(start + 4s, true) == start + 4s);
}

// Guards against a run that is given up while the first late poll of a pool
// extends its lease (TWICE).
TEST_CASE("a poll without an answer counts although no later one has one")
{
    lease_bound bound;
    const auto number = bound.note_sent(start, 3s, extension_kind::poll);
    bound.note_failed(number);
    CHECK(bound.ends_by(start + 4s, false) == start + 7s);
    bound.note_answered(number);
    CHECK(bound.ends_by(start + 4s, false) == start + 4s);
}

// Guards against a long-running task that is away too long (LOST), against a
// second run of the other task on the worker (TWICE), and against a roster that
// still names the run that was given up.
TEST_CASE("long-running tasks do not wait for late extensions")
{
    pool_fixture pool({describe("w1", 2000)});
    step_spec lasting = make_step(1);
    lasting.is_long_running = true;
    pool.submit("lasting", make_job({lasting}));
    pool.submit("ends", make_job({make_step(1)}));
    const auto started = pool.plan_and_start();
    REQUIRE(started.size() == 2);
    // It has survived the starts.
    pool.report("w1", running(started, 50));
    pool.report("w1", running(started, 50));
    pool.state.update_worker(describe("w2"));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w2", {});
    pool.state.set_reachable("w1", false);
    pool.now += 5s;
    pool.state.lose_long_running_runs("w1", pool.now, wall);
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].task.job == "lasting");
    CHECK(orders[0].worker == "w2");
    CHECK(pool.state.is_roster_outdated(pool.now));
    const auto roster = pool.state.roster(pool.now);
    REQUIRE(roster.size() == 2);
    REQUIRE(roster[0].runs);
    REQUIRE(roster[0].runs->size() == 1);
    CHECK(roster[0].runs->front().task.job == "ends");
    pool.state.lose_runs("w1", run_loss::lapsed, pool.now, wall);
    CHECK(pool.state.workers().at("w1").runs.empty());
}
