// Jobs that are submitted again while they run.

#include "jobs/pool_fixture.hpp"
#include "pools/job_writer.hpp"
#include "pools/owned_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;
using kind = pools::submission_answer::kind;

namespace
{

jobs::job_spec one_task_job()
{
    jobs::job_spec spec;
    spec.payload = "s";
    spec.steps.resize(1);
    spec.steps[0].need = {1000, 10, 0};
    spec.steps[0].estimate = 50ms;
    return spec;
}

} // namespace

// Guards against a stored job that is dropped while it runs, and run again by
// the next owner: the request came again, had no time left, and the job's
// progress was waiting to be written (lcq-sched, TWICE).
TEST_CASE("a stored job outlives a resubmission without time left")
{
    owned_pool all(std::vector<std::string>{"w0"}, 600ms);
    REQUIRE(all.submit_one_task());
    REQUIRE(eventually([&] { return all.starts() == 1; }, 2s));
    all.platform.store.faults.is_down = true;
    const auto until = base::steady_now() + 1500ms;
    while (base::steady_now() < until)
    {
        const auto answer = all.owner->submit(id_a, one_task_job(), "queue",
                                              base::steady_now() - 1ms);
        REQUIRE(answer.outcome == kind::accepted);
        REQUIRE(all.owner->state().find_job(id_a) != nullptr);
        boost::this_fiber::sleep_for(1ms);
    }
    all.platform.store.faults.is_down = false;
    CHECK(eventually([&] { return all.is_completed(id_a); }, 5s));
    CHECK(all.starts() == 1);
}

// Guards against the same on a job that an earlier owner has stored.
TEST_CASE("an inherited job outlives a resubmission without time left")
{
    tests::pool_fixture earlier({tests::describe("w0")});
    earlier.state.submit(id_a, one_task_job(), "queue", earlier.now,
                         tests::wall);
    const auto changes = earlier.state.take_changes(1);
    REQUIRE(changes.size() == 1);
    owned_pool all(std::vector<std::string>{"w0"}, 600ms, 1500ms,
                   {{pools::record_prefix("pool") + id_a, changes[0].value}});
    REQUIRE(eventually([&] { return all.starts() == 1; }, 2s));
    const auto answer = all.owner->submit(id_a, one_task_job(), "queue",
                                          base::steady_now() - 1ms);
    CHECK(answer.outcome == kind::accepted);
    CHECK(eventually([&] { return all.is_completed(id_a); }, 3s));
    CHECK(all.starts() == 1);
}

// Guards against a task that starts after its job's cancelling was
// acknowledged: the job was not stored, it was withdrawn and the cancelling
// counted as stored, and the same request came again.
TEST_CASE("a cancelled job that is not stored is not withdrawn")
{
    owned_pool all(std::vector<std::string>{"w0"}, 600ms);
    all.platform.store.faults.is_down = true;
    net::task_group calls;
    calls.spawn(
        [&]
        {
            all.owner->submit(id_a, one_task_job(), "queue",
                              base::steady_now() + 400ms);
        });
    boost::this_fiber::sleep_for(200ms);
    bool is_cancelled = false;
    calls.spawn(
        [&]
        {
            using answer = pools::job_answer::kind;
            is_cancelled =
                all.owner->cancel(id_a, base::steady_now() + 3s).outcome ==
                answer::found;
        });
    boost::this_fiber::sleep_for(500ms);
    all.platform.store.faults.is_down = false;
    calls.join();
    REQUIRE(is_cancelled);
    CHECK(all.submit_one_task());
    boost::this_fiber::sleep_for(300ms);
    CHECK(all.starts() == 0);
}

// Guards against a task that starts after its job's cancelling was
// acknowledged: the submission was still on its way to the owner.
TEST_CASE("a submission that arrives after its cancelling is not accepted")
{
    owned_pool all(std::vector<std::string>{"w0"}, 50ms);
    CHECK(all.owner->cancel(id_a, base::steady_now() + 1s).outcome ==
          pools::job_answer::kind::absent);
    CHECK_FALSE(all.submit_one_task());
    CHECK(all.submit_one_task(id_b));
    REQUIRE(eventually([&] { return all.is_completed(id_b); }, 3s));
    CHECK(all.starts() == 0);
}
