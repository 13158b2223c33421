// Complete entry instances with a test double of the platform, on loopback.

#include "node/cluster.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Covers the callers' requests from submission to completion, also when they
// are sent to different instances.
TEST_CASE("a job submitted to one instance completes and is visible at another")
{
    cluster all(2);
    const auto& first = *all.entries[0];
    const auto& second = *all.entries[1];
    CHECK(all.client.submit(first, id_a, two_steps) == 200);
    CHECK(all.client.submit(second, id_a, two_steps) == 200);
    CHECK(all.completes(1, id_a));
    CHECK(all.client.state(first, id_a) == completed);
    CHECK(all.platform.starts_of(id_a + ".0.0.2") == 1);
    CHECK(all.platform.starts_of(id_a + ".0.1.0") == 1);
    CHECK(all.client.state(first, id_b) == "410");
    CHECK(all.client.call(first, "DELETE", "/q/" + id_b).status == 410);
    CHECK(all.client.call(first, "GET", "/other/").status == 404);
    CHECK(all.client.submit(first, "short", two_steps) == 404);
    CHECK(all.client.submit(first, id_b, "no json") == 400);
    CHECK(all.client.state(first, id_b) == "410");
    CHECK(all.client.call(first, "GET", "/q/").body == R"({"Pending":0})");
}

// Guards against a job that is acknowledged and then lost, and against a job
// that runs although it was refused.
TEST_CASE("during a store outage new jobs are refused and accepted ones go on")
{
    cluster all(1, 2, 300ms);
    const auto& only = *all.entries[0];
    CHECK(all.client.submit(only, id_a, two_steps) == 200);
    all.platform.store.faults.is_down = true;
    const auto reply = all.client.call(only, "POST", "/q/" + id_b, two_steps);
    CHECK(reply.status == 503);
    bool has_retry_after = false;
    for (const auto& [name, value] : reply.headers)
        has_retry_after = has_retry_after || name == "Retry-After";
    CHECK(has_retry_after);
    // The second step starts without the store.
    CHECK(eventually(
        [&] { return all.platform.starts_of(id_a + ".0.1.0") == 1; }, 4s));
    all.platform.store.faults.is_down = false;
    CHECK(all.completes(0, id_a));
    CHECK(all.platform.starts_of(id_b + ".0.0.0") == 0);
    CHECK(eventually(
        [&] { return all.client.submit(only, id_b, two_steps) == 200; }));
    CHECK(all.completes(0, id_b));
}

// Two concurrent submissions of one job may get different responses. Guards
// against an accepted job that is dropped because the other call was refused.
TEST_CASE("a job accepted by one of two calls in an outage completes")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    for (int round = 0; round < 5; ++round)
    {
        const std::string id = "00000000000000b" + std::to_string(round);
        all.platform.store.faults.is_down = true;
        std::vector<unsigned> answers;
        net::task_group calls;
        for (int index = 0; index < 2; ++index)
            calls.spawn(
                [&]
                {
                    const caller own;
                    answers.push_back(own.submit(only, id, two_steps));
                });
        boost::this_fiber::sleep_for(20ms);
        all.platform.store.faults.is_down = false;
        calls.join();
        const bool is_accepted =
            std::find(answers.begin(), answers.end(), 200U) != answers.end();
        CAPTURE(answers[0]);
        CAPTURE(answers[1]);
        if (is_accepted)
            CHECK(all.completes(0, id));
    }
}

// Guards against a pool that refuses all jobs for good after a refused
// submission has left its writer without work.
TEST_CASE("an idle pool accepts jobs again after a store outage")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    all.platform.store.faults.is_down = true;
    CHECK(all.client.submit(only, id_a, two_steps) == 503);
    all.platform.store.faults.is_down = false;
    CHECK(eventually(
        [&] { return all.client.submit(only, id_b, two_steps) == 200; }, 5s));
    CHECK(all.completes(0, id_b));
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 0);
}

// Guards against tasks that are restarted or abandoned when their pool's owner
// stops.
TEST_CASE("another instance takes the pool over and keeps its running tasks")
{
    cluster all(2);
    CHECK(all.client.submit(*all.entries[0], id_a, lasting) == 200);
    CHECK(eventually([&]
                     { return all.platform.starts_of(id_a + ".0.0.0") == 1; }));
    const std::size_t owner = all.owner();
    REQUIRE(owner < 2);
    const std::size_t other = 1 - owner;
    all.entries[owner]->instance->stop();
    all.entries[owner].reset();
    CHECK(eventually(
        [&]
        { return all.client.state(*all.entries[other], id_a) == running; }));
    CHECK(all.client.submit(*all.entries[other], id_b, two_steps) == 200);
    CHECK(all.completes(other, id_b));
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 1);
    CHECK(all.platform.worker("w0").running_count() +
              all.platform.worker("w1").running_count() ==
          1);
}

// Guards against a pool that stays on a weak instance, and against tasks that
// are lost or started twice during the hand-over.
TEST_CASE("a weak instance hands its pool over to a strong one that joins")
{
    cluster all(0);
    all.entries.push_back(std::make_unique<entry>(all.platform, "weak", 0.1));
    CHECK(eventually([&] { return all.owner() == 0; }));
    CHECK(all.client.submit(*all.entries[0], id_a, lasting) == 200);
    CHECK(eventually([&]
                     { return all.platform.starts_of(id_a + ".0.0.0") == 1; }));
    all.entries.push_back(std::make_unique<entry>(all.platform, "strong", 1.0));
    CHECK(eventually([&] { return all.owner() == 1; }));
    // The first instance refuses jobs until it knows the new owner.
    CHECK(eventually(
        [&]
        { return all.client.submit(*all.entries[0], id_b, two_steps) == 200; },
        2s));
    CHECK(all.completes(1, id_b));
    CHECK(all.client.state(*all.entries[1], id_a) == running);
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 1);
    CHECK(all.platform.starts_of(id_b + ".0.1.0") == 1);
}

// Guards against a task that is never restarted: each query to the silent
// worker once extended the lease of its run.
TEST_CASE("tasks of a worker that stops responding restart on another worker")
{
    cluster all(1);
    CHECK(all.client.submit(*all.entries[0], id_a, lasting) == 200);
    const std::string task = id_a + ".0.0.0";
    CHECK(eventually([&] { return all.platform.starts_of(task) == 1; }));
    const std::string busy =
        all.platform.worker("w0").running_count() > 0 ? "w0" : "w1";
    const auto begin = base::steady_now();
    all.platform.worker(busy).is_silent = true;
    CHECK(eventually([&] { return all.platform.starts_of(task) == 2; }, 10s));
    // Not before the lease of the first run has lapsed.
    CHECK(base::steady_now() - begin > 1000ms);
    all.platform.worker(busy).is_silent = false;
}

TEST_CASE("tasks of a restarted worker are started again")
{
    cluster all(1, 1);
    CHECK(all.client.submit(*all.entries[0], id_a, lasting) == 200);
    const std::string task = id_a + ".0.0.0";
    CHECK(eventually([&] { return all.platform.starts_of(task) == 1; }));
    all.platform.worker("w0").restart();
    CHECK(eventually([&] { return all.platform.starts_of(task) == 2; }));
}

TEST_CASE("a cancelled job stops and is reported as cancelled")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    CHECK(all.client.submit(only, id_a, lasting) == 200);
    CHECK(eventually([&]
                     { return all.platform.starts_of(id_a + ".0.0.0") == 1; }));
    CHECK(all.client.call(only, "DELETE", "/q/" + id_a).status == 200);
    CHECK(all.client.state(only, id_a) == R"({"State":"cancelled"})");
    CHECK(eventually(
        [&]
        {
            return all.platform.worker("w0").running_count() +
                       all.platform.worker("w1").running_count() ==
                   0;
        }));
}

// Guards against a job that runs twice or is reported as unknown when the
// store's responses are lost.
TEST_CASE("lost store responses neither lose nor duplicate a job")
{
    cluster all(1);
    all.platform.store.faults.lost_commits = 30;
    int accepted = 0;
    for (int index = 0; index < 6; ++index)
    {
        const std::string id = "00000000000000a" + std::to_string(index);
        const unsigned status =
            all.client.submit(*all.entries[0], id, two_steps);
        CHECK((status == 200 || status == 504 || status == 503));
        accepted += status == 200 ? 1 : 0;
        if (status == 503)
            continue;
        CHECK(eventually(
            [&] { return all.client.state(*all.entries[0], id) == completed; },
            30s));
        CHECK(all.platform.starts_of(id + ".0.0.0") == 1);
    }
    CHECK(accepted > 0);
    all.platform.store.faults.lost_commits = 0;
}

// Guards against a configuration change that is missed after the store has
// compacted its history.
TEST_CASE("a configuration is adopted after the store compacted its history")
{
    cluster all(1);
    all.platform.store.faults.is_compacted = true;
    all.platform.add_worker("x0", "other", 100ms);
    all.platform.configure(2, "other");
    int next = 0;
    CHECK(eventually(
        [&]
        {
            const std::string id =
                "00000000000000" + std::to_string(10 + next++ % 90);
            all.client.submit(*all.entries[0], id, two_steps);
            return !all.platform.worker("x0").starts.empty();
        }));
}

// Guards against a job that runs in two pools because its caller repeats the
// submission after the queue's pool has changed.
TEST_CASE("a resubmitted job runs once when its queue moves to another pool")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    CHECK(all.client.submit(only, id_a, two_steps) == 200);
    CHECK(all.completes(0, id_a));
    all.platform.add_worker("x0", "other", 100ms);
    all.platform.configure(2, "other");
    int next = 0;
    CHECK(eventually(
        [&]
        {
            const std::string id =
                "00000000000000" + std::to_string(10 + next++ % 90);
            all.client.submit(only, id, two_steps);
            return !all.platform.worker("x0").starts.empty();
        }));
    CHECK(all.client.submit(only, id_a, two_steps) == 200);
    CHECK(all.client.state(only, id_a) == completed);
    boost::this_fiber::sleep_for(500ms);
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 1);
}

// Guards against an instance that starts after its queue has moved to another
// pool: it knew the newest version only, answered 410 for a job that ran, and
// accepted the same job a second time (review, case 5).
TEST_CASE("jobs of a queue's earlier pool are found after all have restarted")
{
    cluster all(2, 1, 20s);
    all.platform.add_worker("x0", "other", 100ms);
    const std::vector<std::string> pools{"other"};
    all.platform.configure(2, "pool", pools);
    REQUIRE(eventually(
        [&]
        { return all.client.submit(*all.entries[0], id_a, one_task) == 200; }));
    REQUIRE(eventually(
        [&] { return all.platform.starts_of(id_a + ".0.0.0") == 1; }));
    const std::vector<std::string> old_pools{"pool"};
    all.platform.configure(3, "other", old_pools);
    for (std::size_t index = 0; index < all.entries.size(); ++index)
    {
        auto& one = all.entries[index];
        one->instance->stop();
        one.reset();
        one =
            std::make_unique<entry>(all.platform, "e" + std::to_string(index));
        REQUIRE(eventually([&] { return one->instance->is_ready(); }));
        CHECK(all.client.state(*one, id_a) != "410");
    }
    const auto& last = *all.entries[1];
    REQUIRE(eventually(
        [&] { return all.client.submit(last, id_b, one_task) == 200; }));
    CHECK(all.client.submit(last, id_a, one_task) == 200);
    CHECK(all.completes(1, id_b));
    CHECK(all.client.state(last, id_a) == running);
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 1);
    CHECK(eventually(
        [&] {
            return all.client.call(last, "DELETE", "/q/" + id_a).status == 200;
        }));
}

// Guards against waiting jobs that are missing in the count once their queue
// has moved to another pool.
TEST_CASE("jobs that wait in a queue's earlier pool are counted as pending")
{
    cluster all(1, 1, 20s);
    const auto& only = *all.entries[0];
    all.platform.add_worker("x0", "other", 100ms);
    const std::vector<std::string> other{"other"};
    all.platform.configure(2, "pool", other);
    constexpr int jobs = 6;
    for (int index = 0; index < jobs; ++index)
        REQUIRE(eventually(
            [&]
            {
                return all.client.submit(
                           only, "00000000000000" + std::to_string(10 + index),
                           whole_worker) == 200;
            }));
    const auto pending = [&]
    {
        return all.client.call(only, "GET", "/q/").body;
    };
    const std::string all_but_one = R"({"Pending":5})";
    REQUIRE(eventually([&] { return pending() == all_but_one; }));
    const std::vector<std::string> pool{"pool"};
    all.platform.configure(3, "other", pool);
    REQUIRE(eventually(
        [&] {
            return all.client.state_contains(only,
                                             "\"configuration_version\":3");
        }));
    REQUIRE(eventually(
        [&] { return all.client.submit(only, id_a, one_task) == 200; }));
    CHECK(all.completes(0, id_a));
    CHECK(pending() == all_but_one);
}

// Guards against a wave that is not completed, and against orders of one wave
// under different fences.
TEST_CASE("a maintenance wave is carried out and reported")
{
    cluster all(2, 3);
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0","m-w1"],"FinishByS":20,"Cap":1})");
    CHECK(eventually(
        [&]
        {
            return all.platform.store.value_of("status/wave/1") ==
                   R"({"State":"completed"})";
        }));
    REQUIRE(all.platform.orders.size() == 2);
    CHECK(all.platform.orders[0].fence == all.platform.orders[1].fence);
    CHECK(all.platform.orders[0].holder == all.platform.orders[1].holder);
    CHECK(all.platform.orders[0].machine != all.platform.orders[1].machine);
}

// Guards against a live worker that is named to its owner as ended since an
// order to its machine is answered as done, though it had been carried out
// before (issue 49).
TEST_CASE("an order that was carried out before ends no worker")
{
    cluster all(1, 1);
    all.platform.note_maintained("w0", 1);
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0"],"FinishByS":20,"Cap":1})");
    // An owner forgets a worker that has ended and had no runs.
    bool is_forgotten = false;
    CHECK(eventually(
        [&]
        {
            is_forgotten =
                is_forgotten || !all.client.knows_worker(*all.entries[0], "w0");
            return all.platform.store.value_of("status/wave/1") ==
                   R"({"State":"completed"})";
        }));
    CHECK_FALSE(is_forgotten);
    CHECK_FALSE(eventually(
        [&] { return !all.client.knows_worker(*all.entries[0], "w0"); }, 2s));
    CHECK(all.platform.orders.size() == 1);
    CHECK(all.platform.carried_out.empty());
}

// Guards against an owner that waits for the lease of a worker whose machine is
// in maintenance, also if the order to it got no answer in time.
TEST_CASE("a worker that an order has ended is named to its owner")
{
    for (const auto delay : {0ms, 1500ms})
    {
        cluster all(1, 1);
        all.platform.maintenance_time = 6s;
        all.platform.order_answer_delay = delay;
        all.platform.store.put(
            "op/wave/1",
            R"({"Wave":1,"Machines":["m-w0"],"FinishByS":20,"Cap":1})");
        CHECK(eventually(
            [&] { return !all.client.knows_worker(*all.entries[0], "w0"); }));
        CHECK(all.platform.carried_out.size() == 1);
    }
}

// Guards against an owner that waits for the lease of a worker whose machine an
// earlier holder has ordered, since the machine was busy for the next order.
TEST_CASE(
    "a worker whose machine is busy is named to its owner once it is gone")
{
    cluster all(1, 1);
    all.platform.maintenance_time = 6s;
    boost::this_fiber::sleep_for(600ms);
    // The machine is listed as before.
    all.platform.refuses_listings = true;
    all.platform.begin_maintenance("w0");
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0"],"FinishByS":20,"Cap":1})");
    REQUIRE(eventually([&] { return !all.platform.orders.empty(); }, 2500ms));
    boost::this_fiber::sleep_for(100ms);
    CHECK(all.client.knows_worker(*all.entries[0], "w0"));
    all.platform.refuses_listings = false;
    CHECK(eventually(
        [&] { return !all.client.knows_worker(*all.entries[0], "w0"); }, 3s));
    CHECK(all.platform.carried_out.empty());
}

// Guards against a wave that stays `running` since its last event is a machine
// that has left the fleet, and not one that is done.
TEST_CASE("a wave with a machine that has left the fleet is completed")
{
    cluster all(1, 2);
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0","m-gone"],"FinishByS":20,"Cap":2})");
    CHECK(eventually(
        [&]
        {
            return all.platform.store.value_of("status/wave/1") ==
                   R"({"State":"completed"})";
        }));
    CHECK(all.platform.carried_out.size() == 1);
}

// Guards against a wave that is reported as completed without one of its
// machines, since listings that failed count as further ones that lack it.
TEST_CASE("a machine that one listing lacks is not given up while others fail")
{
    cluster all(1, 2);
    all.platform.unlisted_machine = "m-w0";
    boost::this_fiber::sleep_for(600ms);
    all.platform.refuses_listings = true;
    boost::this_fiber::sleep_for(300ms);
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0"],"FinishByS":20,"Cap":1})");
    const auto is_completed = [&]
    {
        return all.platform.store.value_of("status/wave/1") ==
               R"({"State":"completed"})";
    };
    CHECK_FALSE(eventually(is_completed, 4500ms));
    all.platform.unlisted_machine.clear();
    all.platform.refuses_listings = false;
    CHECK(eventually(is_completed));
    CHECK(all.platform.carried_out.size() == 1);
}

// Guards against an instance that is never ready, and still owns pools that no
// other instance can reach, since its port for them was in use when it started.
TEST_CASE("an instance whose port is in use for a while becomes ready")
{
    using boost::asio::ip::tcp;
    cluster all(0);
    all.platform.configure(1, "pool");
    const std::uint16_t port = test_ports::of_this_process().reserve(2);
    std::optional<tcp::acceptor> other;
    other.emplace(
        net::this_thread_io(),
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    all.entries.push_back(
        std::make_unique<entry>(all.platform, "e0", 1.0, std::nullopt, port));
    boost::this_fiber::sleep_for(500ms);
    CHECK_FALSE(all.entries[0]->instance->is_ready());
    other.reset();
    CHECK(eventually([&] { return all.entries[0]->instance->is_ready(); }, 3s));
}

// Guards against orders by an old listing for as long as listings fail while
// orders are carried out: the machines may have other workers by then.
TEST_CASE("a holder orders nothing by a listing that is seconds old")
{
    cluster all(1, 2);
    boost::this_fiber::sleep_for(600ms);
    all.platform.refuses_listings = true;
    boost::this_fiber::sleep_for(3s);
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0"],"FinishByS":20,"Cap":1})");
    boost::this_fiber::sleep_for(1500ms);
    CHECK(all.platform.orders.empty());
    all.platform.refuses_listings = false;
    CHECK(eventually([&] { return all.platform.carried_out.size() == 1; }));
}

// Guards against orders by the machines that an earlier holding of the role has
// listed: the pools would free workers that are gone, and the present ones end
// with their tasks.
TEST_CASE("a holder orders nothing before it has listed the machines")
{
    cluster all(1, 1);
    boost::this_fiber::sleep_for(600ms);
    all.platform.refuses_listings = true;
    all.platform.store.faults.is_down = true;
    boost::this_fiber::sleep_for(5s);
    all.platform.store.faults.is_down = false;
    REQUIRE(eventually([&] { return all.has_usable_worker(); }));
    all.platform.store.put(
        "op/wave/1",
        R"({"Wave":1,"Machines":["m-w0"],"FinishByS":20,"Cap":1})");
    boost::this_fiber::sleep_for(3s);
    CHECK(all.platform.orders.empty());
    all.platform.refuses_listings = false;
    CHECK(eventually([&] { return all.platform.carried_out.size() == 1; }));
}
