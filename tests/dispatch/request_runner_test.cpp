#include "dispatch/instance.hpp"
#include "dispatch/reasons.hpp"
#include "node/stall_watch.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::tests;
using base::work_kind;
using base::work_status;
using dispatch::submission_origin;
using provider::lease_state;

namespace
{

struct request_fixture
{
    fake_store store;
    fake_workers workers{4};
    std::shared_ptr<const config::bundle> bundle = make_bundle(4);

    std::unique_ptr<instance> make_instance(std::uint64_t seed)
    {
        return std::make_unique<instance>(store, workers, bundle, seed);
    }
};

/// Injects the fault at the given hook call, counted from 1.
std::function<process_fault()> fault_at(int call, process_fault fault)
{
    return [=, n = 0]() mutable
    {
        return ++n == call ? fault : process_fault::none;
    };
}

} // namespace

TEST_CASE("a recorded request runs once and repeats its answer")
{
    request_fixture fixture;
    auto first = fixture.make_instance(1);
    auto second = fixture.make_instance(2);
    auto work = make_work("a", work_kind::request);
    work.payload = "!";
    for (auto* through : {first.get(), second.get(), first.get()})
    {
        const auto result = through->work->requests().run(work);
        CHECK(result.status == work_status::done);
        CHECK(result.answer == "answer to a!");
    }
    CHECK(fixture.workers.log.size() == 1);
}

// Guards against running a task twice when its key is submitted concurrently.
TEST_CASE("submissions of one key at the same time share one run")
{
    request_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 5ms;
    };
    auto first = fixture.make_instance(1);
    auto second = fixture.make_instance(2);
    int done = 0;
    {
        net::task_group callers;
        for (int i = 0; i < 6; ++i)
            callers.spawn(
                [&, i]
                {
                    auto& through = i % 2 == 0 ? *first : *second;
                    const auto result = through.work->requests().run(
                        make_work("a", work_kind::request));
                    done += result.status == work_status::done ? 1 : 0;
                });
        callers.join();
    }
    CHECK(done == 6);
    CHECK(fixture.workers.log.size() == 1);
}

// Guards against running a task that the store has no record of, and against a
// false `not_run` when the key may have been submitted before.
TEST_CASE("recorded work is refused during a store outage")
{
    request_fixture fixture;
    auto through = fixture.make_instance(1);
    fixture.store.down = true;
    const auto work = make_work("a", work_kind::request);
    const auto begin = base::steady_now();
    const auto retry = through->work->requests().run(work);
    CHECK(retry.status == work_status::unknown);
    CHECK(retry.reason == dispatch::reason::store_unavailable);
    const auto first =
        through->work->requests().run(work, submission_origin::first);
    CHECK(first.status == work_status::not_run);
    CHECK(first.reason == dispatch::reason::store_unavailable);
    CHECK(base::steady_now() - begin < 150ms);
    CHECK(fixture.workers.log.empty());
    const auto idempotent =
        through->work->requests().run(make_work("b", work_kind::request, true));
    CHECK(idempotent.status == work_status::done);
}

// Guards against work that will be refused taking worker slots during an outage
// when idempotent requests need them.
TEST_CASE("recorded work takes no slot once the store is known to be down")
{
    request_fixture fixture;
    auto through = fixture.make_instance(1);
    through->work->requests().run(make_work("a", work_kind::request));
    fixture.store.down = true;
    const auto work = make_work("a", work_kind::request);
    auto same_shard = work;
    for (int i = 0; records::shard_of(same_shard.identity) !=
                        records::shard_of(work.identity) ||
                    i == 0;
         ++i)
        same_shard.identity.key = "b" + std::to_string(i);
    through->work->requests().run(same_shard);
    const auto before = fixture.workers.reservations;
    for (int i = 0; i < 5; ++i)
        CHECK(through->work->requests().run(same_shard).reason ==
              dispatch::reason::store_unavailable);
    CHECK(fixture.workers.reservations == before);
    fixture.store.down = false;
    boost::this_fiber::sleep_for(20ms);
    CHECK(through->work->requests().run(same_shard).status ==
          work_status::done);
}

// Guards against a lease that expires while its task runs, when the task takes
// longer than the lease's TTL and than one start call.
TEST_CASE("the lease of a long task is renewed until its end")
{
    request_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 80ms;
    };
    auto through = fixture.make_instance(1);
    const auto result =
        through->work->requests().run(make_work("a", work_kind::request));
    CHECK(result.status == work_status::done);
    CHECK(fixture.workers.log.size() == 1);
}

// Guards against a start that takes effect although its lease expired while the
// process was paused.
TEST_CASE("a start after a pause longer than the lease is refused")
{
    request_fixture fixture;
    auto settings = quick_settings();
    settings.scan_interval = 1h;
    settings.max_attempts = 1;
    instance through(
        fixture.store, fixture.workers, fixture.bundle, 1,
        [](std::size_t) { return false; }, settings);
    // Hook calls: read, reserve, read and write of the record, start.
    through.fault_injector.freeze_time = 40ms;
    through.fault_injector.next = fault_at(4, process_fault::freeze_before);
    const auto result =
        through.work->requests().run(make_work("a", work_kind::request));
    CHECK(result.status == work_status::not_run);
    CHECK(fixture.workers.log.empty());
}

// Guards against taking over an attempt of a paused process without stopping
// its lease: with a long lease, the late start would still be accepted.
TEST_CASE("an attempt that was taken over cannot start later")
{
    request_fixture fixture;
    auto settings = quick_settings();
    settings.scan_interval = 1h;
    settings.lease_ttl = 1s;
    const auto owns = [](std::size_t)
    {
        return false;
    };
    instance paused(fixture.store, fixture.workers, fixture.bundle, 1, owns,
                    settings);
    instance other(fixture.store, fixture.workers, fixture.bundle, 2, owns,
                   settings);
    paused.fault_injector.freeze_time = 60ms;
    paused.fault_injector.next = fault_at(4, process_fault::freeze_before);
    const auto work = make_work("a", work_kind::request);
    net::task_group fibers;
    fibers.spawn([&] { paused.work->requests().run(work); });
    boost::this_fiber::sleep_for(15ms);
    CHECK(other.work->requests().run(work).status == work_status::done);
    fibers.join();
    CHECK(fixture.workers.log.size() == 1);
}

// Guards against losing an answer when the store fails while the task runs.
TEST_CASE("an outcome is written after a store outage")
{
    request_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 15ms;
    };
    auto through = fixture.make_instance(1);
    auto other = fixture.make_instance(2);
    auto work = make_work("a", work_kind::request);
    work.time_limit = 25ms;
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            boost::this_fiber::sleep_for(8ms);
            fixture.store.down = true;
        });
    const auto result = through->work->requests().run(work);
    CHECK(result.status == work_status::unknown);
    boost::this_fiber::sleep_for(20ms);
    fixture.store.down = false;
    work.time_limit = 200ms;
    CHECK(other->work->requests().run(work).status == work_status::done);
    CHECK(fixture.workers.log.size() == 1);
    fibers.join();
}

// Guards against a second run, and against a request that is never resolved,
// after a kill, a freeze or a lost message at any hook call.
TEST_CASE("a retry through another instance resolves a failed submission")
{
    for (const auto fault :
         {process_fault::kill_before, process_fault::kill_after,
          process_fault::freeze_before, process_fault::freeze_after,
          process_fault::response_lost, process_fault::request_lost})
        for (int call = 1; call <= 8; ++call)
        {
            CAPTURE(call);
            CAPTURE(static_cast<int>(fault));
            struct outcome
            {
                base::work_result before;
                base::work_result after;
                std::size_t runs = 0;
            };
            // A stall of the process can use up the time limit of the retry.
            const auto [before, after, runs] = node_tests::play_without_stalls(
                100ms,
                [&]
                {
                    request_fixture fixture;
                    // The scan would make hook calls too and change their
                    // numbers.
                    auto settings = quick_settings();
                    settings.scan_interval = 1h;
                    instance first(
                        fixture.store, fixture.workers, fixture.bundle, 1,
                        [](std::size_t) { return false; }, settings);
                    auto second = fixture.make_instance(2);
                    first.fault_injector.next = fault_at(call, fault);
                    auto work = make_work("a", work_kind::request);
                    outcome result;
                    work.time_limit = 40ms;
                    result.before = first.work->requests().run(work);
                    work.time_limit = 300ms;
                    result.after = second->work->requests().run(work);
                    result.runs = fixture.workers.log.size();
                    return result;
                });
            CHECK(runs <= 1);
            CHECK(after.status != work_status::unknown);
            if (before.status == work_status::done)
                CHECK(after.status == work_status::done);
            if (after.status == work_status::not_run)
                CHECK(runs == 0);
            if (after.status == work_status::done)
                CHECK(after.answer == "answer to a");
        }
}

// Guards against returning `not_run` when an earlier submission of the key may
// still run.
TEST_CASE("a refusal is recorded unless the submission is the first")
{
    request_fixture fixture;
    auto through = fixture.make_instance(1);
    auto work = make_work("a", work_kind::request);
    work.queue = base::queue_name("absent");
    const auto first =
        through->work->requests().run(work, submission_origin::first);
    CHECK(first.status == work_status::not_run);
    CHECK_FALSE(through->table->find(work.identity));
    const auto retry = through->work->requests().run(work);
    CHECK(retry.status == work_status::not_run);
    CHECK(through->table->find(work.identity));
    work.queue = base::queue_name("quotes");
    auto other = fixture.make_instance(2);
    CHECK(other->work->requests().run(work).status == work_status::not_run);
    CHECK(fixture.workers.log.empty());
}

// Guards against running a key outside the retention period, whose record may
// have been dropped.
TEST_CASE("a key outside the retention period is refused")
{
    request_fixture fixture;
    auto through = fixture.make_instance(1);
    auto work = make_work("a", work_kind::request);
    work.issued_at += std::chrono::minutes{6};
    auto result = through->work->requests().run(work);
    CHECK(result.status == work_status::not_run);
    CHECK(result.reason == dispatch::reason::key_expired);
}

// Guards against truncating a long answer to what a record can hold.
TEST_CASE("a long answer stays complete for retries")
{
    request_fixture fixture;
    auto first = fixture.make_instance(1);
    auto second = fixture.make_instance(2);
    auto work = make_work("a", work_kind::request);
    work.payload = std::string(5000, 'x');
    const auto direct = first->work->requests().run(work);
    CHECK(direct.status == work_status::done);
    const auto retry = second->work->requests().run(work);
    CHECK(retry.answer == "answer to a" + work.payload);
    for (int i = 0; i < 4; ++i)
        fixture.workers.reboot("w" + std::to_string(i));
    const auto late = second->work->requests().run(work);
    CHECK(late.status == work_status::unknown);
    CHECK(late.reason == dispatch::reason::answer_expired);
}

// Guards against running work again, or reporting it as `not_run`, after its
// worker rebooted and lost the outcome.
TEST_CASE("work whose worker rebooted stays unknown")
{
    request_fixture fixture;
    // Far longer than the reboot below may be delayed on a busy machine.
    fixture.workers.run_time = [](const std::string&)
    {
        return 1s;
    };
    auto through = fixture.make_instance(1);
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            boost::this_fiber::sleep_for(6ms);
            for (int i = 0; i < 4; ++i)
                fixture.workers.reboot("w" + std::to_string(i));
        });
    const auto work = make_work("a", work_kind::request);
    for (int i = 0; i < 3; ++i)
        CHECK(through->work->requests().run(work).status ==
              work_status::unknown);
    CHECK(fixture.workers.log.size() == 1);
    fibers.join();
}

// Guards against endless retries, and against failing a request because of one
// worker when other workers could run it.
TEST_CASE("idempotent requests are retried on other workers")
{
    request_fixture fixture;
    fixture.workers.fails = [](const std::string&, const base::worker_id& id)
    {
        return id.str() != "w3";
    };
    auto through = fixture.make_instance(1);
    for (int i = 0; i < 10; ++i)
        CHECK(through->work->requests()
                  .run(make_work("a", work_kind::request, true))
                  .status == work_status::done);
    fixture.workers.fails = [](const std::string&, const base::worker_id&)
    {
        return true;
    };
    const auto runs = fixture.workers.log.size();
    CHECK(through->work->requests()
              .run(make_work("b", work_kind::request, true))
              .status == work_status::failed);
    CHECK(fixture.workers.log.size() - runs == 4);
}

// Guards against a shutdown that interrupts a request in progress.
TEST_CASE("a drain finishes running work and refuses new work")
{
    request_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 15ms;
    };
    auto through = fixture.make_instance(1);
    net::task_group fibers;
    base::work_result result;
    fibers.spawn(
        [&]
        {
            result = through->work->requests().run(
                make_work("a", work_kind::request));
        });
    boost::this_fiber::sleep_for(5ms);
    CHECK(through->work->drain(base::steady_now() + 500ms));
    fibers.join();
    CHECK(result.status == work_status::done);
    CHECK(through->work->requests()
              .run(make_work("b", work_kind::request), submission_origin::first)
              .reason == dispatch::reason::stopping);
}
