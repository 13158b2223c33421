#include "dispatch/fleet_service.hpp"
#include "fleet/fake_platform.hpp"
#include "net/io_scheduler.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;
using capacity::worker_state;
using tests::fake_platform;

namespace
{

config::bundle small_bundle()
{
    auto bundle = tests::make_bundle(2, 6, 3);
    tests::add_budgets(bundle, 3, config::failure_domain::zone);
    tests::add_wave(bundle, 2, 24h * 365);
    return bundle;
}

const base::worker_id first_worker("w0");

worker_state state_of(fake_platform& platform,
                      const base::worker_id& worker = first_worker)
{
    return platform.state().workers.at(worker).state;
}

void run(fake_platform& platform, dispatch::fleet_service& service, int steps)
{
    for (int step = 0; step < steps; ++step)
    {
        service.step();
        platform.advance(500ms);
    }
}

} // namespace

TEST_CASE("a started wave reboots each worker once and ends")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->start_wave("wave");
    run(platform, *service, 12 * 40);
    for (const auto& [id, worker] : platform.workers)
    {
        CHECK(worker.reboots == 1);
        CHECK(worker.harmful_reboots == 0);
        CHECK(state_of(platform, id) == worker_state::serving);
    }
    const auto wave = service->snapshot().at("waves").at(0).as_object();
    CHECK(wave.at("phase").as_string() == "finished");
    CHECK(wave.at("done").to_number<int>() == 12);
}

// Found by a wave with real processes: the platform's list shows a worker that
// is drained for the wave as leaving, and the planner took that for a reason to
// drain it again. 20 of 50 workers stayed out of service.
TEST_CASE("a wave ends although the list shows its workers as leaving")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    platform.lists_drained = true;
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->start_wave("wave");
    run(platform, *service, 12 * 40);
    for (const auto& [id, worker] : platform.workers)
    {
        CHECK(worker.reboots == 1);
        CHECK(state_of(platform, id) == worker_state::serving);
    }
}

// Guards against a reboot under running tasks: a drain that never waits.
TEST_CASE("a worker is not rebooted while a task runs on it")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    for (auto& [id, worker] : platform.workers)
        worker.slots_used = 1;
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->start_wave("wave");
    run(platform, *service, 40);
    for (const auto& [id, worker] : platform.workers)
        CHECK(worker.reboots == 0);
}

TEST_CASE("a silent worker is down after 2 s and serves after its return")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.workers[first_worker].alive = false;
    run(platform, *service, 3);
    CHECK(state_of(platform) == worker_state::serving);
    run(platform, *service, 3);
    CHECK(state_of(platform) == worker_state::down);
    platform.workers[first_worker].alive = true;
    run(platform, *service, 2);
    CHECK(state_of(platform) == worker_state::probation);
    run(platform, *service, 6);
    CHECK(state_of(platform) == worker_state::serving);
}

// Guards against a planner that was paused, or is cut off from the workers
// itself, and takes the whole fleet out of service.
TEST_CASE("a planner that reaches no worker marks none as down")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.lost_calls = 1;
    run(platform, *service, 20);
    platform.lost_calls = 0;
    platform.advance(60s);
    run(platform, *service, 1);
    for (const auto& [id, status] : platform.state().workers)
        CHECK(status.state == worker_state::serving);
}

// Guards against work that keeps going to a worker which the platform takes
// away: invariant 6 allows 3 s.
TEST_CASE("a leaving worker is drained within 3 s and not rebooted")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.listed_leaving.insert(first_worker);
    run(platform, *service, 6);
    CHECK(state_of(platform) == worker_state::draining);
    CHECK(platform.workers[first_worker].refuses_work);
    run(platform, *service, 60);
    CHECK(platform.workers[first_worker].reboots == 0);
    platform.listed_leaving.clear();
    run(platform, *service, 60);
    CHECK(state_of(platform) == worker_state::serving);
}

// Guards against a worker that stays out of service because a planner which
// woke up late drained it.
TEST_CASE("a late drain call is undone")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.workers[first_worker].refuses_work = true;
    run(platform, *service, 60);
    CHECK(state_of(platform) == worker_state::serving);
    CHECK_FALSE(platform.workers[first_worker].refuses_work);
}

TEST_CASE("an operator's drain lasts until the release")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    CHECK_FALSE(service->drain_worker(first_worker).unchanged);
    CHECK(service->drain_worker(first_worker).unchanged);
    run(platform, *service, 40);
    CHECK(state_of(platform) == worker_state::draining);
    CHECK(platform.workers[first_worker].reboots == 0);
    service->release_worker(first_worker);
    run(platform, *service, 10);
    CHECK(state_of(platform) == worker_state::serving);
}

// Guards against an operator who breaks a budget without being told.
TEST_CASE("an operator's drain that would break a budget is refused")
{
    net::this_thread_io();
    auto bundle = small_bundle();
    bundle.budgets.front().min_workers = 4;
    fake_platform platform(bundle);
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    std::string reason;
    try
    {
        service->drain_worker(first_worker);
    }
    catch (const base::error& failure)
    {
        CHECK(failure.code() == base::error_code::refused);
        reason = failure.detail();
    }
    CHECK(reason.find("needs 4 workers") != std::string::npos);
    CHECK_THROWS_AS(service->create_move(first_worker, base::pool_name("p1")),
                    base::error);
    CHECK(state_of(platform) == worker_state::serving);
}

TEST_CASE("a held worker is left out of a wave")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->hold_worker(first_worker);
    service->start_wave("wave");
    run(platform, *service, 12 * 40);
    CHECK(platform.workers[first_worker].reboots == 0);
    CHECK(platform.workers[base::worker_id("w1")].reboots == 1);
}

TEST_CASE("a move drains, changes the pool and admits after probation")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.workers[first_worker].slots_used = 1;
    service->create_move(first_worker, base::pool_name("p1"));
    run(platform, *service, 10);
    CHECK(platform.state().workers.at(first_worker).pool.str() == "p0");
    platform.workers[first_worker].slots_used = 0;
    run(platform, *service, 10);
    CHECK(platform.state().workers.at(first_worker).pool.str() == "p1");
    CHECK(state_of(platform) == worker_state::serving);
    CHECK(platform.workers[first_worker].reboots == 0);
}

// Guards against a worker that waits forever for a task which never ends.
TEST_CASE("an unfinished move can be given up")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.workers[first_worker].slots_used = 1;
    service->create_move(first_worker, base::pool_name("p1"));
    run(platform, *service, 10);
    CHECK(state_of(platform) == worker_state::draining);
    CHECK_FALSE(service->release_worker(first_worker).unchanged);
    CHECK(service->release_worker(first_worker).unchanged);
    run(platform, *service, 10);
    CHECK(state_of(platform) == worker_state::serving);
    CHECK(platform.state().workers.at(first_worker).pool.str() == "p0");
    CHECK_FALSE(platform.workers[first_worker].refuses_work);
}

// Guards against a wave that stands still without a reason in the dump.
TEST_CASE("a wave that waits for a lost worker says so")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.workers[first_worker].alive = false;
    run(platform, *service, 10);
    service->start_wave("wave");
    run(platform, *service, 12 * 40);
    const auto dump = service->snapshot();
    const auto& wave = dump.at("waves").at(0);
    CHECK(wave.at("done").to_number<int>() == 11);
    CHECK(wave.at("waits_for").as_string() == "w0, which is down");
}

// Guards against tasks that hold up a wave although they can be saved, and
// against a checkpoint of urgent work.
TEST_CASE("batch tasks are checkpointed when a drain takes too long")
{
    net::this_thread_io();
    auto bundle = small_bundle();
    bundle.waves.front().checkpoint_after = 10s;
    bundle.queues.back().urgency = base::priority::urgent;
    fake_platform platform(bundle);
    auto& batch = platform.workers[base::worker_id("w0")];
    auto& urgent = platform.workers[base::worker_id("w3")];
    batch.slots_used = urgent.slots_used = 1;
    batch.queue = "q0";
    urgent.queue = "q1";
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->start_wave("wave");
    run(platform, *service, 19);
    CHECK(batch.slots_used == 1);
    run(platform, *service, 40);
    CHECK(batch.reboots == 1);
    CHECK(urgent.slots_used == 1);
}

TEST_CASE("an operator's pause stops a wave until it is resumed")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->start_wave("wave");
    service->pause_wave("wave", "heat");
    CHECK(service->pause_wave("wave", "heat").unchanged);
    run(platform, *service, 40);
    CHECK(platform.workers[first_worker].reboots == 0);
    const auto wave = service->snapshot().at("waves").at(0).as_object();
    CHECK(wave.at("phase").as_string() == "paused");
    CHECK(wave.at("pause_reason").as_string() == "heat");
    service->resume_wave("wave");
    run(platform, *service, 40);
    CHECK(platform.workers[first_worker].reboots == 1);
}

// Guards against a second pass when only the response of the first command was
// lost and the operator repeats it.
TEST_CASE("a command whose response was lost may be repeated")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    platform.lost_responses = 1;
    CHECK_THROWS_AS(service->start_wave("wave"), base::error);
    platform.lost_responses = 0;
    const auto started = platform.state().waves.at("wave").started;
    platform.advance(5s);
    CHECK(service->start_wave("wave").unchanged);
    CHECK(platform.state().waves.at("wave").started == started);
}

// Guards against a command that fails because the planner wrote in between.
TEST_CASE("a command that meets another writer tries again")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    auto other = platform.make_service("b", {});
    run(platform, *service, 4);
    platform.before_swap = [&]
    {
        other->hold_worker(base::worker_id("w5"));
    };
    service->hold_worker(first_worker);
    const auto state = platform.state();
    CHECK(state.workers.at(first_worker).hold == capacity::hold_kind::hold);
    CHECK(state.workers.at(base::worker_id("w5")).hold ==
          capacity::hold_kind::hold);
}

// Guards against drains that begin on an old view during a store outage.
TEST_CASE("with the store down nothing begins and the dump says so")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->start_wave("wave");
    platform.store_up = false;
    run(platform, *service, 10);
    for (const auto& [id, worker] : platform.workers)
        CHECK_FALSE(worker.refuses_work);
    CHECK_FALSE(service->snapshot().at("store_available").as_bool());
    CHECK(service->snapshot().contains("notice"));
    platform.store_up = true;
    run(platform, *service, 20);
    CHECK(service->snapshot().at("store_available").as_bool());
    CHECK(platform.workers[first_worker].reboots == 1);
}

// Guards against a wave that stays halfway when its planner dies.
TEST_CASE("another planner finishes what the first one began")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto first = platform.make_service("a", {});
    auto second = platform.make_service("b", {});
    run(platform, *first, 4);
    first->start_wave("wave");
    run(platform, *first, 3);
    CHECK(state_of(platform) != worker_state::serving);
    run(platform, *second, 60);
    CHECK(platform.workers[first_worker].reboots == 1);
    CHECK(state_of(platform) == worker_state::serving);
}

// Guards against readers that see states out of order or miss the newest one.
TEST_CASE("the listener sees each written state once, in order")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    std::vector<std::uint64_t> seen;
    auto service = platform.make_service("a", {},
                                         [&](const capacity::fleet_state& state)
                                         { seen.push_back(state.version); });
    run(platform, *service, 4);
    service->start_wave("wave");
    run(platform, *service, 60);
    REQUIRE_FALSE(seen.empty());
    for (std::size_t index = 0; index < seen.size(); ++index)
        CHECK(seen[index] == index + 1);
    CHECK(seen.back() == platform.state().version);
}

// Guards against an idle planner that uses up the store's write budget and its
// network share: the document has 40 KB at 400 workers.
TEST_CASE("a fleet in which nothing changes is seldom read and not written")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    const auto writes = platform.writes;
    const auto reads = platform.reads;
    run(platform, *service, 200); // 100 s
    CHECK(platform.writes == writes);
    CHECK(platform.reads - reads <= 25);
}

// Guards against a planner that stays on its old view after an operator's
// command at another instance.
TEST_CASE("a command at another instance takes effect within 4 s")
{
    net::this_thread_io();
    for (const bool noted : {false, true})
    {
        fake_platform platform(small_bundle());
        auto service = platform.make_service("a", {});
        auto other = platform.make_service("b", {});
        run(platform, *service, 4);
        const auto result = other->drain_worker(first_worker);
        if (noted)
            service->note_version(result.version);
        run(platform, *service, noted ? 1 : 9);
        CHECK(platform.workers[first_worker].refuses_work);
    }
}

// Guards against a dump that shows wave progress at one instance only.
TEST_CASE("a standby shows the waves of a state that it was told")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto planner = platform.make_service("a", {});
    auto standby = platform.make_service("b", {});
    run(platform, *planner, 4);
    planner->start_wave("wave");
    run(platform, *planner, 30);
    standby->note_state(planner->state());
    const auto dump = standby->snapshot();
    CHECK(dump.at("role").as_string() == "standby");
    const auto& wave = dump.at("waves").at(0);
    CHECK(wave.at("done").to_number<int>() > 0);
    CHECK(wave.at("done") == planner->snapshot().at("waves").at(0).at("done"));
}

// Guards against a fleet that nobody plans for any more after an error that no
// call names.
TEST_CASE("the loop goes on after an unexpected error")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    dispatch::fleet_settings settings;
    settings.interval = 1ms;
    auto service = platform.make_service("a", settings);
    platform.before_swap = []
    {
        throw std::runtime_error("unexpected");
    };
    service->start();
    const auto end = base::steady_now() + 3s;
    while (!platform.has_state() && base::steady_now() < end)
        boost::this_fiber::sleep_for(1ms);
    CHECK(platform.has_state());
    service->stop();
}

// Guards against a planner that decides from its cached view after the lease
// was with another one.
TEST_CASE("a planner that lost its lease reads again when it returns")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto first = platform.make_service("a", {});
    auto second = platform.make_service("b", {});
    run(platform, *first, 4);
    platform.advance(6s);
    run(platform, *second, 2);
    run(platform, *first, 1);
    CHECK(first->snapshot().at("role").as_string() == "standby");
    second->drain_worker(first_worker);
    platform.advance(6s);
    run(platform, *first, 1);
    CHECK(first->state().workers.at(first_worker).hold ==
          capacity::hold_kind::drain);
    CHECK(platform.workers[first_worker].refuses_work);
}

// Guards against a planner that orders workers by what it knew before its
// machine was suspended, while another one has the lease and has changed that.
TEST_CASE("a planner whose machine was suspended reads again")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto first = platform.make_service("a", {});
    auto second = platform.make_service("b", {});
    run(platform, *first, 5);
    platform.suspend_planners(6s);
    second->step();
    second->drain_worker(first_worker);
    second->step();
    REQUIRE(platform.workers[first_worker].refuses_work);
    first->step();
    CHECK(first->snapshot().at("role").as_string() == "standby");
    CHECK(platform.workers[first_worker].refuses_work);
}

// Guards against a command that a worker gets after the state on which it rests
// has become too old, since the machine was suspended on the way.
TEST_CASE("a planner sends no command after a suspension on the way")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    auto service = platform.make_service("a", {});
    run(platform, *service, 4);
    service->drain_worker(first_worker);
    // Of the other pool.
    const base::worker_id last_worker("w11");
    service->drain_worker(last_worker);
    // All reports, and the first of the two commands.
    platform.calls_until_pause = platform.workers.size();
    platform.during_call = [&]
    {
        platform.suspend_planners(6s);
    };
    service->step();
    CHECK(platform.workers[first_worker].refuses_work);
    CHECK_FALSE(platform.workers[last_worker].refuses_work);
}

TEST_CASE("the loop runs in a fiber and gives up the lease at the end")
{
    net::this_thread_io();
    fake_platform platform(small_bundle());
    dispatch::fleet_settings settings;
    settings.interval = 1ms;
    auto service = platform.make_service("a", settings);
    service->start();
    while (!platform.has_state())
        boost::this_fiber::sleep_for(1ms);
    service->stop();
    auto other = platform.make_service("b", {});
    other->step();
    CHECK(other->snapshot().at("role").as_string() == "planner");
}
