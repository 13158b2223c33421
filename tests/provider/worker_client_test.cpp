#include <boost/json.hpp>

#include "platform_fixture.hpp"
#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::testing;
using base::error_code;
using provider::lease_state;
using provider::reserve_outcome;
using standin::fault_kind;

TEST_CASE_FIXTURE(platform_fixture, "a started task ends with its own answer")
{
    const auto lease = reserve();
    CHECK(work.query(first, lease, in(1s)).state == lease_state::reserved);
    const auto status = work.start(first, lease, task("t1", 20), in(1s));
    CHECK(status.state == lease_state::done);
    CHECK(status.run_time >= 20ms);
    const auto answer = boost::json::parse(status.answer).as_object();
    CHECK(answer.at("task").as_string() == "t1");
    CHECK(answer.at("answer").as_string() == "token of t1");
    CHECK(answer.at("lease").as_string() == lease.str());
    REQUIRE(platform->log().entries().size() == 1);
    const auto& entry = platform->log().entries()[0];
    CHECK(entry.outcome == standin::execution_outcome::done);
    CHECK(entry.answer == status.answer);
    CHECK(entry.token == "token of t1");
    CHECK(entry.ended_at_ms >= entry.started_at_ms + 19);
}

// Guards against a second start that runs the task again.
TEST_CASE_FIXTURE(platform_fixture, "a second start attaches to the first")
{
    const auto lease = reserve();
    provider::lease_status one;
    provider::lease_status other;
    net::task_group fibers;
    fibers.spawn([&]
                 { one = work.start(first, lease, task("t", 50), in(1s)); });
    fibers.spawn([&]
                 { other = work.start(first, lease, task("t", 50), in(1s)); });
    fibers.join();
    const auto later = work.start(first, lease, task("t", 50), in(1s));
    CHECK(one.state == lease_state::done);
    CHECK(other.answer == one.answer);
    CHECK(later.answer == one.answer);
    CHECK(platform->log().entries().size() == 1);
    // Guards against one task's answer that is returned for another task.
    CHECK(code_of([&] { work.start(first, lease, task("u", 1), in(1s)); }) ==
          error_code::conflict);
}

TEST_CASE_FIXTURE(platform_fixture, "no start after a stop")
{
    const auto lease = reserve();
    CHECK(work.stop(first, lease, in(1s)).state ==
          lease_state::stopped_unstarted);
    CHECK(work.start(first, lease, task("t", 1), in(1s)).state ==
          lease_state::stopped_unstarted);
    CHECK(platform->log().entries().empty());
}

TEST_CASE_FIXTURE(platform_fixture, "no start after the reservation expired")
{
    const auto lease = reserve(30ms);
    boost::this_fiber::sleep_for(50ms);
    const auto status = work.start(first, lease, task("t", 1), in(1s));
    CHECK(status.state == lease_state::stopped_unstarted);
    CHECK(status.reason == "expired");
    CHECK(platform->log().entries().empty());
    const auto renewed = reserve(30ms);
    work.renew(first, renewed, 1s, in(1s));
    boost::this_fiber::sleep_for(50ms);
    CHECK(work.query(first, renewed, in(1s)).state == lease_state::reserved);
}

TEST_CASE_FIXTURE(platform_fixture, "a stop ends a running task")
{
    const auto lease = reserve();
    provider::lease_status status;
    net::task_group fibers;
    fibers.spawn(
        [&] { status = work.start(first, lease, task("t", 5000), in(2s)); });
    boost::this_fiber::sleep_for(30ms);
    CHECK(work.query(first, lease, in(1s)).state == lease_state::running);
    CHECK(work.stop(first, lease, in(1s)).state ==
          lease_state::stopped_started);
    fibers.join();
    CHECK(status.state == lease_state::stopped_started);
    CHECK(work.report(first, in(1s)).slots_used == 0);
}

// Guards against a running task that ends with the time of its reservation:
// its holder may be gone while the task has to finish.
TEST_CASE_FIXTURE(platform_fixture, "a started task outlives its reservation")
{
    const auto lease = reserve(30ms);
    CHECK(work.start(first, lease, task("t", 100), in(1s)).state ==
          lease_state::done);
}

TEST_CASE("a running lease expires when the worker requires renewal")
{
    auto workers = platform_fixture::two_workers();
    workers[0].running_ttl = 60ms;
    platform_fixture fixture(std::move(workers));
    const auto lease = fixture.reserve();
    provider::lease_status status;
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            status = fixture.work.start(fixture.first, lease,
                                        fixture.task("t", 5000), in(2s));
        });
    for (int round = 0; round < 3; ++round)
    {
        boost::this_fiber::sleep_for(40ms);
        CHECK(fixture.work.renew(fixture.first, lease, 60ms, in(1s)).state ==
              lease_state::running);
    }
    fibers.join();
    CHECK(status.state == lease_state::stopped_started);
    CHECK(status.reason == "expired");
}

TEST_CASE_FIXTURE(platform_fixture, "a failing task reports a reason")
{
    const auto status =
        work.start(first, reserve(), task("t", 1, R"(,"fail":true)"), in(1s));
    CHECK(status.state == lease_state::failed);
    CHECK(status.reason == "task_failed");
    set_fault(fault_kind::worker_fail_tasks);
    CHECK(work.run(second, task("u", 1), in(1s)).status.state ==
          lease_state::failed);
}

TEST_CASE_FIXTURE(platform_fixture, "slots, size and leaving are refused")
{
    CHECK(work.reserve(first, {1000, 1, 0}, 1s, in(1s)).outcome ==
          reserve_outcome::too_large);
    reserve();
    const auto held = reserve();
    CHECK(work.report(first, in(1s)).slots_used == 2);
    CHECK(work.reserve(first, {1, 1, 0}, 1s, in(1s)).outcome ==
          reserve_outcome::full);
    CHECK(work.run(first, task("t", 1), in(1s)).outcome ==
          reserve_outcome::full);
    work.stop(first, held, in(1s));
    work.drain(first, in(1s));
    CHECK(work.reserve(first, {1, 1, 0}, 1s, in(1s)).outcome ==
          reserve_outcome::leaving);
    CHECK(work.run(first, task("t", 1), in(1s)).outcome ==
          reserve_outcome::leaving);
    CHECK(work.report(first, in(1s)).leaving);
    work.undrain(first, in(1s));
    CHECK(work.run(first, task("t", 1), in(1s)).status.state ==
          lease_state::done);
}

// Guards against a leaving worker that gets new work later than 3 s after the
// drain through an old reservation.
TEST_CASE("a reservation from before a drain cannot start late")
{
    auto workers = platform_fixture::two_workers();
    workers[0].leaving_grace = 50ms;
    platform_fixture fixture(std::move(workers));
    const auto early = fixture.reserve();
    const auto late = fixture.reserve();
    fixture.work.drain(fixture.first, in(1s));
    CHECK(fixture.work.start(fixture.first, early, fixture.task("t", 1), in(1s))
              .state == lease_state::done);
    boost::this_fiber::sleep_for(70ms);
    const auto status =
        fixture.work.start(fixture.first, late, fixture.task("u", 1), in(1s));
    CHECK(status.state == lease_state::stopped_unstarted);
    CHECK(status.reason == "leaving");
}

// Guards against a reboot that interrupts work, and against a lease that is
// taken for one of the new incarnation.
TEST_CASE_FIXTURE(platform_fixture, "a reboot needs an idle worker")
{
    const auto lease = reserve();
    const auto before = work.query(first, lease, in(1s)).incarnation;
    CHECK(code_of([&] { work.reboot(first, in(1s)); }) == error_code::refused);
    work.stop(first, lease, in(1s));
    work.reboot(first, in(1s));
    CHECK(code_of(
              [&] {
                  work.reserve(first, {1, 1, 0}, 1s, in(1s));
              }) == error_code::refused);
    boost::this_fiber::sleep_for(150ms);
    const auto status = work.query(first, lease, in(1s));
    CHECK(status.state == lease_state::unknown);
    CHECK(status.incarnation > before);
    CHECK(work.start(first, lease, task("t", 1), in(1s)).state ==
          lease_state::unknown);
    CHECK(reserve() != lease);
}

TEST_CASE_FIXTURE(platform_fixture, "a checkpointed task continues elsewhere")
{
    const auto lease = reserve();
    provider::lease_status status;
    net::task_group fibers;
    fibers.spawn(
        [&] { status = work.start(first, lease, task("t", 1000), in(30s)); });
    wait_for_starts(1);
    boost::this_fiber::sleep_for(200ms);
    CHECK(work.checkpoint(first, lease, in(1s)).state ==
          lease_state::stopped_started);
    fibers.join();
    CHECK(status.reason == "checkpointed");
    CHECK(status.run_time >= 199ms);
    const auto rest = work.run(second, task("t", 1000), in(30s));
    CHECK(rest.status.state == lease_state::done);
    // Both times are rounded to milliseconds.
    CHECK(rest.status.run_time <= 1001ms - status.run_time);
    CHECK(platform->log().entries().at(1).resumed);
}

TEST_CASE_FIXTURE(platform_fixture, "a throttled task runs longer")
{
    const auto lease = reserve();
    provider::lease_status status;
    net::task_group fibers;
    const auto begin = base::steady_now();
    fibers.spawn(
        [&] { status = work.start(first, lease, task("t", 300), in(30s)); });
    wait_for_starts(1);
    work.throttle(first, lease, 0.25, in(1s));
    // At most this much of the task ran at full speed.
    const auto unthrottled = base::steady_now() - begin;
    CHECK(code_of([&] { work.throttle(first, lease, 0, in(1s)); }) ==
          error_code::invalid);
    fibers.join();
    CHECK(status.run_time >= 4 * 300ms - 3 * unthrottled - 1ms);
}

TEST_CASE_FIXTURE(platform_fixture, "the usage report lags")
{
    const auto lease = reserve();
    net::task_group fibers;
    const auto begin = base::steady_now();
    fibers.spawn(
        [&]
        {
            work.start(first, lease,
                       task("t", 30'000, R"(,"use":{"cores":3.5})"), in(30s));
        });
    wait_for_starts(1);
    auto report = work.report(first, in(1s));
    CHECK(report.slots_used == 1);
    while (report.usage.empty() && base::steady_now() - begin < 5s)
        report = work.report(first, in(1s));
    // Usage is listed after the lag, not earlier.
    CHECK(base::steady_now() - begin >= 50ms);
    REQUIRE(report.usage.size() == 1);
    CHECK(report.usage[0].used.cores == 3.5);
    CHECK(report.usage[0].queue == "queue");
    boost::this_fiber::sleep_for(100ms);
    report = work.report(first, in(1s));
    REQUIRE(report.usage.size() == 1);
    CHECK(report.usage[0].run_time >= 20ms);
    work.stop(first, lease, in(1s));
    fibers.join();
}

TEST_CASE_FIXTURE(platform_fixture, "a refusing worker has done nothing")
{
    const auto lease = reserve();
    set_fault(fault_kind::worker_refuse);
    CHECK(code_of([&] { reserve(); }) == error_code::refused);
    CHECK(code_of([&] { work.start(first, lease, task("t", 1), in(1s)); }) ==
          error_code::refused);
    CHECK(code_of([&] { work.run(first, task("t", 1), in(1s)); }) ==
          error_code::refused);
    CHECK(work.stop(first, lease, in(1s)).state ==
          lease_state::stopped_unstarted);
    CHECK(platform->log().entries().empty());
}

// Guards against a start that is reported as not run although the frozen
// worker runs it after it resumed.
TEST_CASE_FIXTURE(platform_fixture, "a frozen worker is a timeout")
{
    const auto lease = reserve();
    set_fault(fault_kind::worker_freeze, 150ms);
    CHECK(code_of([&] { work.start(first, lease, task("t", 1), in(50ms)); }) ==
          error_code::timeout);
    boost::this_fiber::sleep_for(200ms);
    CHECK(work.query(first, lease, in(1s)).state == lease_state::done);
}

TEST_CASE_FIXTURE(platform_fixture, "a killed worker loses tasks and leases")
{
    const auto lease = reserve();
    const auto before = work.report(first, in(1s)).incarnation;
    std::optional<error_code> code;
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            code = code_of(
                [&] { work.start(first, lease, task("t", 5000), in(2s)); });
        });
    boost::this_fiber::sleep_for(30ms);
    set_fault(fault_kind::worker_kill, 100ms);
    fibers.join();
    CHECK(code == error_code::cut_off);
    CHECK(code_of([&] { work.report(first, in(1s)); }) ==
          error_code::unavailable);
    CHECK(instances.list(in(1s)).empty());
    boost::this_fiber::sleep_for(150ms);
    const auto status = work.query(first, lease, in(1s));
    CHECK(status.state == lease_state::unknown);
    CHECK(status.incarnation > before);
    CHECK(platform->log().entries().at(0).outcome ==
          standin::execution_outcome::lost);
}

// Guards against a cut answer that reaches a caller.
TEST_CASE_FIXTURE(platform_fixture, "a truncated answer is an error")
{
    set_fault(fault_kind::worker_truncate);
    for (int round = 0; round < 50; ++round)
    {
        const std::string name = "t" + std::to_string(round);
        CHECK(code_of([&] { work.run(first, task(name, 0), in(1s)); }) ==
              error_code::cut_off);
        CHECK(code_of([&] { work.report(first, in(1s)); }) ==
              error_code::cut_off);
    }
    platform->clear_faults();
    CHECK(platform->log().entries().size() == 50);
    CHECK(work.run(first, task("after", 0), in(1s)).status.state ==
          lease_state::done);
}

TEST_CASE_FIXTURE(platform_fixture, "a slow worker takes longer")
{
    platform->set_fault({fault_kind::worker_slow, "w001", 1, {}, 20ms, 4});
    const auto slow = work.run(first, task("t", 30), in(1s));
    CHECK(slow.status.run_time >= 119ms);
    const auto usual = work.run(second, task("u", 30), in(1s));
    CHECK(usual.status.run_time < 100ms);
}

// Guards against a call that reaches another worker at a reused address.
TEST_CASE_FIXTURE(platform_fixture, "a worker with another name is refused")
{
    const provider::worker_endpoint wrong{second.id, first.address};
    CHECK(code_of([&] { work.report(wrong, in(1s)); }) == error_code::conflict);
}

// Guards against calls over the worker's connection limit that wait or are
// taken for calls with an unknown effect.
TEST_CASE("connections over the limit are refused")
{
    auto workers = platform_fixture::two_workers();
    workers[0].connections = 1;
    platform_fixture fixture(std::move(workers));
    net::task_group fibers;
    provider::run_result result;
    fibers.spawn(
        [&]
        {
            result = fixture.work.run(fixture.first, fixture.task("t", 2000),
                                      in(30s));
        });
    fixture.wait_for_starts(1);
    CHECK(code_of([&] { fixture.work.report(fixture.first, in(1s)); }) ==
          error_code::refused);
    fibers.join();
    CHECK(result.status.state == lease_state::done);
    CHECK(fixture.work.report(fixture.first, in(1s)).slots_used == 0);
}
