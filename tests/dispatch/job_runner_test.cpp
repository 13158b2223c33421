#include "dispatch/instance.hpp"
#include "dispatch/reasons.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::tests;
using base::work_kind;
using base::work_status;

namespace
{

struct job_fixture
{
    fake_store store;
    fake_workers workers{4};
    std::shared_ptr<const config::bundle> bundle = make_bundle(4);
    bool owns = true;

    std::unique_ptr<instance>
    make_instance(std::uint64_t seed,
                  dispatch::runner_settings settings = quick_settings())
    {
        return std::make_unique<instance>(
            store, workers, bundle, seed, [this](std::size_t) { return owns; },
            settings);
    }
};

base::work_result find_job(instance& through, const base::job_id& job)
{
    return through.work->jobs().find(job, base::department_name("field"),
                                     base::caller_name("club"),
                                     base::steady_now() + 1s);
}

base::work_result cancel_job(instance& through, const base::job_id& job)
{
    return through.work->jobs().cancel(job, base::department_name("field"),
                                       base::caller_name("club"),
                                       base::steady_now() + 1s);
}

/// Waits for at most 2 s until a job is no longer `accepted`.
base::work_result wait_for_end(instance& through, const base::job_id& job)
{
    const auto give_up = base::steady_now() + 2s;
    auto result = find_job(through, job);
    while (result.status == work_status::accepted &&
           base::steady_now() < give_up)
    {
        boost::this_fiber::sleep_for(1ms);
        result = find_job(through, job);
    }
    return result;
}

std::size_t runs_of(const fake_workers& workers, const std::string& task)
{
    return static_cast<std::size_t>(
        std::ranges::count(workers.log, task, &execution::task));
}

} // namespace

// Guards against losing an accepted job when the instance that accepted it is
// killed before running it.
TEST_CASE("a job accepted by a lost instance runs on the new owner")
{
    job_fixture fixture;
    fixture.owns = false;
    auto first = fixture.make_instance(1);
    const auto accepted =
        first->work->jobs().submit(make_work("a", work_kind::job));
    CHECK(accepted.status == work_status::accepted);
    CHECK_FALSE(accepted.job.empty());
    first->fault_injector.killed = true;
    fixture.owns = true;
    auto second = fixture.make_instance(2);
    const auto ended = wait_for_end(*second, accepted.job);
    CHECK(ended.status == work_status::done);
    CHECK(ended.answer == "answer to a");
    CHECK(runs_of(fixture.workers, "a") == 1);
    const auto again =
        second->work->jobs().submit(make_work("a", work_kind::job));
    CHECK(again.status == work_status::done);
    CHECK(again.job == accepted.job);
}

// Guards against returning `accepted` for a job whose record was not written.
TEST_CASE("a job is not accepted during a store outage")
{
    job_fixture fixture;
    auto through = fixture.make_instance(1);
    fixture.store.down = true;
    const auto work = make_work("a", work_kind::job);
    CHECK(through->work->jobs()
              .submit(work, dispatch::submission_origin::first)
              .status == work_status::not_run);
    CHECK(through->work->jobs().submit(work).status == work_status::unknown);
    fixture.store.down = false;
    boost::this_fiber::sleep_for(20ms);
    CHECK(fixture.workers.log.empty());
}

// Guards against retrying a job forever that can never succeed: one that fails
// on every worker, is too large for any worker or has too large a payload.
TEST_CASE("a job that fails everywhere ends with a reason")
{
    job_fixture fixture;
    fixture.workers.fails = [](const std::string&, const base::worker_id&)
    {
        return true;
    };
    auto through = fixture.make_instance(1);
    auto& jobs = through->work->jobs();
    const auto retried = jobs.submit(make_work("a", work_kind::job, true));
    const auto ended = wait_for_end(*through, retried.job);
    CHECK(ended.status == work_status::failed);
    CHECK(ended.reason == dispatch::reason::failed_on_workers);
    CHECK(runs_of(fixture.workers, "a") == 3);
    const auto once = jobs.submit(make_work("b", work_kind::job));
    CHECK(wait_for_end(*through, once.job).status == work_status::failed);
    CHECK(runs_of(fixture.workers, "b") == 1);
    auto large = make_work("c", work_kind::job);
    large.size.cores = 1000;
    const auto refused = jobs.submit(large);
    CHECK(refused.status == work_status::not_run);
    CHECK(refused.reason == dispatch::reason::too_large);
    large = make_work("d", work_kind::job);
    large.payload = std::string(records::max_payload_bytes + 1, 'x');
    CHECK(jobs.submit(large).reason == dispatch::reason::payload_too_large);
}

// Guards against a wrong result of a cancellation: for a job that had not
// started, one that was running, one that had finished and one of another
// caller.
TEST_CASE("a cancellation returns the outcome of the job")
{
    job_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 10s;
    };
    fixture.owns = false;
    auto through = fixture.make_instance(1);
    auto& jobs = through->work->jobs();
    const auto waiting = jobs.submit(make_work("a", work_kind::job));
    const auto cancelled = cancel_job(*through, waiting.job);
    CHECK(cancelled.status == work_status::not_run);
    CHECK(cancelled.reason == dispatch::reason::cancelled);
    fixture.owns = true;
    const auto running = jobs.submit(make_work("b", work_kind::job));
    boost::this_fiber::sleep_for(10ms);
    CHECK(runs_of(fixture.workers, "b") == 1);
    const auto stopped = cancel_job(*through, running.job);
    CHECK(stopped.status == work_status::failed);
    CHECK(stopped.reason == dispatch::reason::cancelled);
    fixture.workers.run_time = [](const std::string&)
    {
        return 0ms;
    };
    const auto fast = jobs.submit(make_work("c", work_kind::job));
    wait_for_end(*through, fast.job);
    CHECK(cancel_job(*through, fast.job).status == work_status::done);
    CHECK(runs_of(fixture.workers, "a") == 0);
    CHECK(jobs.cancel(fast.job, base::department_name("field"),
                      base::caller_name("another"), base::steady_now() + 1s)
              .reason == dispatch::reason::no_record);
}

// Guards against a cancellation that blocks until the end of a store outage.
TEST_CASE("a cancellation during a store outage returns by its deadline")
{
    job_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 10s;
    };
    auto through = fixture.make_instance(1);
    const auto accepted =
        through->work->jobs().submit(make_work("a", work_kind::job));
    boost::this_fiber::sleep_for(10ms);
    int calls = 0;
    through->fault_injector.next = [&]
    {
        // The store fails after the cancellation mark is written.
        fixture.store.down = ++calls > 2;
        return process_fault::none;
    };
    const auto begin = base::steady_now();
    base::work_result result;
    try
    {
        result = through->work->jobs().cancel(
            accepted.job, base::department_name("field"),
            base::caller_name("club"), begin + 20ms);
    }
    catch (const base::error&)
    {
        result.status = work_status::unknown;
    }
    CHECK(base::steady_now() - begin < 200ms);
    CHECK(result.status == work_status::unknown);
    through->fault_injector.next = []
    {
        return process_fault::none;
    };
    fixture.store.down = false;
    boost::this_fiber::sleep_for(40ms);
    cancel_job(*through, accepted.job);
    const auto ended = wait_for_end(*through, accepted.job);
    CHECK(ended.status == work_status::failed);
    CHECK(ended.reason == dispatch::reason::cancelled);
}

// Guards against a lost outcome that is not reported, is run again or is
// settled as `not_run`, and against settling a job whose worker still has the
// outcome.
TEST_CASE("only an operator ends a job with a lost outcome")
{
    job_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 10s;
    };
    auto through = fixture.make_instance(1);
    auto& jobs = through->work->jobs();
    const auto accepted = jobs.submit(make_work("a", work_kind::job));
    boost::this_fiber::sleep_for(10ms);
    const auto early =
        jobs.settle(accepted.job, true, "ana", base::steady_now() + 1s);
    CHECK(early.status == work_status::accepted);
    for (int i = 0; i < 4; ++i)
        fixture.workers.reboot("w" + std::to_string(i));
    boost::this_fiber::sleep_for(30ms);
    const auto lost = find_job(*through, accepted.job);
    CHECK(lost.status == work_status::unknown);
    CHECK(lost.reason == dispatch::reason::outcome_unknown);
    CHECK(cancel_job(*through, accepted.job).status == work_status::unknown);
    const auto settled =
        jobs.settle(accepted.job, false, "ana", base::steady_now() + 1s);
    CHECK(settled.status == work_status::failed);
    CHECK(settled.reason == dispatch::reason::settled);
    CHECK(runs_of(fixture.workers, "a") == 1);
}

// Guards against urgent jobs that wait behind a batch backlog, and against
// running more jobs at once than the limit.
TEST_CASE("urgent jobs start before waiting batch jobs")
{
    job_fixture fixture;
    fixture.owns = false;
    fixture.workers.run_time = [](const std::string&)
    {
        return 2ms;
    };
    auto settings = quick_settings();
    settings.max_running_jobs = 4;
    auto through = fixture.make_instance(1, settings);
    auto& jobs = through->work->jobs();
    std::vector<base::job_id> ids;
    for (int i = 0; i < 20; ++i)
    {
        auto work = make_work("j" + std::to_string(i), work_kind::job);
        if (i >= 16)
            work.urgency = base::priority::urgent;
        ids.push_back(jobs.submit(work).job);
    }
    std::size_t most = 0;
    fixture.workers.run_time = [&](const std::string&)
    {
        most = std::max(most, jobs.running());
        return 2ms;
    };
    fixture.owns = true;
    for (const auto& id : ids)
        CHECK(wait_for_end(*through, id).status == work_status::done);
    CHECK(most <= 4);
    REQUIRE(fixture.workers.log.size() == 20);
    std::size_t urgent_early = 0;
    for (std::size_t i = 0; i < 8; ++i)
        urgent_early +=
            std::stoi(fixture.workers.log[i].task.substr(1)) >= 16 ? 1 : 0;
    CHECK(urgent_early == 4);
}

// Guards against a request that stays unresolved after its instance was killed
// while the task ran.
TEST_CASE("the owner resolves requests of a lost instance")
{
    job_fixture fixture;
    fixture.owns = false;
    fixture.workers.run_time = [](const std::string&)
    {
        return 5ms;
    };
    auto first = fixture.make_instance(1);
    net::task_group fibers;
    const auto work = make_work("a", work_kind::request);
    fibers.spawn([&] { first->work->requests().run(work); });
    while (fixture.workers.log.empty())
        boost::this_fiber::sleep_for(1ms);
    first->fault_injector.killed = true;
    fixture.owns = true;
    auto second = fixture.make_instance(2);
    boost::this_fiber::sleep_for(60ms);
    const auto current = second->table->find(work.identity);
    REQUIRE(current);
    CHECK(current->state == records::record_state::done);
    CHECK(runs_of(fixture.workers, "a") == 1);
    fibers.join();
}

// Guards against a drain that starts accepted jobs or loses a running one.
TEST_CASE("a drain leaves accepted jobs to other instances")
{
    job_fixture fixture;
    fixture.workers.run_time = [](const std::string&)
    {
        return 15ms;
    };
    auto first = fixture.make_instance(1);
    const auto running =
        first->work->jobs().submit(make_work("a", work_kind::job));
    boost::this_fiber::sleep_for(5ms);
    fixture.owns = false;
    const auto waiting =
        first->work->jobs().submit(make_work("b", work_kind::job));
    CHECK(first->work->drain(base::steady_now() + 500ms));
    CHECK(find_job(*first, running.job).status == work_status::done);
    CHECK(find_job(*first, waiting.job).status == work_status::accepted);
    fixture.owns = true;
    auto second = fixture.make_instance(2);
    CHECK(wait_for_end(*second, waiting.job).status == work_status::done);
}
