// Where gangs start that run faster on one rack.

#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

worker_description on_rack(const std::string& id, const std::string& rack,
                           std::vector<std::string> more_labels = {})
{
    worker_description worker = describe(id, 2000);
    worker.labels = std::move(more_labels);
    worker.labels.push_back(rack);
    return worker;
}

step_spec rack_gang(int tasks)
{
    step_spec part = make_step(tasks, 2000);
    part.is_gang = true;
    part.needs_same_rack = true;
    return part;
}

} // namespace

// Guards against a gang that tries one rack only and never starts while others
// are idle (review, case 4).
TEST_CASE("a gang on one rack starts on any rack that has room")
{
    pool_fixture pool({on_rack("a1", "r1"), on_rack("b1", "r2"),
                       on_rack("b2", "r2"), on_rack("c1", "r3")});
    pool.submit("j", make_job({rack_gang(2)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 2);
    CHECK(pool.state.workers().at(orders[0].worker).rack() == "r2");
    CHECK(pool.state.workers().at(orders[1].worker).rack() == "r2");
}

// Guards against a gang that waits for ever for a rack that is large enough.
TEST_CASE("a gang that fits on no rack runs on more than one")
{
    pool_fixture pool({on_rack("a1", "r1"), on_rack("b1", "r2")});
    pool.state.set_remote_factor(2.0);
    pool.submit("j", make_job({rack_gang(2)}));
    CHECK(pool.plan().size() == 2);
}

// Guards against a run on two racks that takes longer than the wait for one.
TEST_CASE("a gang waits for a rack for as long as that is worth it")
{
    pool_fixture pool(
        {on_rack("a1", "r1"), on_rack("a2", "r1"), on_rack("b1", "r2")});
    pool.state.set_remote_factor(2.0);
    pool.submit("other", make_job({make_step(1, 2000)}));
    const auto other = pool.plan_and_start();
    REQUIRE(other.size() == 1);
    REQUIRE(other[0].worker == "a1");
    pool.submit("j", make_job({rack_gang(2)}));
    CHECK(pool.plan().empty());
    SUBCASE("the rack becomes free")
    {
        pool.report("a1", ended(other[0], end_kind::done));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 2);
        CHECK(pool.state.workers().at(orders[0].worker).rack() == "r1");
        CHECK(pool.state.workers().at(orders[1].worker).rack() == "r1");
    }
    SUBCASE("the wait has cost more than the slower run")
    {
        pool.now += 2s;
        CHECK(pool.plan().size() == 2);
    }
}

// Guards against a gang whose rack takes the place of the label that it needs.
TEST_CASE("a gang on one rack keeps to the label that it requires")
{
    pool_fixture pool({on_rack("a1", "r1", {"b"}), on_rack("a2", "r1", {"a"}),
                       on_rack("b1", "r2", {"b"}), on_rack("b2", "r2", {"b"})});
    step_spec part = rack_gang(2);
    part.required_label = "b";
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].worker.starts_with("b"));
    CHECK(orders[1].worker.starts_with("b"));
}
