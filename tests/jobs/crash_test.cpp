#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;
using namespace std::chrono_literals;

namespace
{

worker_description describe_at(const std::string& id,
                               const std::string& address)
{
    worker_description worker = describe(id);
    worker.address = address;
    return worker;
}

/// A pool whose workers crash and come back under new ids.
struct crashing_pool : pool_fixture
{
    int workers = 0;

    crashing_pool() : pool_fixture({}) {}
    std::string add(const std::string& address)
    {
        return add(describe_at("w" + std::to_string(++workers), address));
    }
    std::string add(const worker_description& worker)
    {
        state.update_worker(worker);
        state.note_recorded(state.roster(now));
        report(worker.id, {});
        return worker.id;
    }
    /// The next owner learns of the crash only from the worker's successor.
    void crash(const std::string& id)
    {
        const std::string address = state.workers().at(id).description.address;
        state.unlist_worker(id, now);
        state.lose_runs(id, run_loss::ended, now, wall);
        state.forget_worker(id);
        store();
        add(address);
    }
    [[nodiscard]] const task& first_task(const std::string& job)
    {
        return state.find_job(job)->steps.at(0).tasks.at(0);
    }
};

task_id first_task_of(const std::string& job)
{
    return {job, 0, 0, 0};
}

std::string worker_of(const std::vector<start_order>& orders,
                      const std::string& job)
{
    for (const start_order& order : orders)
        if (order.task.job == job)
            return order.worker;
    return {};
}

} // namespace

// Guards against a task that crashes one worker after the other.
TEST_CASE("a task under which two workers have crashed is given up")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1", "c:1", "d:1"})
        pool.add(address);
    pool.submit("j", make_job({make_step(1)}));
    std::set<std::string> addresses;
    for (int crashes = 0; crashes < 2; ++crashes)
    {
        const auto orders = pool.plan_and_start();
        REQUIRE(orders.size() == 1);
        addresses.insert(
            pool.state.workers().at(orders[0].worker).description.address);
        pool.crash(orders[0].worker);
    }
    CHECK(addresses.size() == 2);
    CHECK(pool.state.status_of("j") == reported_status::failed);
    CHECK(pool.plan().empty());
}

// Guards against giving up the innocent tasks that started beside the cause.
TEST_CASE("tasks that started beside the cause of a crash are done")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1"})
        pool.add(address);
    for (const char* job : {"cause", "j1", "j2", "j3"})
        pool.submit(job, make_job({make_step(1)}));
    std::set<std::string> done;
    int crashes = 0;
    for (int round = 0; round < 40 && done.size() < 3; ++round)
    {
        const auto orders = pool.plan_and_start();
        const std::string crashed = worker_of(orders, "cause");
        if (!crashed.empty())
        {
            ++crashes;
            pool.crash(crashed);
        }
        std::int64_t number = round * 10;
        for (const start_order& order : orders)
            if (order.worker != crashed)
            {
                pool.report(order.worker, running({order}, 10));
                pool.report(order.worker, running({order}, 50));
                pool.report(order.worker,
                            ended(order, end_kind::done, ++number));
                done.insert(order.task.job);
            }
        for (const auto& [id, worker] : pool.state.workers())
            if (worker.runs.empty())
                pool.report(id, {});
    }
    CHECK(done == std::set<std::string>{"j1", "j2", "j3"});
    CHECK(pool.state.status_of("cause") == reported_status::failed);
    CHECK(crashes <= 3);
}

// Guards against a second crash that has several suspects again.
TEST_CASE("a task that may be the cause of a crash starts apart from others")
{
    crashing_pool pool;
    const std::string worker = pool.add("a:1");
    pool.submit("j1", make_job({make_step(1)}));
    pool.submit("j2", make_job({make_step(1)}));
    REQUIRE(pool.plan_and_start().size() == 2);
    pool.crash(worker);
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 1);
    CHECK(pool.plan().empty());
    // The worker has survived the start.
    pool.report(orders[0].worker, running(orders, 10));
    pool.report(orders[0].worker, running(orders, 20));
    CHECK(pool.plan().size() == 1);
}

// Guards against an owner that is killed after a crash: the next one started
// the count from zero.
TEST_CASE("the next owner knows of the crashes under a task")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1"})
        pool.add(address);
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    pool.state.lose_runs(orders[0].worker, run_loss::ended, pool.now, wall);
    // Before the record is stored the task does not start.
    pool.now += 1s;
    CHECK(pool.plan().empty());
    const auto changes = pool.state.take_changes(10);
    REQUIRE(changes.size() == 1);

    crashing_pool next;
    next.workers = 10;
    next.state.restore(decode_record("j", changes[0].value), next.now, wall);
    next.store();
    next.state.note_stored("j", 1);
    for (const char* address : {"a:1", "b:1", "c:1"})
        next.add(address);
    const auto again = next.plan_and_start();
    REQUIRE(again.size() == 1);
    next.crash(again[0].worker);
    CHECK(next.state.status_of("j") == reported_status::failed);
}

// Guards against taking the end of a worker that was planned for a crash.
TEST_CASE("runs that end with a worker that drains do not count as crashes")
{
    crashing_pool pool;
    const std::string worker = pool.add("a:1");
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    pool.report(worker, running(orders, 10));
    pool.report(worker, running(orders, 20));
    auto draining = describe_at(worker, "a:1");
    draining.is_draining = true;
    pool.state.update_worker(draining);
    pool.crash(worker);
    CHECK(pool.first_task("j").crashes.empty());
}

// Guards against taking a partitioned worker for a crashed one.
TEST_CASE("a lapsed run that its worker reports does not count as a crash")
{
    crashing_pool pool;
    const std::string worker = pool.add("a:1");
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    pool.state.lose_runs(worker, run_loss::lapsed, pool.now, wall);
    CHECK_FALSE(pool.first_task("j").crashes.empty());
    pool.report(worker, ended(orders[0], end_kind::lapsed));
    CHECK(pool.first_task("j").crashes.empty());
}

// Guards against a crash before the run began: the restarted worker lists it.
TEST_CASE("a run that a restarted worker lists does not count as a crash")
{
    crashing_pool pool;
    const std::string worker = pool.add("a:1");
    pool.submit("j", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    pool.report(worker, of_incarnation(1, running(orders, 10)));
    pool.report(worker, of_incarnation(2, running(orders, 10)));
    CHECK(pool.first_task("j").crashes.empty());
    CHECK(pool.state.workers().at(worker).runs.contains(first_task_of("j")));
}

// Guards against a worker that crashes by itself and condemns what it is given.
TEST_CASE("more crashes are needed where workers crash by themselves")
{
    crash_history history;
    history.add({1, "w1", "a:1", true, true, crash_evidence::confirmed});
    history.add({2, "w2", "b:1", true, true, crash_evidence::confirmed});
    CHECK(history.is_cause(0.0));
    CHECK_FALSE(history.is_cause(0.01));
    history.add({3, "w3", "c:1", true, true, crash_evidence::confirmed});
    CHECK(history.is_cause(0.01));
    CHECK_FALSE(history.is_cause(0.1));
}

TEST_CASE("crashes at one address, or with other suspects, show no cause")
{
    crash_history history;
    history.add({1, "w1", "a:1", true, false, crash_evidence::confirmed});
    history.add({2, "w2", "a:1", true, true, crash_evidence::confirmed});
    CHECK_FALSE(history.is_cause(0.0));
    history.add({3, "w3", "b:1", true, false, crash_evidence::confirmed});
    CHECK_FALSE(history.is_cause(0.0));
    history.add({4, "w4", "c:1", true, true, crash_evidence::unconfirmed});
    CHECK_FALSE(history.is_cause(0.0));
    history.confirm("w4");
    CHECK(history.is_cause(0.0));
}

// Guards against giving up a healthy task whose workers were lost long after it
// had started there.
TEST_CASE("crashes under runs that outlived their start count half")
{
    crash_history history;
    for (int run = 1; run <= 3; ++run)
        history.add({run, "w", "a:" + std::to_string(run), false, true,
                     crash_evidence::confirmed});
    CHECK_FALSE(history.is_cause(0.0));
    history.add({4, "w", "a:4", false, true, crash_evidence::confirmed});
    CHECK(history.is_cause(0.0));
}

// Guards against a task whose starts crash the worker before they are answered.
TEST_CASE("crashes after starts without an answer show the cause in the end")
{
    crash_history history;
    for (int run = 1; run <= 3; ++run)
        history.add({run, "w", "a:" + std::to_string(run), true, true,
                     crash_evidence::start_unanswered});
    CHECK_FALSE(history.is_cause(0.0));
    history.add({4, "w", "a:4", true, true, crash_evidence::start_unanswered});
    CHECK(history.is_cause(0.0));
}

// Guards against an owner that ends together with the worker: the next one did
// not know of the crash.
TEST_CASE("the start of a suspect is recorded before it is sent")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1", "c:1"})
        pool.add(address);
    pool.submit("j", make_job({make_step(1)}));
    pool.crash(pool.plan_and_start().at(0).worker);
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].required_change == pool.state.change_number());
    const auto changes = pool.state.take_changes(10);
    REQUIRE(changes.size() == 1);

    crashing_pool next;
    next.workers = 10;
    next.state.restore(decode_record("j", changes[0].value), next.now, wall);
    const auto& crashes = next.first_task("j").crashes.crashes();
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[1].worker == orders[0].worker);
    CHECK(crashes[1].evidence == crash_evidence::start_unanswered);
}

TEST_CASE("a suspect whose start was not sent keeps its history")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1"})
        pool.add(address);
    pool.submit("j", make_job({make_step(1)}));
    pool.crash(pool.plan_and_start().at(0).worker);
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    pool.state.apply_start_answer(orders[0], start_answer::not_sent, pool.now);
    CHECK(pool.first_task("j").crashes.crashes().size() == 1);
}

// Guards against a task that waits for ever for a worker at another address
// although no worker there can run it (review, case 2).
TEST_CASE("a suspect returns to the only worker that can run it")
{
    crashing_pool pool;
    pool.add("a:1");
    auto special = describe_at("special", "b:1");
    step_spec part = make_step(1);
    SUBCASE("by its label")
    {
        special.labels.emplace_back("b");
        part.required_label = "b";
    }
    SUBCASE("by its capacity")
    {
        special.capacity.gpus = 1;
        part.need.gpus = 1;
    }
    pool.add(special);
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan_and_start();
    REQUIRE(worker_of(orders, "j") == "special");
    pool.state.lose_runs("special", run_loss::ended, pool.now, wall);
    pool.store();
    special.born_ms = 2;
    pool.add(special);
    CHECK(worker_of(pool.plan(), "j") == "special");
}

// The same where other tasks that last take the room at the other address.
TEST_CASE("a suspect does not wait for room that tasks without end take")
{
    crashing_pool pool;
    pool.add("a:1");
    step_spec lasting = make_step(1, 8000);
    lasting.is_long_running = true;
    pool.submit("lasting", make_job({lasting}));
    REQUIRE(pool.plan_and_start().size() == 1);
    pool.add("b:1");
    pool.submit("j", make_job({make_step(1)}));
    pool.crash(worker_of(pool.plan_and_start(), "j"));
    CHECK(worker_of(pool.plan(), "j") == "w3");
}

// The same where tasks of its own step take the places at the other address.
TEST_CASE("a suspect does not wait for places that its own step takes")
{
    crashing_pool pool;
    step_spec part = make_step(2);
    part.max_per_worker = 1;
    part.is_long_running = true;
    pool.add("a:1");
    pool.add("b:1");
    pool.submit("j", make_job({part}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 2);
    pool.crash("w2");
    CHECK(worker_of(pool.plan(), "j") == "w3");
}

// The same for a gang that needs the worker where it has crashed.
TEST_CASE("a suspected gang uses all workers when it needs them")
{
    crashing_pool pool;
    step_spec part = make_step(2, 8000);
    part.is_gang = true;
    pool.add("a:1");
    pool.add("b:1");
    pool.submit("j", make_job({part}));
    REQUIRE(pool.plan_and_start().size() == 2);
    pool.crash("w2");
    pool.report("w1", {});
    CHECK(pool.plan().size() == 2);
}

// Guards against starting a suspect where it has crashed while another worker
// will have room.
TEST_CASE("a suspect waits for room at another address")
{
    crashing_pool pool;
    pool.add("a:1");
    pool.submit("other", make_job({make_step(1, 8000)}));
    REQUIRE(pool.plan_and_start().size() == 1);
    pool.add("b:1");
    pool.submit("j", make_job({make_step(1)}));
    pool.crash(worker_of(pool.plan_and_start(), "j"));
    CHECK(pool.plan().empty());
}

// Guards against a healthy job that is given up since the workers under its
// task crashed twice (review, case 1).
TEST_CASE("a job that lasts is never given up for crashes")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1", "c:1", "d:1"})
        pool.add(address);
    step_spec part = make_step(1);
    part.is_long_running = true;
    pool.submit("j", make_job({part}));
    base::time_point crashed_at = pool.now;
    for (int crashes = 0; crashes < 20; ++crashes)
    {
        std::vector<start_order> orders;
        while (orders.empty() && pool.now < crashed_at + 6s)
        {
            pool.now += 250ms;
            orders = pool.plan_and_start();
        }
        CAPTURE(crashes);
        REQUIRE(orders.size() == 1);
        crashed_at = pool.now;
        pool.crash(orders[0].worker);
    }
    CHECK(pool.state.status_of("j") == reported_status::running);
    CHECK(pool.state.isolated_tasks().size() == 1);
}

// Guards against an isolated task that takes others down with its worker.
TEST_CASE("a lasting task that crashes its workers is started alone")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1", "c:1"})
        pool.add(address);
    step_spec part = make_step(1);
    part.is_long_running = true;
    pool.submit("cause", make_job({part}));
    for (int crashes = 0; crashes < 2; ++crashes)
    {
        pool.crash(worker_of(pool.plan_and_start(), "cause"));
        pool.now += 1s;
    }
    pool.submit("other", make_job({make_step(1)}));
    const auto orders = pool.plan_and_start();
    REQUIRE(orders.size() == 2);
    CHECK(worker_of(orders, "cause") != worker_of(orders, "other"));
}

// Guards against a task that never starts since no worker can be free of the
// others that last.
TEST_CASE("an isolated task shares a worker where all run tasks that last")
{
    crashing_pool pool;
    step_spec part = make_step(1);
    part.is_long_running = true;
    pool.add("a:1");
    pool.submit("cause", make_job({part}));
    std::string worker = worker_of(pool.plan_and_start(), "cause");
    for (const char* address : {"b:1", "c:1"})
    {
        pool.add(address);
        pool.crash(worker);
        pool.now += 1s;
        worker = worker_of(pool.plan_and_start(), "cause");
        REQUIRE_FALSE(worker.empty());
    }
    pool.crash(worker);
    const int workers = static_cast<int>(pool.state.workers().size());
    step_spec everywhere = make_step(workers);
    everywhere.is_long_running = true;
    everywhere.max_per_worker = 1;
    pool.submit("everywhere", make_job({everywhere}));
    const auto others = pool.plan_and_start();
    REQUIRE(others.size() == pool.state.workers().size());
    for (int round = 0; round < 2; ++round)
        for (const start_order& order : others)
            pool.report(order.worker, running({order}, 100));
    pool.now += 4s;
    CHECK_FALSE(worker_of(pool.plan(), "cause").empty());
}

// Guards against idle workers that are kept free for a task that none of them
// can run, while other jobs wait (review, case 3).
TEST_CASE("no worker is kept free for a suspect that cannot run there")
{
    crashing_pool pool;
    pool.add("a:1");
    pool.add("b:1");
    auto special = describe_at("special", "c:1");
    special.labels.emplace_back("b");
    pool.add(special);
    step_spec part = make_step(1);
    part.required_label = "b";
    part.is_long_running = true;
    pool.submit("suspect", make_job({part}));
    REQUIRE(worker_of(pool.plan_and_start(), "suspect") == "special");
    pool.state.unlist_worker("special", pool.now);
    pool.state.lose_runs("special", run_loss::ended, pool.now, wall);
    pool.state.forget_worker("special");
    pool.store();
    CHECK(pool.plan().empty());
    pool.submit("other", make_job({make_step(2, 8000)}));
    CHECK(pool.plan().size() == 2);
}

// Guards against a suspect that keeps workers free without end although it
// cannot start on them.
TEST_CASE("workers are kept free for a suspect for a limited time")
{
    crashing_pool pool;
    pool.add("a:1");
    // Three crashes after its start: it runs alone.
    pool.submit("suspect", make_job({make_step(1)}));
    for (int crashes = 0; crashes < 3; ++crashes)
    {
        const auto orders = pool.plan_and_start();
        REQUIRE(orders.size() == 1);
        for (int round = 1; round < 4; ++round)
            pool.report(orders[0].worker, running(orders, round));
        pool.crash(orders[0].worker);
    }
    REQUIRE(pool.state.status_of("suspect") == reported_status::running);
    pool.submit("busy", make_job({make_step(1)}));
    const auto busy = pool.plan_and_start();
    REQUIRE(worker_of(busy, "busy") == "w4");
    pool.submit("other", make_job({make_step(1)}));
    bool has_started = false;
    for (int round = 0; round < 30 && !has_started; ++round)
    {
        pool.report("w4", running(busy, round));
        pool.now += 100ms;
        has_started = !worker_of(pool.plan(), "other").empty();
    }
    CHECK(has_started);
}

// Guards against a crash of a worker that counts against a task whose start
// order had not arrived there.
TEST_CASE("a restart before a late start arrives does not count as a crash")
{
    crashing_pool pool;
    const std::string worker = pool.add("a:1");
    pool.report(worker, of_incarnation(1));
    SUBCASE("the worker has reported without the run")
    {
        pool.plan_unanswered();
        pool.report(worker, of_incarnation(1));
        for (const stop_order& order : pool.state.take_stops())
            pool.state.apply_stop_answer(order, false, pool.now);
        pool.report(worker, of_incarnation(2));
    }
    SUBCASE("the worker refuses the start after its restart")
    {
        pool.submit("j", make_job({make_step(1)}));
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        pool.report(worker, of_incarnation(2));
        pool.state.apply_start_answer(orders[0], start_answer::no_room,
                                      pool.now);
    }
    SUBCASE("an earlier owner has sent the start")
    {
        pool.plan_unanswered();
        const auto roster = pool.state.final_roster(pool.now);
        crashing_pool next;
        next.state.restore(
            decode_record("j", encode_record(*pool.state.find_job("j"))),
            next.now, wall);
        for (const roster_entry& entry : roster)
            next.state.inherit_worker(entry, next.now + 2s, next.now);
        next.report(worker, of_incarnation(2));
        CHECK(next.first_task("j").crashes.empty());
    }
    CHECK(pool.first_task("j").crashes.empty());
}

// Guards against giving up a task for bursts of crashes that came right after
// its starts.
TEST_CASE("crashes in bursts right after starts count half")
{
    crash_history history;
    for (int run = 1; run <= 4; ++run)
    {
        CHECK_FALSE(history.is_cause(0.0));
        history.add({run, "w", "a:" + std::to_string(run), true, true,
                     crash_evidence::confirmed});
        CHECK(history.note_burst(run));
        CHECK_FALSE(history.note_burst(run));
    }
    CHECK(history.is_cause(0.0));
    CHECK_FALSE(history.is_cause(0.1));
    // Limits the workers that one task may crash.
    history.add({5, "w", "a:5", true, true, crash_evidence::confirmed});
    history.note_burst(5);
    CHECK(history.is_cause(0.1));
}

// Guards against a healthy job that is given up since its task starts on a
// worker just before each of two bursts.
TEST_CASE("a task is not given up for two bursts of crashes at its starts")
{
    crashing_pool pool;
    for (int index = 0; index < 6; ++index)
        pool.add("a:" + std::to_string(index));
    pool.submit("j", make_job({make_step(1)}));
    for (int burst = 0; burst < 2; ++burst)
    {
        const std::string other = "other" + std::to_string(burst);
        pool.submit(other, make_job({make_step(4, 8000)}));
        std::vector<start_order> orders;
        for (int round = 0; round < 2; ++round)
            for (const start_order& order : pool.plan_and_start())
                orders.push_back(order);
        const std::string worker = worker_of(orders, "j");
        REQUIRE_FALSE(worker.empty());
        int lost = 0;
        for (const start_order& order : orders)
            if (order.task.job == other && ++lost <= 2)
                pool.crash(order.worker);
        REQUIRE(lost >= 2);
        pool.crash(worker);
        REQUIRE(pool.first_task("j").crashes.crashes().size() ==
                static_cast<std::size_t>(burst + 1));
        CHECK(pool.first_task("j").crashes.crashes().back().is_in_burst);
        pool.state.cancel(other, wall);
        pool.store();
    }
    CHECK(pool.state.status_of("j") == reported_status::running);
    const auto& crashes = pool.first_task("j").crashes.crashes();
    job restored = decode_record("j", encode_record(*pool.state.find_job("j")));
    CHECK(restored.steps.at(0).tasks.at(0).crashes.crashes() == crashes);
}

// Guards against a healthy job that is given up since its task can run in one
// rack only, which goes dark several times while the task runs.
TEST_CASE(
    "bursts of crashes under runs that outlived their start show no cause")
{
    constexpr int bursts = 8;
    crashing_pool pool;
    for (int index = 0; index < 4; ++index)
        pool.add("a:" + std::to_string(index));
    pool.submit("j", make_job({make_step(1)}));
    for (int burst = 0; burst < bursts; ++burst)
    {
        std::vector<start_order> orders;
        const auto start = [&](std::size_t tasks)
        {
            for (int round = 0; round < 40 && orders.size() < tasks; ++round)
            {
                for (const start_order& order : pool.plan_and_start())
                    orders.push_back(order);
                pool.now += 250ms;
            }
        };
        start(1);
        REQUIRE_FALSE(worker_of(orders, "j").empty());
        const std::string other = "other" + std::to_string(burst);
        pool.submit(other, make_job({make_step(3, 8000)}));
        start(4);
        REQUIRE(orders.size() == 4);
        for (int look = 0; look < 3; ++look)
            for (const start_order& order : orders)
                pool.report(order.worker, running({order}, 10 + look));
        for (const start_order& order : orders)
            pool.crash(order.worker);
        pool.state.cancel(other, wall);
        pool.store();
        pool.now += 20s;
        REQUIRE(pool.state.status_of("j") == reported_status::running);
    }
}

// Guards against the same where the other workers of the rack are idle, so that
// only their missing entries tell of their loss.
TEST_CASE("the loss of idle workers beside a crash shows a burst")
{
    constexpr int bursts = 8;
    crashing_pool pool;
    for (int index = 0; index < 4; ++index)
        pool.add("a:" + std::to_string(index));
    pool.submit("j", make_job({make_step(1)}));
    for (int burst = 0; burst < bursts; ++burst)
    {
        std::vector<start_order> orders;
        for (int round = 0; round < 40 && orders.empty(); ++round)
        {
            orders = pool.plan_and_start();
            pool.now += 250ms;
        }
        REQUIRE(orders.size() == 1);
        for (int look = 0; look < 3; ++look)
            pool.report(orders[0].worker, running(orders, 10 + look));
        std::vector<std::string> idle;
        for (const auto& [id, worker] : pool.state.workers())
            if (id != orders[0].worker)
                idle.push_back(id);
        pool.crash(orders[0].worker);
        for (const std::string& id : idle)
            pool.crash(id);
        pool.now += 20s;
        REQUIRE(pool.state.status_of("j") == reported_status::running);
    }
}

// Guards against a crash that counts half although the next owner learns that
// the run was on the worker.
TEST_CASE("a run known to have been on its worker counts in full")
{
    crash_history history;
    history.add({1, "w1", "a:1", true, true, crash_evidence::confirmed});
    history.add({2, "w2", "b:1", true, true, crash_evidence::start_unanswered});
    CHECK_FALSE(history.is_cause(0.0));
    history.add({2, "w2", "b:1", true, true, crash_evidence::unconfirmed});
    history.confirm("w2");
    CHECK(history.is_cause(0.0));
    CHECK(history.crashes().size() == 2);
}

// Guards against owners that end before they have noted a crash: each next one
// started the task again.
TEST_CASE("the next owner does not start the cause of crashes")
{
    crashing_pool pool;
    for (const char* address : {"a:1", "b:1", "c:1", "d:1"})
        pool.add(address);
    pool.submit("j", make_job({make_step(1)}));
    pool.crash(pool.plan_and_start().at(0).worker);
    std::string record;
    for (int owners = 0; owners < 2; ++owners)
    {
        // The owner ends right after its start.
        const auto orders = pool.plan();
        REQUIRE(orders.size() == 1);
        record = encode_record(*pool.state.find_job("j"));
        crashing_pool next;
        next.state.restore(decode_record("j", record), next.now, wall);
        for (const char* address : {"e:1", "f:1", "g:1", "h:1"})
            next.add(address);
        next.store();
        std::swap(pool.state, next.state);
        pool.now = next.now;
    }
    CHECK(pool.plan().empty());
    pool.store();
    CHECK(pool.state.status_of("j") == reported_status::failed);
}
