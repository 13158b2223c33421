#include "base/error.hpp"
#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;
using namespace std::chrono_literals;

// Guards against starting a task before the steps it depends on are done.
TEST_CASE("a step starts once all tasks of the steps it depends on are done")
{
    pool_fixture pool({describe("w1")});
    auto second = make_step(1);
    second.after = {0};
    pool.submit("j", make_job({make_step(2), second}));
    const auto first = pool.plan_and_start();
    REQUIRE(first.size() == 2);
    worker_report rows = running({first[1]}, 50);
    rows.ended = ended(first[0], end_kind::done).ended;
    pool.report("w1", rows);
    CHECK(pool.plan().empty());
    pool.report("w1", ended(first[1], end_kind::done, 2));
    const auto next = pool.plan();
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.step == 1);
}

// Guards against a job that is reported as completed and then runs again
// because its owner failed before the end was stored.
TEST_CASE("a job is reported as completed only once its record is stored")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    pool.state.apply_report("w1", ended(orders[0], end_kind::done), pool.now,
                            pool.now, wall);
    CHECK(pool.state.status_of("j") == reported_status::running);
    pool.store();
    CHECK(pool.state.status_of("j") == reported_status::completed);
}

// Guards against records that are removed while callers may ask, or never.
TEST_CASE("an ended job is kept for the given time")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    CHECK(pool.state.expired_jobs(pool.now, 0s).empty());
    pool.report("w1", ended(orders[0], end_kind::done));
    pool.store();
    CHECK(pool.state.expired_jobs(pool.now, 150s).empty());
    CHECK(pool.state.expired_jobs(pool.now + 149s, 150s).empty());
    CHECK(pool.state.expired_jobs(pool.now + 150s, 150s).size() == 1);
}

// Guards against more attempts than the queue allows, also when a worker
// reports the same ended run twice.
TEST_CASE("a job fails after its last attempt, each counted once")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto first = pool.plan_and_start();
    const std::string worker = first[0].worker;
    pool.report(worker, ended(first[0], end_kind::failed));
    pool.report(worker, ended(first[0], end_kind::failed));
    CHECK(pool.state.status_of("j") == reported_status::running);
    pool.now += 1s;
    const auto second = pool.plan_and_start();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run == 2);
    // The worker of the failed attempt is avoided.
    CHECK(second[0].worker != worker);
    pool.report(second[0].worker, ended(second[0], end_kind::failed));
    CHECK(pool.state.status_of("j") == reported_status::failed);
}

// Guards against exceeding the attempt limit: a third run was started while the
// second one, on a worker that had stopped answering, may have failed.
TEST_CASE("a lapsed run counts as an attempt until its worker reports")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto first = pool.plan_and_start();
    pool.report(first[0].worker, ended(first[0], end_kind::failed));
    pool.now += 1s;
    const auto second = pool.plan_and_start();
    REQUIRE(second.size() == 1);
    pool.state.lose_runs(second[0].worker, run_loss::lapsed, pool.now, wall);
    pool.now += 1s;
    CHECK(pool.plan().empty());
    pool.report(second[0].worker, ended(second[0], end_kind::lapsed));
    CHECK(pool.plan().size() == 1);
}

// Guards against a second run while a start order without an answer may still
// take effect.
TEST_CASE("a start without an answer is stopped before the task starts again")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.report(orders[0].worker, {});
    CHECK(pool.plan().empty());
    const auto stops = pool.state.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == orders[0].run);
    // A stop order without an answer does not prove that the run is stopped.
    pool.state.apply_stop_answer(stops[0], false, pool.now);
    pool.report(orders[0].worker, {});
    CHECK(pool.plan().empty());
    const auto again = pool.state.take_stops();
    REQUIRE(again.size() == 1);
    pool.state.apply_stop_answer(again[0], true, pool.now);
    pool.report(orders[0].worker, {});
    const auto next = pool.plan();
    REQUIRE(next.size() == 1);
    CHECK(next[0].run > orders[0].run);
}

// Guards against two runs: the stop of a late start was forgotten by the
// worker's next incarnation, which then carried the start out.
TEST_CASE("a late start is stopped again after its worker has restarted")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    const std::string worker = orders[0].worker;
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.report(worker, of_incarnation(1));
    pool.state.apply_stop_answer(pool.state.take_stops().at(0), true, pool.now);
    pool.report(worker, of_incarnation(1));
    pool.report(worker, of_incarnation(2));
    CHECK(pool.plan().empty());
    pool.report(worker, of_incarnation(2));
    const auto stops = pool.state.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].worker == worker);
    pool.state.apply_stop_answer(stops[0], true, pool.now);
    pool.report(worker, {});
    CHECK(pool.plan().size() == 1);
}

TEST_CASE("a start without an answer is kept once the worker lists the run")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    pool.state.apply_start_answer(orders[0], start_answer::unknown, pool.now);
    pool.report("w1", running(orders, 10));
    CHECK(pool.state.take_stops().empty());
    CHECK(pool.plan().empty());
}

// Guards against a second run of a task that an earlier owner started.
TEST_CASE("an inherited job waits until the earlier owner's workers report")
{
    pool_fixture before({describe("w1")});
    before.submit("j", make_job({make_step(1)}));
    const auto started = before.plan_and_start();
    const std::string record = encode_record(*before.state.find_job("j"));

    pool_state after("pool");
    const base::time_point now = before.now;
    after.set_policy({"queue", "pool", 0, 2, 1.6, 600ms});
    after.restore(decode_record("j", record), now, wall);
    after.inherit_worker({describe("w1")}, now + 10s, now);
    after.update_worker(describe("w2"));
    after.note_recorded(std::vector{jobs::roster_entry{describe("w2")}});
    after.apply_report("w2", {}, now, now, wall);
    CHECK(after.plan(now, wall).empty());
    SUBCASE("the run is adopted")
    {
        after.apply_report("w1", running(started, 30), now, now, wall);
        CHECK(after.plan(now, wall).empty());
        CHECK(after.take_stops().empty());
    }
    SUBCASE("the run is not there")
    {
        after.apply_report("w1", {}, now, now, wall);
        const auto orders = after.plan(now, wall);
        REQUIRE(orders.size() == 1);
        CHECK(orders[0].run > started[0].run);
    }
    SUBCASE("the worker never reports")
    {
        CHECK(after.plan(now + 11s, wall).size() == 1);
    }
}

// Guards against a roster that keeps workers that have ended: each new owner of
// the pool waits for their reports. A check for lost jobs found this.
TEST_CASE("a worker that has ended leaves the roster")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    CHECK(pool.state.roster(pool.now).size() == 2);
    pool.state.unlist_worker("w1", pool.now);
    pool.state.lose_runs("w1", run_loss::ended, pool.now, wall);
    pool.state.forget_worker("w1");
    CHECK(pool.state.roster(pool.now).size() == 1);
}

// Guards against starts at a worker without a connection that are decided every
// 1 to 2 ms until its next poll fails (kavango-cues), while others are idle.
TEST_CASE("a worker without a connection gets no starts until it reports")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.apply_start_answer(orders[0], start_answer::unreachable,
                                  pool.now);
    CHECK(pool.state.plan(pool.now + 1ms, wall).empty());
    CHECK(pool.state.workers().at("w1").runs.empty());
    pool.report("w1", {});
    CHECK(pool.plan().size() == 1);
}

// Guards against violating a step's availability: a long-running task was
// interrupted while another one was on a worker that had stopped answering.
TEST_CASE("a leaving worker keeps a task that its step needs for availability")
{
    pool_fixture pool(
        {describe("w1", 1000), describe("w2", 1000), describe("w3", 1000)});
    auto part = make_step(2);
    part.is_long_running = true;
    part.max_unavailable = 1;
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 2);
    for (const auto& order : orders)
        pool.report(order.worker, running({order}, 100));
    SUBCASE("the other task is serving")
    {
        CHECK_FALSE(pool.state.prepare_leave(orders[0].worker, pool.now + 2s,
                                             pool.now));
        CHECK(pool.state.take_stops().size() == 1);
    }
    SUBCASE("the other task's worker does not answer")
    {
        pool.state.set_reachable(orders[1].worker, false);
        pool.state.prepare_leave(orders[0].worker, pool.now + 2s, pool.now);
        CHECK(pool.state.take_stops().empty());
    }
    SUBCASE("the other task's last report is too old")
    {
        pool.now += 4s;
        pool.state.prepare_leave(orders[0].worker, pool.now + 2s, pool.now);
        CHECK(pool.state.take_stops().empty());
    }
}

TEST_CASE("a worker that is leaving or draining gets no new runs")
{
    pool_fixture pool({describe("w1")});
    SUBCASE("leaving")
    {
        CHECK(pool.state.prepare_leave("w1", pool.now + 2s, pool.now));
    }
    SUBCASE("draining")
    {
        auto worker = describe("w1");
        worker.is_draining = true;
        pool.state.update_worker(worker);
    }
    pool.submit("j", make_job({make_step(1)}));
    CHECK(pool.plan().empty());
}

// Guards against tasks that keep running after their job was cancelled.
TEST_CASE("cancelling a job stops its runs and starts none")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(12)}));
    const auto orders = pool.plan_and_start();
    CHECK(orders.size() == 8);
    CHECK(pool.state.cancel("j", wall));
    pool.store();
    CHECK(pool.state.take_stops().size() == 8);
    CHECK(pool.plan().empty());
    CHECK(pool.state.status_of("j") == reported_status::cancelled);
    CHECK_FALSE(pool.state.cancel("other", wall));
}

TEST_CASE("a run of an unknown job is stopped")
{
    pool_fixture pool({describe("w1")});
    worker_report rows;
    rows.running.push_back({{"gone", 0, 0, 0}, 3, {}, 10});
    pool.report("w1", rows);
    const auto stops = pool.state.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == 3);
}

// Guards against a task that never ends because its worker hangs.
TEST_CASE("a run without progress is stopped and its worker is quarantined")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    const std::string worker = orders[0].worker;
    for (int index = 0; index < 40; ++index)
        pool.report(worker, running(orders, 20));
    CHECK(pool.state.take_stops().size() >= 1);
    CHECK_FALSE(
        pool.state.workers().find(worker)->second.accepts_starts(pool.now));
}

TEST_CASE("a step has at most max_per_worker tasks on one worker")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    auto part = make_step(5);
    part.max_per_worker = 1;
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].worker != orders[1].worker);
}

TEST_CASE("a worker never gets more tasks than fit into its capacity")
{
    pool_fixture pool({describe("w1", 2500)});
    pool.submit("j", make_job({make_step(5)}));
    CHECK(pool.plan().size() == 2);
}

// Guards against starting some members of a gang while others do not fit.
TEST_CASE("a gang starts as a whole, on one rack if required")
{
    pool_fixture pool(
        {describe("a1", 2000), describe("a2", 2000), describe("b1", 2000)});
    auto part = make_step(4);
    part.is_gang = true;
    SUBCASE("all fit")
    {
        part.needs_same_rack = true;
        part.task_count = 2;
        pool.submit("j", make_job({part}));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 2);
        CHECK(orders[0].run == orders[1].run);
    }
    SUBCASE("too large")
    {
        part.task_count = 7;
        pool.submit("j", make_job({part}));
        CHECK(pool.plan().empty());
        CHECK(pool.state.workers().find("a1")->second.runs.empty());
    }
}

// Guards against jobs that are missing in the count of pending ones although no
// task of them has begun.
TEST_CASE("a job is pending until a run of it has begun")
{
    pool_fixture pool({describe("w1", 2000), describe("w2", 2000)});
    step_spec part = make_step(1);
    SUBCASE("a gang that waits for a busy worker")
    {
        pool.submit("other", make_job({make_step(1, 2000)}));
        const auto other = pool.plan_and_start();
        REQUIRE(other.size() == 1);
        part = make_step(2, 2000);
        part.is_gang = true;
        pool.submit("j", make_job({part}));
        CHECK(pool.plan().empty());
        CHECK(pool.state.pending("queue") == 1);
        CHECK(pool.state.status_of("j") == reported_status::queued);
        pool.report(other[0].worker, ended(other[0], end_kind::done));
        CHECK(pool.plan_and_start().size() == 2);
    }
    SUBCASE("a start that the worker refuses")
    {
        pool.submit("j", make_job({part}));
        const auto orders = pool.plan();
        CHECK(pool.state.pending("queue") == 1);
        pool.state.apply_start_answer(orders.at(0), start_answer::no_room,
                                      pool.now);
        CHECK(pool.state.pending("queue") == 1);
        pool.now += 1s;
        pool.plan_and_start();
    }
    SUBCASE("a start without an answer that the worker lists later")
    {
        pool.submit("j", make_job({part}));
        const auto orders = pool.plan();
        pool.state.apply_start_answer(orders.at(0), start_answer::unknown,
                                      pool.now);
        CHECK(pool.state.pending("queue") == 1);
        pool.report(orders[0].worker, running(orders, 10));
    }
    SUBCASE("a start without an answer whose end the worker lists")
    {
        pool.submit("j", make_job({part}));
        const auto orders = pool.plan();
        pool.state.apply_start_answer(orders.at(0), start_answer::unknown,
                                      pool.now);
        pool.report(orders[0].worker, ended(orders[0], end_kind::failed));
    }
    CHECK(pool.state.pending("queue") == 0);
    CHECK(pool.state.status_of("j") == reported_status::running);
}

TEST_CASE("an occurrence does not start before it is due")
{
    pool_fixture pool({describe("w1")});
    auto spec = make_job({make_step(1)});
    spec.repeat_count = 2;
    spec.first_due = wall;
    spec.repeat_interval = 10s;
    pool.submit("j", spec);
    const auto first = pool.plan_and_start();
    REQUIRE(first.size() == 1);
    CHECK(first[0].task.occurrence == 0);
    const auto second = pool.state.plan(pool.now, wall + 10s);
    REQUIRE(second.size() == 1);
    CHECK(second[0].task.occurrence == 1);
}

// Guards against a job that is given up after its first failed run: its queue
// is no longer configured, and the owner has started since.
TEST_CASE("a job keeps its attempts when its queue is no longer configured")
{
    pool_fixture pool({describe("w1")}, 3);
    pool.submit("j", make_job({make_step(1)}));
    const std::string record = encode_record(*pool.state.find_job("j"));
    pool_state next("pool");
    next.restore(decode_record("j", record), pool.now, wall);
    next.update_worker(describe("w1"));
    next.note_recorded(next.roster(pool.now));
    base::time_point now = pool.now;
    const auto report = [&](const worker_report& rows)
    {
        now += 1s;
        next.apply_report("w1", rows, now, now, wall);
        for (const auto& change : next.take_changes(10))
            next.note_stored(change.job, 1);
    };
    report({});
    for (int failures = 1; failures <= 3; ++failures)
    {
        CHECK(next.status_of("j") != reported_status::failed);
        now += 1s;
        const auto orders = next.plan(now, wall);
        REQUIRE(orders.size() == 1);
        next.apply_start_answer(orders[0], start_answer::started, now);
        report(ended(orders[0], end_kind::failed, failures));
    }
    CHECK(next.status_of("j") == reported_status::failed);
}

// Guards against losing progress when a new owner takes over.
TEST_CASE("a record keeps the specification and the progress")
{
    pool_fixture pool({describe("w1")}, 3);
    auto part = make_step(2);
    part.is_checkpointing = true;
    part.image = "image";
    part.max_unavailable = 1;
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan_and_start();
    worker_report rows;
    rows.ended.push_back({1, orders[0].task, 1, end_kind::done, {}});
    rows.ended.push_back({2, orders[1].task, 1, end_kind::failed, "saved"});
    pool.report("w1", rows);
    const job* original = pool.state.find_job("j");
    const job copy = decode_record("j", encode_record(*original));
    CHECK(copy.spec == original->spec);
    CHECK(copy.steps[0].done == 1);
    CHECK(copy.steps[0].tasks[1].failed_runs == std::vector<int>{1});
    CHECK(copy.steps[0].tasks[1].checkpoint == "saved");
    CHECK_THROWS_AS(decode_record("j", "[]"), base::error);
    CHECK_THROWS_AS(decode_record("j", R"({"steps":[{"tasks":0}]})"),
                    base::error);
}

// Guards against moving a long-running task repeatedly during a maintenance
// wave, each time to a machine that is maintained next, which delayed a wave.
TEST_CASE("long-running tasks avoid workers to be maintained soon")
{
    pool_fixture pool({describe("w1"), describe("w2"), describe("w3")});
    pool.state.set_leaving_soon(std::vector<std::string>{"w1", "w2"});
    step_spec lasting = make_step(2);
    lasting.is_long_running = true;
    pool.submit("0000000000000001", make_job({lasting}));
    const auto orders = pool.state.plan(pool.now, wall);
    REQUIRE(orders.size() == 2);
    for (const auto& order : orders)
        CHECK(order.worker == "w3");
    // These workers are used when no other one has free capacity.
    pool.submit("0000000000000002", make_job({make_step(6)}));
    lasting.task_count = 7;
    pool.submit("0000000000000003", make_job({lasting}));
    CHECK(pool.state.plan(pool.now, wall).size() == 13);
    pool.state.set_leaving_soon({});
    CHECK(!pool.state.workers().at("w1").is_leaving_soon);
}

// Guards against starts beyond the room of a worker that does not check it
// (LIMIT): a run that an ended job has left there takes room until it is gone.
TEST_CASE("runs that a worker lists beside the current ones take room")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(8)}));
    worker_report rows;
    rows.running.push_back({{"unknown", 0, 0, 0}, 1, {}, 50});
    pool.report("w1", rows);
    CHECK(pool.state.take_stops().size() == 1);
    CHECK(pool.plan().empty());
    pool.report("w1", {});
    CHECK(pool.plan().size() == 8);
}

TEST_CASE("a run of an ended job takes the room of its task")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j1", make_job({make_step(1, 3000)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.report("w1", ended(orders[0], end_kind::done));
    pool.submit("j2", make_job({make_step(8)}));
    // Another run of the ended task.
    worker_report rows;
    rows.running.push_back({orders[0].task, 5, {}, 50});
    pool.report("w1", rows);
    CHECK(pool.plan().size() == 5);
}

// Guards against starts beyond a capacity that has shrunk while tasks run.
TEST_CASE("a worker whose capacity shrinks gets no starts until it has room")
{
    pool_fixture pool({describe("w1")});
    pool.submit("j", make_job({make_step(8)}));
    auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 8);
    pool.state.update_worker(describe("w1", 4000));
    pool.submit("j2", make_job({make_step(2)}));
    worker_report rows = running({orders.begin() + 4, orders.end()}, 50);
    for (int index = 0; index < 4; ++index)
        rows.ended.push_back(
            {index + 1, orders[index].task, 1, end_kind::done, {}});
    pool.report("w1", rows);
    CHECK(pool.plan().empty());
    pool.state.update_worker(describe("w1", 5000));
    CHECK(pool.plan().size() == 1);
}

// Guards against a long-running task that is stopped for maintenance and has no
// place to start again: both workers of its pool were to leave (LOST).
TEST_CASE("long-running tasks keep running while no other worker can take them")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    auto lasting = make_step(2, 5000);
    lasting.is_long_running = true;
    pool.submit("j", make_job({lasting}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 2);
    for (const auto& order : orders)
        pool.report(order.worker, running({order}, 100));
    const auto until = pool.now + 10s;
    // The second worker has no room for the task of the first one.
    pool.state.prepare_leave("w1", until, pool.now);
    CHECK(pool.state.take_stops().empty());
    CHECK_FALSE(pool.state.prepare_leave("w2", until, pool.now));
    CHECK(pool.state.take_stops().empty());
    CHECK(pool.state.workers().at("w2").accepts_starts(pool.now));
    pool.state.update_worker(describe("w3"));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w3", {});
    pool.state.prepare_leave("w1", until, pool.now);
    CHECK(pool.state.take_stops().size() == 1);
}

// Guards against the same after the stop: the only other worker left as well.
TEST_CASE("the last worker with room stays for a long-running task on its way")
{
    pool_fixture pool({describe("w1")});
    auto lasting = make_step(1, 5000);
    lasting.is_long_running = true;
    pool.submit("j", make_job({lasting}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.report("w1", running(orders, 100));
    pool.state.update_worker(describe("w2"));
    pool.state.note_recorded(pool.state.roster(pool.now));
    pool.report("w2", {});
    const auto until = pool.now + 10s;
    pool.state.prepare_leave("w1", until, pool.now);
    CHECK(pool.state.take_stops().size() == 1);
    CHECK_FALSE(pool.state.prepare_leave("w2", until, pool.now));
    pool.report("w1", ended(orders[0], end_kind::stopped));
    pool.now += 1s;
    CHECK(pool.plan().size() == 1);
}

// Guards against the same where the other worker has room, but may not take
// another task of the step (kowhai-retakes, LOST).
TEST_CASE("a long-running task stays where the step may not use another worker")
{
    pool_fixture pool({describe("w1"), describe("w2")});
    auto lasting = make_step(2);
    lasting.is_long_running = true;
    lasting.max_per_worker = 1;
    pool.submit("j", make_job({lasting}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 2);
    for (const auto& order : orders)
        pool.report(order.worker, running({order}, 100));
    pool.state.prepare_leave("w1", pool.now + 10s, pool.now);
    CHECK(pool.state.take_stops().empty());
}

// Guards against a job that is forgotten although the store may hold it: the
// next owner runs it again.
TEST_CASE("a job is withdrawn only if no write of it has been sent")
{
    pool_fixture pool({describe("w1")});
    const auto submit = [&](const std::string& id)
    {
        pool.state.submit(id, make_job({make_step(1)}), "queue", pool.now,
                          wall);
    };
    submit("new");
    CHECK(pool.state.withdraw("new"));
    CHECK(pool.state.find_job("new") == nullptr);
    CHECK_FALSE(pool.state.withdraw("new"));
    submit("written");
    pool.state.take_changes(100);
    CHECK_FALSE(pool.state.withdraw("written"));
    pool.state.note_not_stored("written", true);
    CHECK_FALSE(pool.state.withdraw("written"));
    pool.state.note_store_revision("written", 3);
    pool.store();
    CHECK_FALSE(pool.state.withdraw("written"));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    pool.report("w1", running(orders, 10));
    CHECK_FALSE(pool.state.withdraw("written"));
    CHECK(pool.state.find_job("written") != nullptr);
}

// Guards against a submission that was under way when callers were told that
// there is no such job, and against denials that are kept for ever.
TEST_CASE("a denied job stays denied while a submission may be under way")
{
    pool_state state("pool");
    const base::time_point begin = base::steady_now();
    state.deny("a", begin);
    CHECK_FALSE(state.is_denied("b", begin));
    state.deny("b", begin + 19s);
    CHECK(state.is_denied("a", begin + 20s));
    CHECK_FALSE(state.is_denied("a", begin + 20s + 1ms));
    state.deny("b", begin + 30s);
    CHECK_FALSE(state.is_denied("a", begin));
    CHECK(state.is_denied("b", begin + 30s));
}
