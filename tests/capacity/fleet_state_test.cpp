#include "base/error.hpp"
#include "capacity/fleet_change.hpp"
#include "capacity/fleet_codec.hpp"
#include "capacity/make_bundle.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;
using capacity::change_kind;
using capacity::fleet_change;
using capacity::fleet_state;
using capacity::hold_kind;
using capacity::wave_pause;
using capacity::worker_state;

namespace
{

fleet_change random_change(const config::bundle& bundle)
{
    fleet_change change;
    change.kind = static_cast<change_kind>(*rc::gen::inRange(0, 15));
    change.worker = (*rc::gen::elementOf(bundle.workers)).id;
    const bool wave =
        change.kind >= change_kind::start_wave || *rc::gen::arbitrary<bool>();
    if (wave)
        change.wave = "wave";
    else
        change.pool = (*rc::gen::elementOf(bundle.pools)).name;
    change.slots_used = *rc::gen::element(0U, 0U, 2U);
    change.incarnation = *rc::gen::element(0U, 7U, 8U);
    change.hold =
        *rc::gen::element(hold_kind::none, hold_kind::hold, hold_kind::drain);
    change.pause = *rc::gen::element(wave_pause::none, wave_pause::failure,
                                     wave_pause::ordered);
    change.reason = "reason";
    return change;
}

bool try_apply(fleet_state& state, const fleet_change& change,
               base::wall_time now)
{
    const fleet_state before = state;
    try
    {
        capacity::apply_change(state, change, now);
        return true;
    }
    catch (const base::error&)
    {
        RC_ASSERT(state == before);
        return false;
    }
}

/// The edges of the diagram in the design page, plus the drain that is given
/// up and the loss and return of a worker.
bool is_edge(worker_state from, worker_state to)
{
    using enum worker_state;
    if (from == to || to == down)
        return true;
    switch (from)
    {
    case serving:
        return to == draining;
    case draining:
        return to == rebooting || to == moving || to == probation;
    case moving:
    case rebooting:
        return to == probation;
    case probation:
        return to == serving || to == draining;
    case down:
        return to == probation || to == draining;
    }
    return false;
}

fleet_change make(change_kind kind, const char* worker = "w0")
{
    fleet_change change;
    change.kind = kind;
    change.worker = base::worker_id(worker);
    return change;
}

} // namespace

// Guards against a document that readers of another instance understand
// differently from its writer.
TEST_CASE("the codec returns what was written")
{
    CHECK(rc::check(
        "decode is the inverse of encode after any history",
        []
        {
            auto bundle = tests::make_bundle(3, 4, 3);
            tests::add_wave(bundle, 2, 1h);
            auto now = tests::start_time();
            fleet_state state = capacity::initial_state(bundle, now);
            const int steps = *rc::gen::inRange(0, 60);
            for (int step = 0; step < steps; ++step)
                try_apply(state, random_change(bundle), now += 1s);
            RC_ASSERT(capacity::decode(capacity::encode(state)) == state);
        }));
}

// Guards against a document that lists a worker under two pools, or in which
// two readers pick different ones of two equal members.
TEST_CASE("the codec refuses what encode does not write")
{
    const auto bundle = tests::make_bundle(1, 1, 1);
    const auto now = tests::start_time();
    const std::string good =
        capacity::encode(capacity::initial_state(bundle, now));
    const std::string worker =
        R"({"id":"w0","pool":"p0","state":"serving","since":1796360000000})";
    const auto with = [&](std::string_view replacement)
    {
        std::string text = good;
        text.replace(text.find(worker), worker.size(), replacement);
        return text;
    };
    CHECK_NOTHROW(capacity::decode(good));
    for (const std::string& bad :
         {with(worker + "," + worker), with("1"),
          with(R"({"id":"w0","pool":"p0","pool":"p1","state":"serving"})"),
          with(R"({"id":"w0","pool":"p0","state":"asleep"})"),
          with(R"({"id":"w0","state":"serving"})"),
          with(R"({"id":"w0","pool":"p0","state":"serving","x":1})"),
          with(R"({"id":"w0","pool":"p0","state":"serving","since":-1})"),
          std::string("{"), std::string("[]"), good + " ",
          std::string(R"({"format":2,"version":0,"waves":[],"workers":[]})")})
        CHECK_THROWS_AS(capacity::decode(bad), base::error);
}

// Guards against changes that skip a state, or that move a worker on which
// tasks still run. The obvious design, a table that any planner sets to the
// state it wants, fails this at the first random change.
TEST_CASE("any history of changes follows the state diagram")
{
    CHECK(rc::check(
        "states follow the diagram and a pool changes only after a drain",
        []
        {
            auto bundle = tests::make_bundle(3, 2, 3);
            tests::add_wave(bundle, 2, 1h);
            auto now = tests::start_time();
            fleet_state state = capacity::initial_state(bundle, now);
            for (int step = 0; step < 100; ++step)
            {
                const fleet_state before = state;
                const fleet_change change = random_change(bundle);
                if (!try_apply(state, change, now += 1s))
                    continue;
                RC_ASSERT(state.workers.size() == before.workers.size());
                for (const auto& [id, status] : state.workers)
                {
                    const auto& old = before.workers.at(id);
                    RC_ASSERT(is_edge(old.state, status.state));
                    RC_ASSERT(old.pool == status.pool ||
                              old.state == worker_state::moving);
                    RC_ASSERT(status.wave.empty() || status.target.empty());
                }
            }
        }));
}

TEST_CASE("a worker on which tasks run is not moved")
{
    const auto bundle = tests::make_bundle(2, 2, 2);
    const auto now = tests::start_time();
    fleet_state state = capacity::initial_state(bundle, now);
    fleet_change start = make(change_kind::start_drain);
    start.pool = base::pool_name("p1");
    capacity::apply_change(state, start, now);
    CHECK_THROWS_AS(
        capacity::apply_change(state, make(change_kind::admit_move), now),
        base::error);
    fleet_change drained = make(change_kind::confirm_drained);
    drained.slots_used = 1;
    CHECK_THROWS_AS(capacity::apply_change(state, drained, now), base::error);
    drained.slots_used = 0;
    capacity::apply_change(state, drained, now);
    CHECK(state.workers.at(base::worker_id("w0")).pool.str() == "p0");
    capacity::apply_change(state, make(change_kind::admit_move), now);
    CHECK(state.workers.at(base::worker_id("w0")).pool.str() == "p1");
    CHECK(state.workers.at(base::worker_id("w0")).state ==
          worker_state::probation);
}

// Guards against a reboot that is counted although the worker still runs as
// before, for example because the call was lost.
TEST_CASE("a reboot is proven by another incarnation")
{
    auto bundle = tests::make_bundle(1, 2, 1);
    tests::add_wave(bundle, 1, 1h);
    const auto now = tests::start_time();
    fleet_state state = capacity::initial_state(bundle, now);
    fleet_change start = make(change_kind::start_drain);
    start.wave = "wave";
    capacity::apply_change(state, start, now);
    fleet_change drained = make(change_kind::confirm_drained);
    drained.incarnation = 5;
    capacity::apply_change(state, drained, now);
    fleet_change rebooted = make(change_kind::confirm_rebooted);
    rebooted.incarnation = 5;
    CHECK_THROWS_AS(capacity::apply_change(state, rebooted, now), base::error);
    rebooted.incarnation = 6;
    CHECK_NOTHROW(capacity::apply_change(state, rebooted, now));
}

// Guards against a bundle that removes a pool under running tasks, or leaves a
// worker in a pool that nobody serves.
TEST_CASE("a removed pool drains its workers before they change pools")
{
    auto bundle = tests::make_bundle(2, 2, 2);
    const auto now = tests::start_time();
    fleet_state state = capacity::initial_state(bundle, now);
    bundle.pools.erase(bundle.pools.begin() + 1);
    for (auto& worker : bundle.workers)
        worker.pool = base::pool_name("p0");
    CHECK(capacity::reconcile(state, bundle, now));
    const auto& status = state.workers.at(base::worker_id("w3"));
    CHECK(status.state == worker_state::draining);
    CHECK(status.pool.str() == "p1");
    CHECK(status.target.str() == "p0");
    CHECK_FALSE(capacity::reconcile(state, bundle, now));
}

// Guards against a new worker that serves before it has proven its health,
// and against a removed one that keeps its entry.
TEST_CASE("a new bundle adds workers in probation and drops removed ones")
{
    auto bundle = tests::make_bundle(2, 2, 2);
    const auto now = tests::start_time();
    fleet_state state = capacity::initial_state(bundle, now);
    config::worker added = bundle.workers.front();
    added.id = base::worker_id("new");
    bundle.workers.erase(bundle.workers.begin());
    bundle.workers.push_back(added);
    CHECK(capacity::reconcile(state, bundle, now));
    CHECK(state.workers.at(added.id).state == worker_state::probation);
    CHECK_FALSE(state.workers.contains(base::worker_id("w0")));
}

// Guards against a document that outgrows the store's limit for one value.
TEST_CASE("the document of 400 workers stays near 40 KB")
{
    const auto bundle = tests::make_bundle(40, 10, 6);
    const auto text =
        capacity::encode(capacity::initial_state(bundle, tests::start_time()));
    CHECK(text.size() < 48 * 1024);
}
