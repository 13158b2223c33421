// When the instance of a worker may be moved or maintained.

#include "jobs/successor.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

// Guards against work that is done and runs again: its worker was moved while
// the end was listed but not stored, and the owner ended before it was.
TEST_CASE("a worker with an end that is not stored is not released")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    const std::string worker = orders[0].worker;
    pool.state.apply_report(worker, ended(orders[0], end_kind::done), pool.now,
                            pool.now + 100ms, wall);
    const base::time_point until = pool.now + 5s;
    CHECK_FALSE(pool.state.prepare_leave(worker, until, pool.now));
    const auto changes = pool.state.take_changes(100);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(pool.state.prepare_leave(worker, until, pool.now));
    pool.state.note_stored(changes[0].job, 2);
    CHECK(pool.state.prepare_leave(worker, until, pool.now));
}

// Guards against the same where a new owner has not heard the worker yet, and
// its entry has lapsed in the store.
TEST_CASE("an inherited worker that has not reported is not released")
{
    pool_fixture pool({describe("w1")});
    roster_entry inherited;
    inherited.worker = describe("w2");
    pool.state.inherit_worker(inherited, pool.now + 5s, pool.now);
    const base::time_point until = pool.now + 5s;
    CHECK_FALSE(pool.state.prepare_leave("w2", until, pool.now));
    pool.report("w2", {});
    CHECK(pool.state.prepare_leave("w2", until, pool.now));
}

namespace
{

/// Long-running tasks of which two run on each of the first workers; the step
/// may use each worker for two.
struct lasting_fixture : pool_fixture
{
    std::vector<start_order> orders;

    explicit lasting_fixture(int tasks)
        : pool_fixture({describe("w1"), describe("w2"), describe("w3")})
    {
        auto lasting = make_step(tasks);
        lasting.is_long_running = true;
        lasting.max_per_worker = 2;
        lasting.max_unavailable = tasks;
        submit("j", make_job({lasting}));
        orders = plan_and_start();
        for (const auto& [id, worker] : state.workers())
        {
            std::vector<start_order> there;
            for (const start_order& order : orders)
                if (order.worker == id)
                    there.push_back(order);
            report(id, running(there, 100));
        }
    }
};

// Whether the worker accepts no start just before `until`, and does from then
// on once the roster is recorded, which states until then that it has no runs.
bool starts_only_from(pool_state& state, const std::string& worker,
                      base::time_point until)
{
    const auto accepts_at = [&](base::time_point now)
    {
        state.note_recorded(state.roster(now));
        return state.workers().at(worker).accepts_starts(now);
    };
    return !accepts_at(until - 1ms) && state.is_roster_outdated(until) &&
           accepts_at(until);
}

} // namespace

// Guards against long-running tasks that are stopped and never start again
// (LOST): the workers of several left at once, and each was promised the same
// place on another one.
TEST_CASE("long-running tasks of two leaving workers do not share one place")
{
    lasting_fixture pool(4);
    REQUIRE(pool.orders.size() == 4);
    const std::string idle = "w3";
    REQUIRE(pool.state.workers().at(idle).runs.empty());
    const base::time_point until = pool.now + 10s;
    pool.state.prepare_leave("w1", until, pool.now);
    pool.state.prepare_leave("w2", until, pool.now);
    const auto stops = pool.state.take_stops();
    CHECK(stops.size() == 2);
    for (const stop_order& stop : stops)
        CHECK(stop.worker == "w1");
}

// Guards against the same where the other worker leaves after the stop.
TEST_CASE("a worker does not leave with the only place for a stopped task")
{
    lasting_fixture pool(2);
    REQUIRE(pool.orders.size() == 2);
    REQUIRE(pool.orders[0].worker == "w1");
    pool.state.update_worker(describe("w4", 500));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w4", {});
    const base::time_point until = pool.now + 10s;
    CHECK(pool.state.prepare_leave("w2", until, pool.now));
    pool.state.prepare_leave("w1", until, pool.now);
    CHECK(pool.state.take_stops().size() == 2);
    // The fourth worker is too small for the tasks.
    CHECK_FALSE(pool.state.prepare_leave("w3", until, pool.now));
    CHECK(pool.state.workers().at("w3").accepts_starts(pool.now));
}

// Guards against accepted jobs that never run (LOST): workers that could not
// leave, since no other one could take their long-running tasks, were kept free
// of other tasks as long as they were asked to leave.
TEST_CASE("a worker that cannot leave goes on taking tasks")
{
    lasting_fixture pool(6);
    REQUIRE(pool.orders.size() == 6);
    for (const std::string worker : {"w1", "w2"})
        CHECK_FALSE(pool.state.prepare_leave(worker, pool.now + 10s, pool.now));
    CHECK(pool.state.take_stops().empty());
    CHECK(pool.state.workers().at("w1").accepts_starts(pool.now));
    CHECK(pool.state.workers().at("w2").accepts_starts(pool.now));
}

// Guards against the same after the places for its tasks have gone.
TEST_CASE("a worker that can no longer leave takes tasks again")
{
    lasting_fixture pool(2);
    REQUIRE(pool.orders[0].worker == "w1");
    const base::time_point until = pool.now + 10s;
    pool.state.prepare_leave("w1", until, pool.now);
    CHECK(pool.state.take_stops().size() == 2);
    worker_report ends = ended(pool.orders[0], end_kind::stopped, 1);
    ends.ended.push_back({2, pool.orders[1].task, 1, end_kind::stopped, {}});
    pool.report("w1", ends);
    pool.state.unlist_worker("w2", pool.now);
    pool.state.unlist_worker("w3", pool.now);
    CHECK_FALSE(pool.state.prepare_leave("w1", until, pool.now));
    CHECK(pool.state.workers().at("w1").accepts_starts(pool.now));
}

namespace
{

/// Two tasks that last, of which one may be away, on two of three workers; the
/// owner begins to stop the first, and the next one hears all workers.
struct stop_before_takeover
{
    static constexpr base::duration stop_time = 900ms;

    pool_fixture before{{describe("w1"), describe("w2"), describe("w3")}};
    std::vector<start_order> orders;
    std::optional<successor> next;

    explicit stop_before_takeover(bool is_handed_over)
    {
        auto lasting = make_step(2);
        lasting.is_long_running = true;
        lasting.max_per_worker = 1;
        lasting.max_unavailable = 1;
        before.submit("a", make_job({lasting}));
        orders = before.plan_and_start();
        for (const start_order& order : orders)
            before.report(order.worker, running({order}, 100));
        before.state.prepare_leave(orders.at(0).worker, before.now + 10s,
                                   before.now);
        if (before.state.take_stops().size() != 1)
            throw std::logic_error("one stop is expected");
        const auto roster = is_handed_over
                                ? before.state.final_roster(before.now)
                                : before.state.roster(before.now);
        next.emplace(before.state, roster, before.now);
        next->state.set_stop_time(stop_time);
        // A run that the roster lacks is adopted with the first report.
        hear();
        hear();
    }
    /// The worker of the stopped task still lists it as at work.
    void hear()
    {
        for (const std::string worker : {"w1", "w2", "w3"})
        {
            std::vector<start_order> there;
            for (const start_order& order : orders)
                if (order.worker == worker)
                    there.push_back(order);
            next->report(worker, running(there, 100));
        }
    }
    /// Number of stops when the worker of the second task is to leave.
    std::size_t let_other_worker_leave()
    {
        next->state.prepare_leave(orders.at(1).worker, next->now + 10s,
                                  next->now);
        return next->state.take_stops().size();
    }
};

} // namespace

// Guards against too many tasks of a step that are away at once (AVAIL): a
// worker lists a run as at work while it carries out a stop order of an earlier
// owner, and the next one stopped another task of the step.
TEST_CASE("a task that an earlier owner may be stopping does not count as at "
          "work")
{
    for (const bool is_handed_over : {true, false})
    {
        stop_before_takeover pool(is_handed_over);
        CHECK(pool.let_other_worker_leave() == 0);
        pool.next->now += stop_before_takeover::stop_time;
        CHECK(pool.let_other_worker_leave() == 0);
        // The stop order has not arrived: the run is listed after the longest
        // time that a stop may take.
        pool.next->now += 200ms;
        pool.hear();
        CHECK(pool.let_other_worker_leave() == 1);
    }
}

// Guards against the same by an order of this owner: a stop that got no answer
// was carried out seconds later, when another task of the step was stopped.
TEST_CASE("a task whose stop got no answer does not count as at work")
{
    pool_fixture pool({describe("w1"), describe("w2"), describe("w3")});
    auto lasting = make_step(2);
    lasting.is_long_running = true;
    lasting.max_per_worker = 1;
    lasting.max_unavailable = 1;
    pool.submit("j", make_job({lasting}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 2);
    const auto list_all = [&]
    {
        for (const start_order& order : orders)
            pool.report(order.worker, running({order}, 100));
    };
    const auto let_leave = [&](const start_order& order)
    {
        pool.state.prepare_leave(order.worker, pool.now + 10s, pool.now);
        return pool.state.take_stops();
    };
    list_all();
    const auto stops = let_leave(orders[0]);
    REQUIRE(stops.size() == 1);
    pool.state.apply_stop_answer(stops[0], false, pool.now);
    list_all();
    CHECK(let_leave(orders[1]).empty());
    pool.now += 12s;
    list_all();
    CHECK(let_leave(orders[1]).size() == 1);
}

// Guards against tasks that are started on a worker and end with it: the order
// to its instance got no answer, and the worker was asked to leave again when
// it had the only place for a task.
TEST_CASE("a released worker takes no tasks until its hold is over")
{
    lasting_fixture pool(2);
    REQUIRE(pool.orders[0].worker == "w1");
    const base::time_point until = pool.now + 3s;
    REQUIRE(pool.state.prepare_leave("w2", until, pool.now));
    pool.state.unlist_worker("w1", pool.now);
    pool.state.unlist_worker("w3", pool.now);
    CHECK_FALSE(pool.state.prepare_leave("w2", until, pool.now));
    CHECK_FALSE(pool.state.workers().at("w2").accepts_starts(pool.now));
    CHECK(pool.state.workers().at("w2").accepts_starts(until));
}

// Guards against tasks that are started on a worker and end with it: its
// instance was released before the owner knew the worker.
TEST_CASE("a worker that is listed after its release takes no tasks until the "
          "hold is over")
{
    pool_fixture pool({describe("w1")});
    const base::time_point until = pool.now + 3s;
    REQUIRE(pool.state.prepare_leave("w2", until, pool.now));
    pool.state.update_worker(describe("w2"));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w2", {});
    REQUIRE(pool.state.workers().at("w1").accepts_starts(pool.now));
    CHECK_FALSE(pool.state.workers().at("w2").accepts_starts(pool.now));
    CHECK(starts_only_from(pool.state, "w2", until));
}

// Guards against the same on a worker whose entry was away for a moment.
TEST_CASE("a released worker that is listed again takes no tasks until the "
          "hold is over")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const base::time_point until = pool.now + 3s;
    REQUIRE(pool.state.prepare_leave("w2", until, pool.now));
    pool.state.unlist_worker("w2", pool.now);
    REQUIRE(pool.state.can_forget("w2", pool.now));
    pool.state.forget_worker("w2");
    pool.state.update_worker(describe("w2"));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w2", {});
    CHECK_FALSE(pool.state.workers().at("w2").accepts_starts(pool.now));
    CHECK(starts_only_from(pool.state, "w2", until));
}

// Guards against the same where the pool has been handed over meanwhile.
TEST_CASE("a released worker takes no tasks of the next owner until the hold "
          "is over")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    const base::time_point until = pool.now + 3s;
    REQUIRE(pool.state.prepare_leave("w2", until, pool.now));
    successor next(pool.state, pool.state.final_roster(pool.now), pool.now);
    for (const std::string worker : {"w1", "w2"})
        next.report(worker);
    const base::time_point now = next.now + 10ms;
    CHECK(next.state.workers().at("w1").accepts_starts(now));
    CHECK_FALSE(next.state.workers().at("w2").accepts_starts(now));
    CHECK(starts_only_from(next.state, "w2", until));
}
