// Waits of tasks and gangs for places near their data or their group.

#include "jobs/locality_wait.hpp"
#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

// A run of 1 s, 2 s elsewhere, for whose job there is ample time.
locality_case case_of(double place_seconds)
{
    locality_case input;
    input.place_seconds = place_seconds;
    input.is_certain = true;
    input.run_seconds = 1.0;
    input.remote_factor = 2.0;
    input.objective_seconds = 100.0;
    return input;
}

worker_description on_rack(const std::string& id, const std::string& rack,
                           std::int64_t cpu = 1000)
{
    worker_description worker = describe(id, cpu);
    worker.labels = {rack};
    return worker;
}

step_spec near_step(const std::string& rack, std::int64_t cpu = 1000)
{
    step_spec part = make_step(1, cpu);
    part.estimate = 1s;
    part.data_rack = rack;
    return part;
}

// Rack r1 has the worker "a1", with a run of 1 s that began 500 ms ago and has
// reported half of its work; r2 is idle.
struct near_pool : pool_fixture
{
    std::vector<start_order> first;
    std::vector<decision> decisions;

    explicit near_pool(std::vector<worker_description> workers =
                           {on_rack("a1", "r1"), on_rack("b1", "r2"),
                            on_rack("b2", "r2")})
        : pool_fixture(std::move(workers))
    {
        state.set_remote_factor(2.0);
        state.set_near_wait(decide_locality);
        state.on_decision([this](const decision& entry)
                          { decisions.push_back(entry); });
        submit("first", make_job({near_step("r1")}));
        first = plan_and_start();
        now += 400ms;
        report("a1", running(first, 50));
    }
    [[nodiscard]] std::vector<std::string> reasons(std::string_view what) const
    {
        std::vector<std::string> found;
        for (const decision& entry : decisions)
            if (entry.what == what)
                found.push_back(entry.detail.substr(0, entry.detail.find(' ')));
        return found;
    }
};

using names = std::vector<std::string>;

} // namespace

// Guards against waits that cannot pay, and starts that cost more than a wait.
TEST_CASE("the locality wait lasts as long as it is expected to pay")
{
    SUBCASE("the place is free before the remote run would have lost as much")
    {
        CHECK(decide_locality(case_of(0.5)).waits);
        CHECK(decide_locality(case_of(0.5)).gain_seconds ==
              doctest::Approx(0.5));
        CHECK_FALSE(decide_locality(case_of(1.1)).waits);
    }
    SUBCASE("the time already waited counts against the total")
    {
        locality_case input = case_of(0.5);
        input.waited_seconds = 0.6;
        CHECK(decide_locality(input).reason == locality_reason::place_too_late);
        input.waited_seconds = 1.0;
        CHECK(decide_locality(input).reason == locality_reason::waited_enough);
    }
    SUBCASE("an uncertain place has to pay for its uncertainty")
    {
        locality_case input = case_of(0.9);
        input.is_certain = false;
        CHECK_FALSE(decide_locality(input).waits);
        input.delay_of_others = 0.5;
        CHECK(decide_locality(input).waits);
    }
    SUBCASE("an uncertain wait does not risk an objective that a remote start "
            "meets")
    {
        locality_case input = case_of(0.9);
        input.is_certain = false;
        input.delay_of_others = 0.5;
        input.objective_seconds = 2.05;
        CHECK(decide_locality(input).reason == locality_reason::objective);
    }
    SUBCASE("a place that others wait for is worth less, except in a full pool")
    {
        locality_case input = case_of(0.6);
        input.waiting_ahead = 1;
        CHECK_FALSE(decide_locality(input).waits);
        input.delay_of_others = 0.1;
        CHECK(decide_locality(input).waits);
    }
    SUBCASE("a job with nothing running gets a start within 3 s")
    {
        locality_case input = case_of(0.5);
        input.run_seconds = 30.0;
        input.waited_seconds = 2.0;
        CHECK_FALSE(decide_locality(input).waits);
        input.is_job_running = true;
        CHECK(decide_locality(input).waits);
    }
    SUBCASE("without an estimate, or a place, it does not wait")
    {
        locality_case input = case_of(0.5);
        input.place_seconds.reset();
        CHECK(decide_locality(input).reason == locality_reason::no_estimate);
        input.has_place_ever = false;
        CHECK(decide_locality(input).reason == locality_reason::no_place_ever);
    }
}

// Guards against ends that are expected from runs that make no progress.
TEST_CASE("the rest of a run follows its progress")
{
    CHECK(rest_of_run({1.0, 1.0, 25, 10.0})->seconds == doctest::Approx(3.0));
    CHECK(rest_of_run({1.0, 1.0, 25, 10.0})->is_certain);
    CHECK(rest_of_run({1.0, 0.0, 0, 3.0})->seconds == doctest::Approx(2.0));
    CHECK_FALSE(rest_of_run({1.0, 0.0, 0, 3.0})->is_certain);
    CHECK(rest_of_run({1.2, 0.0, 0, 1.0})->seconds == doctest::Approx(0.1));
    CHECK_FALSE(rest_of_run({1.6, 0.0, 0, 1.0}).has_value());
    CHECK_FALSE(rest_of_run({9.0, 1.0, 25, 1.0}).has_value());
}

// Guards against a remote start shortly before the rack is free, and against
// waits that are not logged, or logged for each plan.
TEST_CASE("a task waits for the rack of its data while that pays")
{
    near_pool pool;
    pool.submit("j", make_job({near_step("r1")}));
    CHECK(pool.plan().empty());
    CHECK(pool.plan().empty());
    CHECK(pool.reasons("wait_begun") == names{"expected_s=0.500"});
    SUBCASE("the place becomes free")
    {
        pool.report("a1", ended(pool.first[0], end_kind::done));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].worker == "a1");
        CHECK(pool.reasons("wait_ended") == names{"reason=rack_local"});
    }
    SUBCASE("the progress is slower than expected")
    {
        pool.now += 500ms;
        pool.report("a1", running(pool.first, 55));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].worker.starts_with("b"));
        CHECK(pool.reasons("wait_ended") == names{"reason=place_too_late"});
    }
    SUBCASE("the progress stops")
    {
        pool.now += 1100ms;
        CHECK(pool.plan().size() == 1);
        CHECK(pool.reasons("wait_ended") == names{"reason=no_estimate"});
    }
    SUBCASE("the rack falls silent")
    {
        pool.state.set_reachable("a1", false);
        CHECK(pool.plan().size() == 1);
    }
    SUBCASE("the rack's worker is held for a move")
    {
        pool.state.prepare_leave("a1", pool.now + 10s, pool.now);
        CHECK(pool.plan().size() == 1);
        CHECK(pool.reasons("wait_ended") == names{"reason=no_place_ever"});
    }
    SUBCASE("the rack's worker is gone")
    {
        pool.state.unlist_worker("a1", pool.now);
        pool.state.lose_runs("a1", run_loss::ended, pool.now, wall);
        CHECK_FALSE(pool.plan().empty());
    }
}

// Guards against waits that hold up others, and against a place that is waited
// for and taken by a task behind that has another.
TEST_CASE("a waiting task holds up no other task")
{
    SUBCASE("tasks behind start elsewhere")
    {
        near_pool pool({on_rack("a1", "r1", 2000), on_rack("b1", "r2", 3000)});
        pool.submit("j1", make_job({near_step("r1", 2000)}));
        step_spec small = make_step(2, 1000);
        small.estimate = 4s;
        pool.submit("j2", make_job({small}));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 2);
        CHECK(orders[0].task.job == "j2");
        CHECK(orders[0].worker == "b1");
        CHECK(orders[1].worker == "b1");
    }
    SUBCASE("of two tasks of a step, one waits and the other expects to end "
            "earlier elsewhere")
    {
        near_pool pool;
        step_spec part = near_step("r1");
        part.task_count = 2;
        pool.submit("j", make_job({part}));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].worker.starts_with("b"));
    }
}

// Guards against waits for what can never come: a task too large for its rack,
// and one that is already suspected of crashes or bound otherwise.
TEST_CASE("a task without a place on its rack starts at once")
{
    SUBCASE("no worker of the rack is large enough")
    {
        near_pool pool({on_rack("a1", "r1"), on_rack("b1", "r2", 4000)});
        pool.submit("j", make_job({near_step("r1", 2000)}));
        CHECK(pool.plan().size() == 1);
        CHECK(pool.reasons("wait_begun").empty());
    }
    SUBCASE("the rack's workers lack the required label")
    {
        worker_description other = on_rack("b1", "r2");
        other.labels.insert(other.labels.begin(), "ssd");
        near_pool pool({on_rack("a1", "r1"), other});
        step_spec part = near_step("r1");
        part.required_label = "ssd";
        pool.submit("j", make_job({part}));
        CHECK(pool.plan().size() == 1);
    }
    SUBCASE("a long-running task")
    {
        near_pool pool;
        step_spec part = near_step("r1");
        part.is_long_running = true;
        pool.submit("j", make_job({part}));
        CHECK(pool.plan().size() == 1);
    }
    SUBCASE("the wait is switched off")
    {
        near_pool pool;
        pool.state.set_near_wait({});
        pool.submit("j", make_job({near_step("r1")}));
        CHECK(pool.plan().size() == 1);
    }
}

// Guards against a gang on two racks just before one is free, and a gang that
// waits for a rack whose runs do not end.
TEST_CASE("a gang waits for one rack while that pays")
{
    near_pool pool(
        {on_rack("a1", "r1"), on_rack("a2", "r1"), on_rack("b1", "r2")});
    step_spec part = make_step(2);
    part.estimate = 1s;
    part.is_gang = true;
    part.needs_same_rack = true;
    pool.submit("j", make_job({part}));
    CHECK(pool.plan().empty());
    CHECK(pool.reasons("wait_begun") == names{"expected_s=0.500"});
    SUBCASE("the rack becomes free")
    {
        const std::string busy = pool.first[0].worker;
        pool.report(busy, ended(pool.first[0], end_kind::done));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 2);
        CHECK(orders[0].worker.starts_with("a"));
        CHECK(orders[1].worker.starts_with("a"));
        CHECK(pool.reasons("wait_ended") == names{"reason=rack_local"});
    }
    SUBCASE("the run there does not end")
    {
        pool.now += 1100ms;
        CHECK(pool.plan().size() == 2);
        CHECK(pool.reasons("wait_ended") == names{"reason=no_estimate"});
    }
}

// Guards against a job with nothing running for 3 s while there is room, as
// places on its rack are always expected soon, and against uncounted waits.
TEST_CASE("a job with nothing running starts within 3 s")
{
    near_pool pool;
    metrics::registry counters;
    pool.state.set_counters(&counters);
    step_spec part = near_step("r1");
    part.estimate = 30s;
    pool.submit("j", make_job({part}));
    const base::time_point begin = pool.now;
    // The run there always promises to end soon.
    int percent = 50;
    while (pool.plan().empty())
    {
        REQUIRE(pool.now - begin < 3s);
        pool.now += 150ms;
        percent = std::min(99, percent + 20);
        pool.report("a1", running(pool.first, percent));
    }
    CHECK(pool.now - begin <= 2500ms);
    CHECK(counters
              .get_counter("pimentograde_near_starts_total",
                           metrics::label("place", "remote"))
              .value() == 1);
    CHECK(counters.get_counter("pimentograde_near_wait_milliseconds_total")
              .value() > 500);
}

// Guards against a decision that is too slow for an owner with little processor
// time. The bound of 20 us is for one start in an optimized build; the figures
// are printed, and the check leaves room for sanitizers.
TEST_CASE("the decision on one start with a locality wait is quick")
{
    constexpr int starts = 100;
    const auto seconds_of_plan = [](int count, const near_placement::rule& rule)
    {
        std::vector<worker_description> workers;
        for (int index = 0; index < count; ++index)
            workers.push_back(on_rack("w" + std::to_string(1000 + index),
                                      "r" + std::to_string(index % 10), 8000));
        pool_fixture pool(workers);
        pool.state.set_remote_factor(2.0);
        // Half of each rack is busy, and rack 0 is full.
        for (int index = 0; index < 10; ++index)
        {
            const std::string rack = "r" + std::to_string(index);
            step_spec fill = near_step(rack);
            fill.task_count = count / 10 * (index == 0 ? 8 : 4);
            fill.required_label = rack;
            pool.submit("fill " + rack, make_job({fill}));
        }
        pool.plan_and_start();
        pool.now += 300ms;
        for (int index = 0; index < starts; ++index)
            pool.submit("j" + std::to_string(index),
                        make_job({near_step("r0")}));
        pool.state.set_near_wait(rule);
        const auto begin = std::chrono::steady_clock::now();
        const auto orders = pool.plan();
        const auto end = std::chrono::steady_clock::now();
        CHECK((orders.size() == starts) == !rule);
        return base::count_seconds(end - begin);
    };
    for (const int count : {60, 400})
    {
        const double without = seconds_of_plan(count, {});
        const double with = seconds_of_plan(count, decide_locality);
        constexpr double micros = 1e6 / starts;
        std::printf("100 tasks for a full rack, %d workers: %.1f us a task "
                    "without the wait, %.1f us with it\n",
                    count, without * micros, with * micros);
        CHECK(with < 0.1);
    }
}

// Guards against the same for gangs, which look at all racks. A gang takes
// longer, but counts as many starts.
TEST_CASE("the decision on a gang that waits is quick")
{
    constexpr int gangs = 20;
    const auto seconds_of_plan = [](int count, const near_placement::rule& rule)
    {
        std::vector<worker_description> workers;
        for (int index = 0; index < count; ++index)
            workers.push_back(on_rack("w" + std::to_string(1000 + index),
                                      "r" + std::to_string(index % 10), 8000));
        pool_fixture pool(workers);
        pool.state.set_remote_factor(2.0);
        // Each worker has one place left, each rack one too few.
        step_spec fill = make_step(count * 4);
        fill.max_per_worker = 4;
        pool.submit("fill", make_job({fill}));
        CHECK(pool.plan_and_start().size() ==
              static_cast<std::size_t>(count) * 4);
        step_spec part = make_step(count / 10 + 1, 4000);
        part.is_gang = true;
        part.needs_same_rack = true;
        for (int index = 0; index < gangs; ++index)
            pool.submit("g" + std::to_string(index), make_job({part}));
        pool.state.set_near_wait(rule);
        const auto begin = std::chrono::steady_clock::now();
        pool.plan();
        return base::count_seconds(std::chrono::steady_clock::now() - begin);
    };
    for (const int count : {60, 400})
    {
        const double without = seconds_of_plan(count, {});
        const double with = seconds_of_plan(count, decide_locality);
        constexpr double micros = 1e6 / gangs;
        std::printf("%d gangs of %d, %d workers: %.1f us a gang without the "
                    "wait, %.1f us with it\n",
                    gangs, count / 10 + 1, count, without * micros,
                    with * micros);
        CHECK(with < 0.2);
    }
}
