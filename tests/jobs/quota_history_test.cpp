// Random histories of a pool whose jobs belong to a tenant with a cap.

#include "jobs/pool_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using tests::fault_odds;
using tests::pool_world;

namespace
{

std::string play(std::uint64_t seed, fault_odds odds)
{
    constexpr int faulty_steps = 300;
    constexpr int calm_steps = 900;
    odds.granted_tasks = 5;
    pool_world world(seed, 4, odds);
    world.step();
    for (int index = 0; index < faulty_steps; ++index)
    {
        if (index % 25 == 0)
            world.submit(1 + index % 5, 1 + index % 3);
        world.step();
    }
    world.stop_faults();
    for (int index = 0; index < calm_steps && !world.all_completed(); ++index)
        world.step();
    if (!world.violations().empty())
        return world.violations().front();
    return world.all_completed() ? std::string{} : "a job has not completed";
}

void check(const char* name, fault_odds odds)
{
    CHECK(rc::check(name,
                    [odds](std::uint64_t seed)
                    {
                        const std::string found = play(seed, odds);
                        RC_LOG() << found;
                        RC_ASSERT(found.empty());
                    }));
}

} // namespace

// Each case guards against a start that raises what a tenant has running above
// the pool's grant, against a count of its use that differs from a full one,
// and against tasks that are held back for good.
TEST_CASE("a tenant stays within its grant without faults")
{
    check("calm", {});
}

TEST_CASE("a tenant stays within its grant while answers are lost")
{
    check(
        "lost answers and late orders",
        {.lost_answer = 20, .late_order = 20, .slow_order = 20, .failure = 10});
}

TEST_CASE("a tenant stays within its grant beside orders that arrive 12 s late")
{
    check(
        "long late orders",
        {.long_late_order = 15, .cut_with_order = 20, .restart = 1, .cut = 1});
}

TEST_CASE("a tenant stays within its grant while workers restart")
{
    check("restarts and cuts",
          {.lost_answer = 5, .slow_order = 20, .restart = 2, .cut = 2});
}

TEST_CASE("a tenant stays within its grant while owners change")
{
    check("takeovers", {.lost_answer = 10, .late_order = 10, .takeover = 2});
}

TEST_CASE("a tenant stays within its grant while earlier owners go on")
{
    check("owners that lose the store",
          {.lost_answer = 5, .cut = 1, .store_cut = 2, .owner_cut = 30});
}
