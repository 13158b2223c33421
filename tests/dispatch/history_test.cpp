#include "dispatch/flawed_designs.hpp"
#include "dispatch/history.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace pimentograde::tests;

namespace
{

constexpr std::uint64_t first_seed = 20261204;
constexpr std::uint64_t max_histories = 60;

/// Runs histories of a design until the checker reports `violation`. Returns
/// whether it did.
bool finds(const submit_function& design, const std::string& violation)
{
    for (std::uint64_t i = 0; i < max_histories; ++i)
        for (const auto& found :
             check_history(run_history(first_seed + i, design)))
            if (found.find(violation) != std::string::npos)
            {
                MESSAGE("seed ", first_seed + i, ", ", found);
                return true;
            }
    return false;
}

} // namespace

// Guards against double runs, false refusals, wrong answers and lost jobs when
// kills, freezes, lost messages, outages and reboots occur together.
TEST_CASE("histories with faults have no violation visible to callers")
{
    CHECK(rc::check("no violation in any history",
                    []
                    {
                        const auto seed = *rc::gen::noShrink(rc::gen::resize(
                            rc::kNominalSize,
                            rc::gen::arbitrary<std::uint64_t>()));
                        const auto found =
                            check_history(run_history(seed, submit_to_runners));
                        // RapidCheck reruns a failed case to describe it, and
                        // the rerun may differ because of its timing.
                        for (const auto& violation : found)
                            MESSAGE(seed, " ", violation);
                        RC_ASSERT(found.empty());
                    }));
}

// Guards against a checker, or histories without effective faults, that would
// pass any design.
TEST_CASE("the checker finds the faults of flawed designs")
{
    CHECK(finds(retry_on_timeout, "ran 2 times"));
    CHECK(finds(retry_on_timeout, "reported not run"));
    CHECK(finds(take_over_without_fence, "ran 2 times"));
    CHECK(finds(answer_before_recording, "never ended"));
    CHECK(finds(refuse_without_record, "reported not run"));
}
