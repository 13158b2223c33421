#include "capacity/wave_history.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;
using capacity::wave_phase;
using capacity::worker_state;
using tests::wave_history;

namespace
{

constexpr int failing_steps = 400;
constexpr double failures_per_step = 0.02;

wave_history make_history(std::uint64_t seed, tests::wave_strategy strategy)
{
    base::random_source random(seed);
    bool zones_fail = false;
    auto bundle = tests::random_wave_bundle(random, zones_fail);
    wave_history history(std::move(bundle), std::move(strategy), seed);
    history.failure_rate = failures_per_step;
    history.zones_fail = zones_fail;
    return history;
}

/// The budget that breaks in a history of failures during a wave.
std::optional<std::string> broken_budget(std::uint64_t seed,
                                         tests::wave_strategy strategy)
{
    auto history = make_history(seed, std::move(strategy));
    history.start_wave();
    for (int step = 0; step < failing_steps; ++step)
        if (auto broken = history.step())
            return broken;
    return std::nullopt;
}

capacity::wave_progress progress_of(const wave_history& history)
{
    return capacity::wave_planner(history.bundle(), {tests::worker_limit})
        .plan(history.state(), history.now())
        .progress.front();
}

} // namespace

TEST_CASE("budgets hold in a wave while racks and zones fail")
{
    CHECK(rc::check("no budget breaks by a failure that it has to survive",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        const auto broken =
                            broken_budget(seed, tests::budgeted_strategy);
                        RC_ASSERT(broken.value_or("") == "");
                    }));
}

// Shows that the property above can fail: a planner that counts only the
// workers that are out breaks a budget in most histories.
TEST_CASE("draining by max_parallel only breaks budgets")
{
    int broken = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
        broken += broken_budget(seed, tests::parallel_only_strategy).has_value()
                      ? 1
                      : 0;
    CHECK(broken > 0);
    MESSAGE("histories with a broken budget, of 20: " << broken);
}

// Guards against a wave that never resumes, and against a bound that is only
// true without failures.
TEST_CASE("a wave ends within its bound once failures end")
{
    CHECK(rc::check("the wave is done within the bound",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        auto history =
                            make_history(seed, tests::budgeted_strategy);
                        history.start_wave();
                        const int steps = *rc::gen::inRange(0, failing_steps);
                        for (int step = 0; step < steps; ++step)
                            history.step();
                        history.failure_rate = 0;
                        for (int step = 0;
                             step < failing_steps && history.failing(); ++step)
                            history.step();
                        RC_ASSERT(!history.failing());
                        const auto bound = progress_of(history).bound;
                        RC_ASSERT(bound.has_value());
                        const auto end = history.now() + *bound;
                        while (!history.wave_done() && history.now() < end)
                            history.step();
                        RC_ASSERT(history.wave_done());
                    }));
}

// Guards against a wave that resumes only by hand, or shows no reason.
TEST_CASE("a failure pauses the wave with a reason until budgets hold again")
{
    auto bundle = tests::make_bundle(1, 9, 3);
    tests::add_budgets(bundle, 5, config::failure_domain::zone);
    tests::add_wave(bundle, 1, 24h);
    const auto now = tests::start_time();
    auto state = capacity::initial_state(bundle, now);
    auto& lost = state.workers.at(base::worker_id("w0"));
    auto& second = state.workers.at(base::worker_id("w1"));
    lost.state = worker_state::down;
    second.state = worker_state::down;
    const capacity::wave_planner planner(bundle);
    const auto paused = planner.plan(state, now);
    REQUIRE(paused.changes.size() == 1);
    CHECK(paused.changes[0].kind == capacity::change_kind::pause_wave);
    CHECK(paused.changes[0].reason.find("w0 is down") != std::string::npos);
    CHECK(paused.progress[0].phase == wave_phase::paused);
    capacity::apply_change(state, paused.changes[0], now);
    CHECK(planner.plan(state, now).changes.empty());
    lost.state = worker_state::serving;
    second.state = worker_state::serving;
    const auto resumed = planner.plan(state, now);
    REQUIRE_FALSE(resumed.changes.empty());
    CHECK(resumed.changes[0].kind == capacity::change_kind::resume_wave);
}

// Guards against a wave that begins all racks at once, which costs the most
// further workers when one of them fails.
TEST_CASE("a rack is finished before the next one is begun")
{
    auto bundle = tests::make_bundle(1, 12, 1);
    tests::add_wave(bundle, 2, 24h);
    wave_history history(bundle, tests::budgeted_strategy, 1);
    history.start_wave();
    std::size_t most_open = 0;
    while (!history.wave_done())
    {
        history.step();
        std::map<std::string, std::pair<int, int>> racks;
        const auto started = history.state().waves.at("wave").started;
        for (const auto& worker : bundle.workers)
        {
            const auto& status = history.state().workers.at(worker.id);
            const bool done = status.maintained >= started;
            const bool begun = done || !status.wave.empty();
            racks[worker.rack.str()].first += begun ? 1 : 0;
            racks[worker.rack.str()].second += done ? 1 : 0;
        }
        std::size_t open = 0;
        for (const auto& [rack, counts] : racks)
            open += counts.first > 0 && counts.second < 4 ? 1 : 0;
        most_open = std::max(most_open, open);
    }
    CHECK(most_open <= 2);
}

// Guards against a schedule that drains the whole fleet at the beginning of
// each period, and against workers that are left out or done twice.
TEST_CASE("without a command the pass is spread over the period")
{
    auto bundle = tests::make_bundle(2, 10, 3);
    const auto period = 24h;
    tests::add_wave(bundle, 4, period);
    wave_history history(bundle, tests::budgeted_strategy, 1);
    const auto steps_per_quarter = period / 4 / tests::step_length;
    std::vector<std::size_t> drains;
    for (int quarter = 0; quarter < 8; ++quarter)
    {
        const std::size_t before = history.drains();
        for (int step = 0; step < steps_per_quarter; ++step)
            history.step();
        drains.push_back(history.drains() - before);
    }
    for (const std::size_t count : drains)
        CHECK(count <= 7);
    CHECK(drains[0] + drains[1] + drains[2] + drains[3] == 20);
    CHECK(history.drains() == 40);
}

// Guards against a wave that waits forever behind another one on the same pool.
TEST_CASE("two waves on one pool both end")
{
    auto bundle = tests::make_bundle(1, 9, 3);
    tests::add_budgets(bundle, 5, config::failure_domain::zone);
    tests::add_wave(bundle, 3, 24h);
    tests::add_wave(bundle, 3, 24h);
    bundle.waves[0].name = "first";
    bundle.waves[1].name = "second";
    wave_history history(bundle, tests::budgeted_strategy, 1);
    history.start_wave("first");
    history.start_wave("second");
    for (int step = 0; step < 2000 && !history.wave_done(); ++step)
        CHECK_FALSE(history.step().has_value());
    CHECK(history.wave_done());
}

// Guards against a bound or an end that is shown although it is never reached.
TEST_CASE("a budget that leaves no room is named and there is no bound")
{
    auto bundle = tests::make_bundle(1, 9, 3);
    tests::add_budgets(bundle, 6, config::failure_domain::zone);
    tests::add_wave(bundle, 3, 24h);
    wave_history history(bundle, tests::budgeted_strategy, 1);
    history.start_wave();
    history.step();
    const auto progress = progress_of(history);
    CHECK_FALSE(progress.bound.has_value());
    CHECK_FALSE(progress.expected_end.has_value());
    CHECK(progress.waits_for.find("needs 6 workers") != std::string::npos);
    CHECK(history.drains() == 0);
}

TEST_CASE("the budget report names the worst further failure")
{
    auto bundle = tests::make_bundle(1, 9, 3);
    tests::add_budgets(bundle, 5, config::failure_domain::zone);
    const auto state = capacity::initial_state(bundle, tests::start_time());
    const capacity::budget_checker checker(bundle);
    const std::vector<base::worker_id> drains{base::worker_id("w0"),
                                              base::worker_id("w1")};
    const auto found = checker.evaluate(state, drains).front();
    CHECK(found.serving == 9);
    CHECK(found.after_drains == 7);
    CHECK(found.worst_loss == 3);
    CHECK(found.worst_domain == "z2");
    CHECK(found.remaining == 4);
    CHECK_FALSE(found.holds());
    CHECK(checker.would_break(state, drains).has_value());
    CHECK_FALSE(checker.would_break(state, std::span(drains).first(1)));
}

namespace
{

/// Five pools of 9 whose budgets leave no room, and a spare pool with
/// `spares` workers in different zones.
config::bundle covered_bundle(std::size_t spares)
{
    auto bundle = tests::make_bundle(6, 9, 3);
    bundle.workers.resize(5 * 9 + spares);
    tests::add_budgets(bundle, 6, config::failure_domain::zone);
    bundle.budgets.pop_back();
    tests::add_wave(bundle, 2, 24h * 365);
    return bundle;
}

} // namespace

// Guards against spare capacity for maintenance in each pool where a few
// shared spares are enough, and against spares that go back and forth.
TEST_CASE("shared spares cover the drains of pools without room")
{
    for (const std::size_t spares : {2, 3})
    {
        wave_history history(covered_bundle(spares), tests::budgeted_strategy,
                             1);
        history.start_wave();
        const auto bound = progress_of(history).bound;
        REQUIRE(bound.has_value());
        const auto end = history.now() + *bound;
        while (!history.wave_done() && history.now() < end)
            CHECK_FALSE(history.step().has_value());
        CHECK(history.wave_done());
        MESSAGE("cover moves with " << spares
                                    << " spares: " << history.moves());
        CHECK(history.moves() <= 5 * 3);
    }
}

// Guards against a wave that promises an end which one spare cannot bring: in
// a pool of 3, 3 and 3 workers that has to keep 6 after the loss of a zone, it
// makes room only in its own zone.
TEST_CASE("one spare is too few for three even zones")
{
    wave_history history(covered_bundle(1), tests::budgeted_strategy, 1);
    history.start_wave();
    CHECK_FALSE(progress_of(history).bound.has_value());
}

TEST_CASE("budgets hold while spares move and zones fail")
{
    CHECK(rc::check("no budget breaks and the wave ends",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        wave_history history(covered_bundle(2),
                                             tests::budgeted_strategy, seed);
                        history.failure_rate = failures_per_step / 4;
                        history.zones_fail = true;
                        history.start_wave();
                        for (int step = 0; step < failing_steps; ++step)
                            RC_ASSERT(!history.step().has_value());
                        history.failure_rate = 0;
                        for (int step = 0;
                             step < 10 * failing_steps && !history.wave_done();
                             ++step)
                            RC_ASSERT(!history.step().has_value());
                        RC_ASSERT(history.wave_done());
                    }));
}
