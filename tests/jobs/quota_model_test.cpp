#include "jobs/quota_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace pimentograde;
using tests::quota_mechanisms;
using tests::quota_model;
using tests::quota_odds;
using namespace std::chrono_literals;

namespace
{

constexpr quota_odds all_faults{.lost_answer = 20,
                                .late_write = 10,
                                .late_start = 15,
                                .takeover = 1,
                                .cap_change = 1};

int excess_of(std::uint64_t seed, quota_odds odds, quota_mechanisms kept = {})
{
    constexpr int steps = 1200;
    quota_model model(seed, odds, kept);
    for (int index = 0; index < steps; ++index)
        model.step();
    return model.excess();
}

void check(const char* name, quota_odds odds)
{
    CHECK(rc::check(name, [odds](std::uint64_t seed)
                    { RC_ASSERT(excess_of(seed, odds) <= 1); }));
}

// Number of histories that break the rule without the mechanism.
int broken_without(quota_mechanisms kept, quota_odds odds = all_faults)
{
    constexpr std::uint64_t histories = 60;
    int broken = 0;
    for (std::uint64_t seed = 0; seed < histories; ++seed)
        if (excess_of(seed, odds, kept) > 1)
            ++broken;
    return broken;
}

} // namespace

// Each case guards against starts that raise what a tenant has running in all
// pools above its cap plus one task.
TEST_CASE("the cap holds over several pools without faults")
{
    check("calm", {});
}

TEST_CASE("the cap holds while writes of grants are late or unanswered")
{
    check("late writes", {.lost_answer = 30, .late_write = 20});
}

TEST_CASE("the cap holds beside start orders that arrive late")
{
    check("late starts", {.late_start = 30});
}

TEST_CASE("the cap holds while owners change and earlier ones go on")
{
    check("takeovers", {.late_write = 10, .late_start = 10, .takeover = 2});
}

TEST_CASE("the cap holds while it changes")
{
    check("caps", {.lost_answer = 20, .late_write = 10, .cap_change = 2});
}

TEST_CASE("the cap holds with all faults together")
{
    check("all", all_faults);
}

// Guards against a model that shows nothing: without each mechanism the rule is
// broken.
TEST_CASE("the cap needs each of its mechanisms")
{
    CHECK(broken_without({}) == 0);
    CHECK(broken_without({.counts_unheard_workers = false}) > 0);
    CHECK(broken_without({.counts_late_starts = false}) > 0);
    CHECK(broken_without({.lowers_before_sending = false}) > 0);
    CHECK(broken_without({.raises_when_stored = false}) > 0);
    CHECK(broken_without({.checks_revision = false}) > 0);
    // A reduction of an earlier owner, which takes effect while the next one
    // uses its grant.
    constexpr quota_odds late_owners{
        .late_write = 50, .takeover = 2, .demand_change = 2};
    CHECK(broken_without({}, late_owners) == 0);
    CHECK(broken_without({.checks_owner = false}, late_owners) > 0);
}

// Guards against a part of the cap that is held but not used while another pool
// is short of it.
TEST_CASE("a pool that alone has work gets the cap within a second")
{
    CHECK(rc::check("idle grants",
                    [](std::uint64_t seed)
                    {
                        constexpr int busy_steps = 200;
                        // Runs of the other pools end within 1.5 s.
                        constexpr int ending_steps = 30;
                        constexpr int idle_steps = 20;
                        const std::size_t busy = seed % 3;
                        quota_model model(
                            seed, {.lost_answer = 10, .answer_time = 10ms}, {});
                        for (int index = 0; index < busy_steps; ++index)
                            model.step();
                        model.calm(busy);
                        int most = 0;
                        for (int index = 0; index < ending_steps + idle_steps;
                             ++index)
                        {
                            model.step();
                            if (index >= ending_steps)
                                most = std::max(most, model.running_in(busy));
                        }
                        RC_ASSERT(most >= 9);
                    }));
}
