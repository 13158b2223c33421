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
        next->state.unlist_worker(order.worker);
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
