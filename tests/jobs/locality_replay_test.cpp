// Completion times of callers' jobs under loads with a hot rack, by the rule
// for the locality wait.

#include "jobs/locality_replay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

locality_decision wait_in_full(const locality_case& input)
{
    return {input.waited_seconds <
                (input.remote_factor - 1.0) * input.run_seconds,
            locality_reason::place_expected, 0.0};
}

// Mean over several seeds.
replay_result mean_of(replay_load load, const near_placement::rule& rule)
{
    constexpr int seeds = 5;
    replay_result mean;
    for (int seed = 1; seed <= seeds; ++seed)
    {
        load.seed = static_cast<std::uint64_t>(seed);
        const replay_result one =
            replay(load, [&](pool_state& state) { state.set_near_wait(rule); });
        mean.mean_seconds += one.mean_seconds / seeds;
        mean.p90_seconds += one.p90_seconds / seeds;
        mean.jobs += one.jobs;
    }
    return mean;
}

} // namespace

// Guards against a wait that costs callers more than no wait, or than a fixed
// one: an idle pool whose hot rack is overloaded, and a full pool.
TEST_CASE("the decided wait is as good as the best fixed one on each load")
{
    struct shape
    {
        double load;
        double hot_share;
        double long_share;
    };
    for (const double factor : {1.5, 3.0})
        for (const auto& [load, hot_share, long_share] :
             {shape{0.25, 0.6, 0.0}, shape{0.4, 0.3, 0.0}, shape{0.4, 0.9, 0.0},
              shape{0.4, 0.9, 0.03}, shape{0.8, 0.3, 0.0}, shape{0.8, 0.6, 0.0},
              shape{1.2, 0.3, 0.0}, shape{1.2, 0.6, 0.0},
              shape{1.2, 0.6, 0.03}})
        {
            const replay_load given{factor, load, hot_share, long_share, 0, 1};
            const replay_result off = mean_of(given, {});
            const replay_result on = mean_of(given, decide_locality);
            const replay_result full = mean_of(given, wait_in_full);
            std::printf("factor %.1f load %.2f hot %.1f long %.2f: mean off "
                        "%.3f on %.3f full %.3f s; p90 off %.3f on %.3f full "
                        "%.3f s (%d jobs)\n",
                        factor, load, hot_share, long_share, off.mean_seconds,
                        on.mean_seconds, full.mean_seconds, off.p90_seconds,
                        on.p90_seconds, full.p90_seconds, on.jobs);
            CAPTURE(factor);
            CAPTURE(load);
            CAPTURE(hot_share);
            CAPTURE(long_share);
            CHECK(on.mean_seconds <=
                  1.03 * std::min(off.mean_seconds, full.mean_seconds));
        }
}
