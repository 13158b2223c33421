#include "policy/backoff.hpp"
#include "policy/histories.hpp"
#include "policy/retry_budget.hpp"
#include "policy/two_choices.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;

namespace
{

using retry_rule = std::function<bool(const base::department_name&)>;

/// Simulates first attempts and failures; a failure is retried if the rule
/// allows it. Returns a message naming the first department whose attempts
/// exceed 1.1 times its first attempts, if any.
std::optional<std::string> run_retries(const history& events,
                                       policy::retry_budget& budget,
                                       const retry_rule& may_retry)
{
    struct counts
    {
        double first = 0;
        double retries = 0;
    };
    std::map<std::string, counts> departments;
    for (const auto event : events)
    {
        const std::string name(1, static_cast<char>('a' + event % 3));
        const base::department_name department(name);
        auto& count = departments[name];
        // Simulates an outage with three failures in four events.
        if ((event / 3) % 4 == 0)
        {
            ++count.first;
            budget.record_first_attempt(department);
        }
        else if (may_retry(department))
            ++count.retries;
        if (count.retries > 0.1 * count.first + 1e-9)
            return "department " + name + " made " +
                   std::to_string(count.retries) + " retries for " +
                   std::to_string(count.first) + " first attempts";
    }
    return std::nullopt;
}

} // namespace

// Guards against retries that multiply the load of an outage.
TEST_CASE("attempts never exceed 1.1 times the first attempts")
{
    CHECK(rc::check("retry budget",
                    []
                    {
                        const auto events = *rc::gen::resize(
                            500, rc::gen::container<history>(
                                     rc::gen::arbitrary<std::uint32_t>()));
                        policy::retry_budget budget;
                        const auto cause = run_retries(
                            events, budget,
                            [&](const base::department_name& department)
                            { return budget.try_retry(department); });
                        if (cause)
                            RC_FAIL(*cause);
                    }));
}

// Checks that the simulation detects too many retries.
TEST_CASE("retrying every failure exceeds the budget")
{
    const auto violation = find_violation(
        [](const history& events)
        {
            policy::retry_budget budget;
            return run_retries(events, budget,
                               [](const base::department_name&)
                               { return true; });
        },
        200);
    REQUIRE(violation);
    MESSAGE("seed " << violation->seed << ": " << violation->cause);
}

// Guards against losing a retry to floating-point rounding, and against a
// budget that grows without limit while there are no failures.
TEST_CASE("ten first attempts allow one retry and tokens are capped")
{
    policy::retry_budget budget(10);
    const base::department_name department("a");
    for (int index = 0; index < 10; ++index)
        budget.record_first_attempt(department);
    CHECK(budget.try_retry(department));
    CHECK_FALSE(budget.try_retry(department));
    for (int index = 0; index < 10000; ++index)
        budget.record_first_attempt(department);
    CHECK(budget.tokens(department) <= 10);
    budget.set_ratio(base::department_name("b"), 0);
    budget.record_first_attempt(base::department_name("b"));
    CHECK_FALSE(budget.try_retry(base::department_name("b")));
}

// Guards against synchronised retries and retries after the deadline.
TEST_CASE("delays grow with full jitter and end before the deadline")
{
    CHECK(rc::check("backoff",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                        const auto limit = std::chrono::milliseconds{
                            *rc::gen::inRange(0, 5000)};
                        base::random_source random(seed);
                        policy::backoff delays{{20ms, 500ms}};
                        const base::time_point start{1h};
                        auto now = start;
                        base::duration bound = 20ms;
                        for (int attempt = 0; attempt < 100; ++attempt)
                        {
                            const auto delay =
                                delays.next(now, start + limit, random);
                            if (!delay)
                                return;
                            RC_ASSERT(*delay < bound);
                            now += *delay;
                            RC_ASSERT(now < start + limit);
                            bound = std::min<base::duration>(bound * 2, 500ms);
                        }
                    }));
}

// Guards against a choice that ignores the load or never picks some worker.
TEST_CASE("of two random workers the less used one is chosen")
{
    base::random_source random(3);
    CHECK_FALSE(policy::choose_of_two({}, random));
    const std::vector<std::uint32_t> used{0, 5, 9};
    std::map<std::size_t, int> chosen;
    for (int index = 0; index < 3000; ++index)
        ++chosen[*policy::choose_of_two(used, random)];
    // The pairs 0-1, 0-2 and 1-2 are equally likely.
    CHECK(chosen[0] > 1800);
    CHECK(chosen[1] > 800);
    CHECK(chosen[2] == 0);
}
