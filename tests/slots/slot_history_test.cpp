#include "net/task_group.hpp"
#include "policy/histories.hpp"
#include "slots/simulated_time.hpp"
#include "slots/slot_cluster.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;
using policy::slot_outcome;

namespace
{

constexpr std::size_t history_length = 60;
constexpr std::uint32_t worker_slots = 2;
constexpr base::duration time_limit = 40ms;
// The clock is simulated: only its readings and redirects add to a wait.
constexpr base::duration deadline_tolerance = 10ms;
// Longer than the longest delay between the attempts of a release.
constexpr base::duration release_tolerance = 1s;

const std::vector<std::string> members{"m0", "m1", "m2"};
const std::vector<std::string> pools{"p", "q", "s"};

struct failures
{
    bool lost_responses = false;
    bool moves = false;
    /// Slots are not returned when the response of their grant was lost.
    bool lost_cancellations = false;
};

/// Runs a random history of tasks and failures on workers that refuse when they
/// are full.
class slot_history
{
public:
    explicit slot_history(failures allowed)
        : allowed_(allowed), cluster_(members)
    {
        for (std::size_t index = 0; index < pools.size(); ++index)
            cluster_.move_broker(pools[index], members[index]);
        cluster_.set_fleet(make_bundle(2, worker_slots));
        if (allowed.lost_cancellations)
            cluster_.lose_cancellations();
    }

    std::optional<std::string> run(const history& events)
    {
        for (const auto event : events)
            step(event);
        for (const auto& member : members)
            cluster_.set_down(member, false);
        tasks_.join();
        const auto deadline = base::steady_now() + release_tolerance;
        while (used_slots() != 0 && base::steady_now() < deadline)
            boost::this_fiber::sleep_for(1ms);
        if (used_slots() != 0)
            fail("slots stay taken after all tasks ended: " +
                 cluster_.describe());
        return violation_;
    }

private:
    void step(std::uint32_t event)
    {
        const auto detail = event / 16;
        switch (event % 16)
        {
        case 12:
            return boost::this_fiber::sleep_for(
                std::chrono::microseconds{detail % 2000});
        case 13:
            if (allowed_.lost_responses)
                cluster_.lose_next_response();
            return;
        case 14:
            if (allowed_.moves)
                cluster_.move_broker(pools[detail % pools.size()],
                                     members[(detail / 4) % members.size()]);
            return;
        case 15:
            if (allowed_.moves)
                cluster_.set_down(members[detail % members.size()],
                                  (detail / 4) % 2 == 0);
            return;
        default:
            tasks_.spawn([this, detail] { run_task(detail); });
        }
    }

    void run_task(std::uint32_t detail)
    {
        auto& service = cluster_.at(members[detail % members.size()]);
        const auto request =
            make_request((detail / 3) % 2 == 0 ? "a" : "b",
                         pools[(detail / 6) % 8 < 6 ? 0 : 1], time_limit,
                         (detail / 48) % 2 == 0 ? base::priority::urgent
                                                : base::priority::batch);
        const auto decision = service.acquire(request);
        if (base::steady_now() > request.deadline + deadline_tolerance)
            fail("a request was decided long after its deadline");
        if (!decision.grant)
            return;
        auto& running = running_[decision.grant->worker.str()];
        if (running == worker_slots)
        {
            if (!allowed_.moves && !allowed_.lost_responses)
                fail("more grants than slots on a worker");
            return service.release(request, *decision.grant,
                                   slot_outcome::worker_full, {});
        }
        ++running;
        boost::this_fiber::sleep_for(
            std::chrono::microseconds{500 + detail % 2000});
        --running;
        service.release(request, *decision.grant, slot_outcome::succeeded, 1ms);
    }

    std::int64_t used_slots() { return cluster_.used_slots(!allowed_.moves); }

    void fail(const std::string& cause)
    {
        if (!violation_)
            violation_ = cause;
    }

    failures allowed_;
    slot_cluster cluster_;
    std::map<std::string, std::uint32_t> running_;
    std::optional<std::string> violation_;
    net::task_group tasks_;
};

std::string describe(const history& events)
{
    std::string text;
    for (const auto event : events)
        text += (text.empty() ? "" : ", ") + std::to_string(event);
    return text;
}

std::optional<std::string> run_history(failures allowed, const history& events)
{
    std::optional<std::string> violation;
    run_in_simulated_time([&]
                          { violation = slot_history(allowed).run(events); },
                          [&]
                          {
                              std::cerr << "a fiber is never woken\nhistory: "
                                        << describe(events) << std::endl;
                          });
    return violation;
}

bool check_histories(const std::string& name, failures allowed)
{
    // The history before it is reduced; a reduced one may fail another check.
    std::optional<std::string> first;
    const bool held = rc::check(
        name,
        [&]
        {
            const auto events = *rc::gen::resize(
                history_length, rc::gen::container<history>(
                                    rc::gen::arbitrary<std::uint32_t>()));
            const auto cause = run_history(allowed, events);
            if (cause && !first)
                first = *cause + "\nhistory: " + describe(events);
            if (cause)
                RC_FAIL(*cause);
        });
    if (first)
        MESSAGE(name << ": " << *first);
    return held;
}

} // namespace

// Guards against granting more than a worker's slots across members and lending
// pools, against fibers that are never woken, and against leaked slots.
TEST_CASE("members with stable brokers never exceed a worker's slots")
{
    CHECK(check_histories("stable brokers", {}));
}

// Guards against fibers that are never woken and against leaked slots when
// responses are lost, brokers change and members are unreachable.
TEST_CASE("failures leave no request undecided and no slot taken")
{
    CHECK(check_histories("lost responses", {true, false, false}));
    CHECK(check_histories("moves and outages", {true, true, false}));
}

TEST_CASE("a service that returns nothing after a lost response leaks slots")
{
    const auto violation = find_violation(
        [](const history& events) {
            return run_history({true, false, true}, events);
        },
        history_length);
    REQUIRE(violation);
    MESSAGE("seed " << violation->seed << ": " << violation->cause);
}
