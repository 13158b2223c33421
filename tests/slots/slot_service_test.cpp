#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "slots/slot_cluster.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;
using policy::slot_outcome;
using policy::slot_refusal;

namespace
{

struct two_members
{
    two_members()
    {
        net::this_thread_io();
        for (const char* pool : {"p", "q", "s"})
            cluster.move_broker(pool, "m1");
        cluster.set_fleet(make_bundle(2, 1));
    }

    slot_cluster cluster{{"m1", "m2"}};
    dispatch::slot_service& broker = cluster.at("m1");
    dispatch::slot_service& other = cluster.at("m2");
};

/// A request that no pool lends a slot for, because its task takes longer than
/// 3 s.
policy::slot_request make_long_request(base::duration time_limit)
{
    auto request = make_request("a", "p", time_limit);
    request.expected_time = 10s;
    return request;
}

} // namespace

// Guards against a waiting fiber that is not woken by a release.
TEST_CASE("a waiting request gets the slot that is released")
{
    two_members members;
    for (auto* service : {&members.broker, &members.other})
    {
        const auto request = make_long_request(1s);
        const auto first = service->acquire(request);
        const auto second = service->acquire(request);
        REQUIRE(first.grant);
        REQUIRE(second.grant);
        policy::slot_decision third;
        net::task_group fibers;
        fibers.spawn([&] { third = service->acquire(request); });
        boost::this_fiber::sleep_for(20ms);
        CHECK_FALSE(third.grant);
        service->release(request, *first.grant, slot_outcome::succeeded, 20ms);
        fibers.join();
        REQUIRE(third.grant);
        CHECK(third.grant->worker == first.grant->worker);
        CHECK(third.grant->broker.str() == "m1");
        service->release(request, *second.grant, slot_outcome::succeeded, 1ms);
        service->release(request, *third.grant, slot_outcome::succeeded, 1ms);
        boost::this_fiber::sleep_for(10ms);
        CHECK(members.cluster.used_slots() == 0);
    }
}

// Guards against a request that waits past its deadline.
TEST_CASE("a request is refused at its deadline")
{
    two_members members;
    const auto request = make_long_request(50ms);
    members.broker.acquire(request);
    members.broker.acquire(request);
    const auto start = base::steady_now();
    const auto refused = members.other.acquire(request);
    CHECK_FALSE(refused.grant);
    CHECK(refused.refusal == slot_refusal::wait_too_long);
    CHECK(base::steady_now() - start < 200ms);
    CHECK(members.other.refused(slot_refusal::wait_too_long) == 1);
}

// Guards against a pool that stops serving requests while its broker is
// unreachable. Workers are then chosen by two random choices.
TEST_CASE("workers are chosen at random while the broker is unreachable")
{
    two_members members;
    members.cluster.set_down("m1", true);
    const auto request = make_request("a", "p", 1s);
    const auto first = members.other.acquire(request);
    const auto second = members.other.acquire(request);
    REQUIRE(first.grant);
    REQUIRE(second.grant);
    CHECK(first.grant->broker.empty());
    CHECK(first.grant->worker != second.grant->worker);
    CHECK(members.other.counters().unbrokered == 2);
    const auto third = members.other.acquire(request);
    CHECK(third.refusal == slot_refusal::no_worker);
    members.other.release(request, *first.grant, slot_outcome::succeeded, 1ms);
    CHECK(members.other.acquire(request).grant);
    members.cluster.set_down("m1", false);
    CHECK(members.other.acquire(request).grant->broker.str() == "m1");
}

// Guards against requests that keep waiting at a member that is no longer the
// broker.
TEST_CASE("waiting requests are redirected to a new broker")
{
    two_members members;
    const auto request = make_long_request(1s);
    members.broker.acquire(request);
    members.broker.acquire(request);
    policy::slot_decision local;
    policy::slot_decision remote;
    net::task_group fibers;
    fibers.spawn([&] { local = members.broker.acquire(request); });
    fibers.spawn([&] { remote = members.other.acquire(request); });
    boost::this_fiber::sleep_for(20ms);
    const auto moved = base::steady_now();
    members.cluster.move_broker("p", "m2");
    fibers.join();
    REQUIRE(local.grant);
    REQUIRE(remote.grant);
    CHECK(local.grant->broker.str() == "m2");
    CHECK(remote.grant->broker.str() == "m2");
    CHECK(base::steady_now() - moved < 200ms);
    CHECK(members.broker.counters().redirected == 1);
    CHECK(members.other.counters().redirected == 1);
    CHECK_THROWS_AS(
        members.broker.handle_acquire(base::member_id("m2"), request),
        base::error);
}

// Guards against slots that stay in use by a member that was dropped.
TEST_CASE("slots and requests of a dropped member are released")
{
    two_members members;
    const auto request = make_long_request(1s);
    members.other.acquire(request);
    members.other.acquire(request);
    policy::slot_decision waiting;
    net::task_group fibers;
    fibers.spawn([&] { waiting = members.other.acquire(request); });
    boost::this_fiber::sleep_for(20ms);
    members.broker.drop_member(base::member_id("m2"));
    fibers.join();
    CHECK_FALSE(waiting.grant);
    CHECK(members.cluster.used_slots() == 0);
    CHECK(members.broker.acquire(request).grant);
}

// Guards against leaking a slot when the response of its grant is lost.
TEST_CASE("a slot whose grant response was lost is returned")
{
    for (const bool cancels : {true, false})
    {
        two_members members;
        if (!cancels)
            members.cluster.lose_cancellations();
        members.cluster.lose_next_response();
        const auto request = make_request("a", "p", 1s);
        const auto decision = members.other.acquire(request);
        REQUIRE(decision.grant);
        CHECK(decision.grant->broker.empty());
        members.other.release(request, *decision.grant, slot_outcome::succeeded,
                              1ms);
        boost::this_fiber::sleep_for(10ms);
        // Without the cancellation, the slot stays in use.
        CHECK(members.cluster.used_slots() == (cancels ? 0 : 1));
    }
}

// Guards against refusals by a full pool while others are idle, a wrong order
// of lenders, and borrowed slots that are not returned.
TEST_CASE("a full pool borrows from the spare pool and then from others")
{
    net::this_thread_io();
    slot_cluster cluster({"m1", "m2"});
    cluster.move_broker("p", "m1");
    cluster.move_broker("q", "m1");
    cluster.move_broker("s", "m2");
    // Four slots per pool; each lender keeps one in reserve.
    cluster.set_fleet(make_bundle(4, 1));
    auto& user = cluster.at("m2");
    const auto request = make_request("a", "p", 300ms);
    std::map<std::string, int> by_pool;
    std::vector<policy::slot_grant> grants;
    for (int index = 0; index < 10; ++index)
    {
        const auto decision = user.acquire(request);
        REQUIRE(decision.grant);
        grants.push_back(*decision.grant);
        ++by_pool[decision.grant->pool.str()];
        if (index < 4)
            CHECK(decision.grant->pool.str() == "p");
        else if (index < 7)
            CHECK(decision.grant->pool.str() == "s");
    }
    CHECK(by_pool["p"] == 4);
    CHECK(by_pool["s"] == 3);
    CHECK(by_pool["q"] == 3);
    const auto state = cluster.at("m1").snapshot();
    const auto& pools = state.at("pools").as_object();
    CHECK(pools.at("p").at("borrowed").to_number<int>() == 6);
    CHECK(pools.at("q").at("lent").to_number<int>() == 3);
    CHECK(user.acquire(request).refusal == slot_refusal::wait_too_long);
    for (const auto& grant : grants)
        user.release(request, grant, slot_outcome::succeeded, 10ms);
    boost::this_fiber::sleep_for(20ms);
    CHECK(cluster.used_slots() == 0);
}

// Guards against leaking a borrowed slot: its lender knows it under another id
// than the request's, so a lookup by the request's id alone misses it.
TEST_CASE("a borrowed slot whose grant response was lost is returned")
{
    two_members members;
    members.cluster.set_fleet(make_bundle(4, 1));
    std::vector<policy::slot_grant> own;
    const auto request = make_request("a", "p", 200ms);
    for (int index = 0; index < 4; ++index)
        own.push_back(*members.broker.acquire(request).grant);
    members.cluster.lose_next_response();
    const auto decision = members.other.acquire(request);
    CHECK(members.broker.counters().borrowed == 1);
    boost::this_fiber::sleep_for(10ms);
    for (const auto& grant : own)
        members.broker.release(request, grant, slot_outcome::unused, {});
    if (decision.grant)
        members.other.release(request, *decision.grant, slot_outcome::unused,
                              {});
    boost::this_fiber::sleep_for(10ms);
    CHECK(members.cluster.used_slots() == 0);
}

// Guards against sending work to a leaving worker, and against never using it
// again after its return.
TEST_CASE("a leaving worker gets nothing until it returns")
{
    two_members members;
    const base::worker_id worker("p0");
    provider::worker_report report;
    report.incarnation = 5;
    report.slots = 1;
    members.broker.record_report(worker, report);
    const auto request = make_long_request(50ms);
    const auto first = members.other.acquire(request);
    REQUIRE(first.grant);
    const auto target = first.grant->worker;
    members.other.release(request, *first.grant, slot_outcome::worker_leaving,
                          {});
    boost::this_fiber::sleep_for(5ms);
    CHECK(members.broker.is_leaving(target));
    members.broker.record_leaving(worker, policy::leaving_source::instance_list,
                                  0);
    const base::worker_id second(target == worker ? "p1" : "p0");
    members.broker.record_leaving(second, policy::leaving_source::peer_hint, 0);
    CHECK_FALSE(members.other.acquire(make_long_request(50ms)).grant);
    report.incarnation = 6;
    members.broker.record_report(worker, report);
    CHECK_FALSE(members.broker.is_leaving(worker));
    const auto again = members.other.acquire(make_long_request(50ms));
    REQUIRE(again.grant);
    CHECK(again.grant->worker == worker);
}

// Guards against retries that multiply the load on workers.
TEST_CASE("retries beyond the budget are refused")
{
    two_members members;
    auto request = make_request("a", "p", 1s);
    const auto use = [&](bool retry)
    {
        request.retry = retry;
        const auto decision = members.other.acquire(request);
        if (decision.grant)
            members.other.release(request, *decision.grant,
                                  slot_outcome::failed, 1ms);
        return decision;
    };
    CHECK(use(true).refusal == slot_refusal::retry_budget);
    int first_attempts = 0;
    for (int index = 0; index < 10; ++index)
        first_attempts += use(false).grant ? 1 : 0;
    CHECK(first_attempts == 10);
    CHECK(use(true).grant);
    CHECK(use(true).refusal == slot_refusal::retry_budget);
    CHECK(members.other.refused(slot_refusal::retry_budget) == 2);
    CHECK(members.other.counters().retried == 1);
}

// Guards against a shutdown that leaves fibers waiting.
TEST_CASE("a stop refuses waiting and new requests")
{
    two_members members;
    const auto request = make_long_request(10s);
    members.broker.acquire(request);
    members.broker.acquire(request);
    policy::slot_decision waiting;
    net::task_group fibers;
    fibers.spawn([&] { waiting = members.broker.acquire(request); });
    boost::this_fiber::sleep_for(10ms);
    members.broker.stop();
    fibers.join();
    CHECK(waiting.refusal == slot_refusal::stopping);
    CHECK(members.broker.acquire(request).refusal == slot_refusal::stopping);
    // The other member continues without this broker.
    CHECK(members.other.acquire(request).grant->broker.empty());
}

TEST_CASE("the snapshot shows the state of each pool")
{
    two_members members;
    const auto request = make_long_request(100ms);
    members.broker.acquire(request);
    members.broker.acquire(request);
    net::task_group fibers;
    fibers.spawn([&] { members.broker.acquire(request); });
    boost::this_fiber::sleep_for(10ms);
    members.broker.record_leaving(base::worker_id("q0"),
                                  policy::leaving_source::fleet_state, 0);
    const auto state = members.broker.snapshot();
    const auto& pool = state.at("pools").at("p").as_object();
    CHECK(boost::json::serialize(pool) ==
          R"({"broker":"m1","waiting":{"a-p-urgent":1},"slots":2,"used":2,)"
          R"("lent":0,"borrowed":0,"ejected":0,"leaving":0})");
    CHECK(state.at("pools").at("q").at("leaving").to_number<int>() == 1);
    fibers.join();
}
