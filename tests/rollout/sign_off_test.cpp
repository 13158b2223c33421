#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "rollout/sign_off.hpp"
#include "rollout/simulated_store.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <optional>
#include <set>
#include <sstream>

using namespace pimentograde;
using namespace std::chrono_literals;
using rollout::sign_off_outcome;
using rollout::sign_off_request;
using rollout::sign_off_result;

namespace
{

using sign_off_function = std::function<sign_off_result(
    const provider::kv_operations&, const sign_off_request&,
    const rollout::pacing&, base::random_source&, base::time_point)>;

// One operator's decision and what the operator was told.
struct decision
{
    sign_off_request request;
    sign_off_result result;
    /// The call threw: nothing was written.
    bool refused = false;
};

sign_off_request make_request(int reviewer, int round, std::uint64_t base)
{
    sign_off_request request;
    request.id = std::to_string(reviewer) + "/" + std::to_string(round);
    request.bundle = R"({"by":")" + request.id + R"("})";
    request.author = "author";
    request.reviewer = "reviewer-" + std::to_string(reviewer);
    request.base_version = base;
    return request;
}

void decide(decision& made, simulated_store& store,
            const sign_off_function& function, base::random_source& random,
            base::duration patience)
{
    const auto pace = store.pace();
    try
    {
        made.result = function(store.operations(), made.request, pace, random,
                               pace.now() + patience);
        made.refused = false;
    }
    catch (const base::error&)
    {
        made.refused = true;
    }
}

std::string describe(const std::string& text, const decision& made)
{
    return text + " (" + made.request.id + ", base " +
           std::to_string(made.request.base_version) + ")";
}

// Every value that was applied follows from the one before by one sign-off.
std::optional<std::string> check_log(const std::vector<std::string>& applied,
                                     std::vector<rollout::sign_off_entry>& log)
{
    std::set<std::string> ids;
    for (std::size_t i = 0; i < applied.size(); ++i)
    {
        const auto value = rollout::parse_envelope(applied[i]);
        if (value.version != i + 1)
            return "version does not follow";
        if (value.history.empty() || value.history.back().version != i + 1)
            return "history does not name the version";
        log.push_back(value.history.back());
        if (!ids.insert(log.back().id).second)
            return "sign-off applied twice: " + log.back().id;
    }
    return std::nullopt;
}

// What each operator was told agrees with the store.
std::optional<std::string>
check_decision(const decision& made,
               const std::vector<rollout::sign_off_entry>& log)
{
    const std::uint64_t next = made.request.base_version + 1;
    const bool superseded = next <= log.size();
    const bool won = superseded && log[next - 1].id == made.request.id;
    if (made.refused)
        return won ? std::optional(describe("refused, but applied", made))
                   : std::nullopt;
    switch (made.result.outcome)
    {
    case sign_off_outcome::accepted:
        if (!won || made.result.version != next)
            return describe("told accepted, but another is in force", made);
        return std::nullopt;
    case sign_off_outcome::lost:
        if (won)
            return describe("told lost, but it won", made);
        if (!superseded || made.result.version != next ||
            made.result.winner != log[next - 1].reviewer)
            return describe("told a wrong winner", made);
        return std::nullopt;
    case sign_off_outcome::unknown:
        break;
    }
    return describe("unknown although the store answers", made);
}

// Reviewers race in several rounds; each signs off on the version that a read,
// possibly stale, showed. In the end those who were told `unknown` ask again
// without faults. Returns what is wrong, if anything.
std::optional<std::string> run_history(std::uint64_t seed, int reviewers,
                                       int rounds,
                                       const simulated_store::faults& faults,
                                       const sign_off_function& function)
{
    simulated_store store(seed);
    store.fault = faults;
    base::random_source random(seed + 1);
    std::vector<decision> made;
    made.reserve(static_cast<std::size_t>(reviewers) * rounds);
    for (int round = 0; round < rounds; ++round)
    {
        net::task_group fibers;
        // An outage in the middle of the round.
        const bool outage = random.below(4) == 0;
        for (int reviewer = 0; reviewer < reviewers; ++reviewer)
        {
            const auto& values = store.applied(rollout::bundle_key);
            const std::uint64_t behind = random.below(5) == 0 ? 1 : 0;
            const std::uint64_t base =
                values.size() - std::min<std::uint64_t>(behind, values.size());
            decision& mine = made.emplace_back();
            mine.request = make_request(reviewer, round, base);
            fibers.spawn([&] { decide(mine, store, function, random, 300ms); });
        }
        if (outage)
            fibers.spawn(
                [&]
                {
                    boost::this_fiber::yield();
                    store.up = false;
                    for (int i = 0; i < 30; ++i)
                        boost::this_fiber::yield();
                    store.up = true;
                });
        fibers.join();
    }
    store.apply_late_writes();
    store.fault = {};
    for (decision& mine : made)
        if (!mine.refused && mine.result.outcome == sign_off_outcome::unknown)
        {
            mine.request.asked_before = true;
            decide(mine, store, function, random, 60s);
        }
    std::vector<rollout::sign_off_entry> log;
    if (auto wrong = check_log(store.applied(rollout::bundle_key), log))
        return wrong;
    for (const decision& mine : made)
        if (auto wrong = check_decision(mine, log))
            return wrong;
    return std::nullopt;
}

constexpr simulated_store::faults all_faults{5, 15, 10, 15};

// The obvious design: read, then write over whatever is there.
sign_off_result last_write_wins(const provider::kv_operations& store,
                                const sign_off_request& request,
                                const rollout::pacing& pace,
                                base::random_source&, base::time_point deadline)
{
    while (pace.now() < deadline)
    {
        const auto entry = store.get(rollout::bundle_key, deadline);
        const auto next =
            rollout::parse_envelope(entry.value)
                .with(request.bundle, {0, request.id, request.author,
                                       request.reviewer, request.at});
        if (store
                .compare_and_swap(rollout::bundle_key, entry.version,
                                  rollout::to_text(next), deadline)
                .outcome == provider::swap_outcome::applied)
            return {sign_off_outcome::accepted, next.version, {}, {}, 0, {}};
        pace.sleep(1ms);
    }
    return {};
}

// Compares the base version, but takes a conflict for a defeat and a failure
// for a refusal.
sign_off_result without_recognition(const provider::kv_operations& store,
                                    const sign_off_request& request,
                                    const rollout::pacing& pace,
                                    base::random_source&,
                                    base::time_point deadline)
{
    while (pace.now() < deadline)
    {
        try
        {
            const auto entry = store.get(rollout::bundle_key, deadline);
            const auto found = rollout::parse_envelope(entry.value);
            if (found.version > request.base_version)
            {
                const auto* winner =
                    found.find_version(request.base_version + 1);
                return {sign_off_outcome::lost,
                        request.base_version + 1,
                        winner == nullptr ? "" : winner->reviewer,
                        {},
                        0,
                        {}};
            }
            const auto next =
                found.with(request.bundle, {0, request.id, request.author,
                                            request.reviewer, request.at});
            if (found.version == request.base_version &&
                store.compare_and_swap(rollout::bundle_key, entry.version,
                                       rollout::to_text(next), deadline)
                        .outcome == provider::swap_outcome::applied)
                return {
                    sign_off_outcome::accepted, next.version, {}, {}, 0, {}};
        }
        catch (const base::error&)
        {
            // Tries again.
        }
        pace.sleep(5ms);
    }
    throw base::error(base::error_code::unavailable, "sign-off", "", "gave up");
}

// The first of 200 seeds on which a design breaks, and how.
std::optional<std::string> first_failure(const sign_off_function& design,
                                         const simulated_store::faults& faults)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        if (const auto wrong = run_history(seed, 3, 3, faults, design))
            return "seed " + std::to_string(seed) + ": " + *wrong;
    return std::nullopt;
}

} // namespace

// Guards against two winners or none, a sign-off that is applied twice, and an
// operator who is told something else than what the store holds.
TEST_CASE("each base version has exactly one winner, whom everybody is told")
{
    net::this_thread_io();
    CHECK(rc::check("racing reviewers",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
                        const int reviewers = *rc::gen::inRange(1, 6);
                        const int rounds = *rc::gen::inRange(1, 6);
                        const simulated_store::faults faults{
                            *rc::gen::inRange(0, 30), *rc::gen::inRange(0, 40),
                            *rc::gen::inRange(0, 30), *rc::gen::inRange(0, 40)};
                        const auto wrong = run_history(
                            seed, reviewers, rounds, faults, rollout::sign_off);
                        if (wrong)
                            RC_FAIL(*wrong);
                    }));
}

// Shows that the check above finds the faults of simple designs.
TEST_CASE("simple designs break in the same histories")
{
    net::this_thread_io();
    CHECK(!first_failure(rollout::sign_off, all_faults));
    const auto overwritten = first_failure(last_write_wins, {});
    REQUIRE(overwritten);
    MESSAGE("last write wins: " << *overwritten);
    const auto unrecognised = first_failure(without_recognition, all_faults);
    REQUIRE(unrecognised);
    MESSAGE("without recognition: " << *unrecognised);
}

// Guards against an answer that cannot be known: while the base version is in
// force, an earlier write may still be on its way.
TEST_CASE("a sign-off is unknown while its write may still take effect")
{
    net::this_thread_io();
    simulated_store store(1);
    base::random_source random(1);
    const auto pace = store.pace();
    const auto request = make_request(1, 1, 0);
    auto operations = store.operations();
    int writes = 0;
    operations.compare_and_swap = [&](std::string_view, std::uint64_t,
                                      std::string_view,
                                      base::time_point) -> provider::swap_result
    {
        ++writes;
        store.up = false; // the next read fails
        throw base::error(base::error_code::timeout, "store", "", "lost");
    };
    auto result = rollout::sign_off(operations, request, pace, random,
                                    pace.now() + 200ms);
    CHECK(result.outcome == sign_off_outcome::unknown);
    CHECK(result.version == 0);
    CHECK(writes == 1);
    store.up = true;
    store.fault = {};
    result = rollout::sign_off(store.operations(), request, pace, random,
                               pace.now() + 200ms);
    CHECK(result.outcome == sign_off_outcome::accepted);
    CHECK(result.version == 1);
}

TEST_CASE("nothing is written for a base version that does not exist")
{
    net::this_thread_io();
    simulated_store store(1);
    base::random_source random(1);
    const auto pace = store.pace();
    try
    {
        rollout::sign_off(store.operations(), make_request(1, 1, 7), pace,
                          random, pace.now() + 100ms);
        FAIL("accepted");
    }
    catch (const base::error& failure)
    {
        CHECK(failure.code() == base::error_code::conflict);
    }
    store.up = false;
    try
    {
        rollout::sign_off(store.operations(), make_request(1, 1, 0), pace,
                          random, pace.now() + 100ms);
        FAIL("accepted");
    }
    catch (const base::error& failure)
    {
        CHECK(failure.code() == base::error_code::unavailable);
    }
    CHECK(store.applied(rollout::bundle_key).empty());
}

// Guards against a guess when the winner is no longer in the history.
TEST_CASE("the history keeps 64 sign-offs and says what it no longer covers")
{
    net::this_thread_io();
    simulated_store store(1);
    base::random_source random(1);
    const auto pace = store.pace();
    for (int i = 0; i < 70; ++i)
        CHECK(rollout::sign_off(store.operations(),
                                make_request(1, i, static_cast<unsigned>(i)),
                                pace, random, pace.now() + 1s)
                  .outcome == sign_off_outcome::accepted);
    const auto value =
        rollout::parse_envelope(store.applied(rollout::bundle_key).back());
    CHECK(value.version == 70);
    CHECK(value.history.size() == rollout::max_history);
    auto old = make_request(2, 0, 3);
    auto result = rollout::sign_off(store.operations(), old, pace, random,
                                    pace.now() + 1s);
    CHECK(result.outcome == sign_off_outcome::lost);
    CHECK(result.winner.empty());
    old.asked_before = true;
    result = rollout::sign_off(store.operations(), old, pace, random,
                               pace.now() + 1s);
    CHECK(result.outcome == sign_off_outcome::unknown);
    CHECK(result.version == 4);
}

TEST_CASE("an envelope survives a round trip and malformed ones are refused")
{
    rollout::bundle_envelope value;
    value = value.with(R"({"a":1})", {0, "id", "ana", "luis",
                                      base::from_millis(1'700'000'000'000)});
    const auto again = rollout::parse_envelope(rollout::to_text(value));
    CHECK(again.version == 1);
    CHECK(again.bundle == value.bundle);
    CHECK(again.history == value.history);
    CHECK(rollout::parse_envelope("").version == 0);
    const std::string text = rollout::to_text(value);
    CHECK(rc::check(
        "changed envelopes",
        [&]
        {
            std::string changed = text;
            const int changes = *rc::gen::inRange(1, 5);
            for (int i = 0; i < changes; ++i)
                changed[*rc::gen::inRange<std::size_t>(0, changed.size())] =
                    *rc::gen::arbitrary<char>();
            try
            {
                rollout::parse_envelope(changed);
            }
            catch (const base::error& failure)
            {
                RC_ASSERT(failure.code() == base::error_code::invalid);
            }
        }));
}
