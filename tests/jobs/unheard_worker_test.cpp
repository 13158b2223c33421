// Workers that an owner has heard in part, or gives up without having heard
// them.

#include "jobs/successor.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

struct left_pool
{
    pool_fixture before{{describe("w1"), describe("w2")}};
    start_order order;
    std::optional<successor> next;

    left_pool()
    {
        before.submit("a", make_job({make_step(1)}));
        order = before.plan_and_start().at(0);
        next.emplace(before.state, before.state.roster(before.now), before.now);
        next->report(other());
    }
    [[nodiscard]] std::string other() const
    {
        return order.worker == "w1" ? "w2" : "w1";
    }
};

} // namespace

// The owner's own polls extend the worker's lease, so the run whose end has not
// been read yet counts beyond the time that the earlier owner has left.
TEST_CASE("a worker whose list was cut short keeps its tasks while its lease "
          "is extended")
{
    left_pool pool;
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

// The next owner may have heard the worker and extends its lease; this one has
// dropped it.
TEST_CASE("a contested owner starts nothing again since it has forgotten a "
          "worker that it never heard")
{
    left_pool pool;
    pool_state& state = pool.next->state;
    state.unlist_worker(pool.order.worker);
    const base::time_point later = pool.next->now + unknown_lease;
    CHECK(state.plan(later, wall, ownership::contested).empty());
    // What `remove_idle_links` does right after the plan.
    REQUIRE(state.can_forget(pool.order.worker, later));
    state.forget_worker(pool.order.worker);
    CHECK(state.plan(later + 250ms, wall, ownership::contested).empty());
}
