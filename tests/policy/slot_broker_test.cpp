#include "policy/broker_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t history_length = 400;
const base::time_point start{1h};

history_check check_with(const broker_factory& make, std::string wanted = "")
{
    return [make, wanted](const history& events)
    {
        return broker_model(make, wanted).run(events);
    };
}

void require_violation(const broker_factory& make, const std::string& wanted)
{
    const auto violation =
        find_violation(check_with(make, wanted), history_length);
    REQUIRE_MESSAGE(violation, wanted);
    MESSAGE("seed " << violation->seed << ": " << violation->cause);
}

policy::slot_request make_request(const char* department,
                                  base::priority urgency, const char* id)
{
    policy::slot_request request;
    request.department = base::department_name(department);
    request.queue = base::queue_name(std::string(department) + "-q");
    request.urgency = urgency;
    request.pool = base::pool_name("p");
    request.size = {1, 10, 0};
    request.deadline = start + 100s;
    request.id = id;
    return request;
}

struct pool_fixture
{
    explicit pool_fixture(std::uint32_t workers, std::uint32_t slots,
                          std::uint32_t max_waiting, bool may_borrow = false)
        : broker({base::member_id("m"), base::pool_name("p"), {}, {}})
    {
        policy::broker_terms terms;
        for (const char* name : {"a-q", "b-q"})
            terms.queues.push_back({base::queue_name(name), max_waiting, 10s});
        terms.departments = {{base::department_name("a"), 3},
                             {base::department_name("b"), 1}};
        terms.may_borrow = may_borrow;
        broker.set_terms(terms);
        std::vector<policy::broker_worker> all;
        for (std::uint32_t index = 0; index < workers; ++index)
            all.push_back({base::worker_id("w" + std::to_string(index)),
                           {4, 100, 0},
                           slots,
                           true});
        broker.set_workers(all);
    }

    policy::slot_broker broker;
    base::member_id member{"m"};
};

} // namespace

// Guards against overcommitted workers, grants on leaving workers, urgent
// requests queued behind batch, starved batch requests and unfair quota shares.
TEST_CASE("the broker's decisions match the model in random histories")
{
    CHECK(rc::check("broker rules",
                    []
                    {
                        const auto events = *rc::gen::resize(
                            history_length,
                            rc::gen::container<history>(
                                rc::gen::arbitrary<std::uint32_t>()));
                        const auto cause =
                            broker_model(make_slot_broker).run(events);
                        if (cause)
                            RC_FAIL(*cause);
                    }));
    const auto violation =
        find_violation(check_with(make_slot_broker), 2 * history_length);
    CHECK_MESSAGE(!violation, (violation ? violation->cause : ""));
}

// Checks that the model detects the violations of a FIFO queue.
TEST_CASE("the model rejects a queue in order of arrival")
{
    require_violation(make_fifo_broker, "batch granted while urgent");
    require_violation(make_fifo_broker, "smaller share of its quota");
    require_violation(make_fifo_broker, "just refused as full");
}

// Checks that the model detects starved batch requests and unfair shares.
TEST_CASE("the model rejects strict priority")
{
    require_violation(make_strict_priority_broker, "less than one in 8");
    require_violation(make_strict_priority_broker,
                      "smaller share of its quota");
}

// Guards against a department that takes all slots by flooding its queue.
TEST_CASE("departments with waiting requests get their quota's share")
{
    pool_fixture pool(4, 4, 1000);
    std::map<std::string, int> held;
    std::map<std::uint64_t, std::string> waiting;
    std::vector<policy::slot_grant> order;
    std::map<std::string, std::string> owner;
    auto now = start;
    int next = 0;
    const auto grant =
        [&](const std::string& department, const policy::slot_grant& given)
    {
        ++held[department];
        owner[given.id] = department;
        order.push_back(given);
    };
    const auto ask = [&](const char* department)
    {
        const auto id = std::to_string(next++);
        auto request =
            make_request(department, base::priority::urgent, id.c_str());
        const auto result = pool.broker.submit(request, pool.member, {}, now);
        if (result.decision && result.decision->grant)
            grant(department, *result.decision->grant);
        else if (!result.decision)
            waiting[result.ticket] = department;
    };
    for (int index = 0; index < 200; ++index)
        ask("a");
    for (int index = 0; index < 20; ++index)
        ask("b");
    for (int index = 0; index < 60; ++index)
    {
        const auto done = order.front();
        order.erase(order.begin());
        --held[owner[done.id]];
        pool.broker.release(done, policy::slot_outcome::succeeded, now);
        for (const auto& event : pool.broker.advance(now))
            grant(waiting[event.ticket], *event.decision.grant);
        ask("b");
        // 16 slots at quotas 3 to 1 give 12 and 4 once the first 16 grants
        // have been returned.
        if (index >= 16)
        {
            CHECK(held["b"] >= 4);
            CHECK(held["a"] >= 11);
        }
    }
}

// Guards against refusing a request only after its caller has timed out.
TEST_CASE("requests that cannot be served are refused at once")
{
    pool_fixture pool(1, 1, 2);
    const auto reason = [&](policy::slot_request request)
    {
        const auto result = pool.broker.submit(
            request, pool.member, {1, request.expected_time}, start);
        REQUIRE(result.decision);
        REQUIRE_FALSE(result.decision->grant);
        return to_string(result.decision->refusal);
    };
    auto large = make_request("a", base::priority::urgent, "l");
    large.size.cores = 5;
    CHECK(reason(large) == "too_large");
    auto excluded = make_request("a", base::priority::urgent, "e");
    excluded.excluded = {base::worker_id("w0")};
    CHECK(reason(excluded) == "no_worker");
    auto late = make_request("a", base::priority::urgent, "d");
    late.deadline = start;
    CHECK(reason(late) == "wait_too_long");

    auto slow = make_request("a", base::priority::batch, "0");
    slow.expected_time = 6s;
    CHECK(
        pool.broker.submit(slow, pool.member, {1, 6s}, start).decision->grant);
    slow.id = "1";
    CHECK_FALSE(pool.broker.submit(slow, pool.member, {1, 6s}, start).decision);
    slow.id = "2";
    CHECK_FALSE(pool.broker.submit(slow, pool.member, {1, 6s}, start).decision);
    slow.id = "3";
    CHECK(reason(slow) == "queue_full");
    pool.broker.cancel("2", start);
    auto hurried = slow;
    hurried.deadline = start + 5s;
    CHECK(reason(hurried) == "wait_too_long");
}

// Guards against a second grant when a caller repeats a request because the
// response was lost.
TEST_CASE("a repeated request returns the same grant")
{
    pool_fixture pool(2, 1, 2);
    const auto request = make_request("a", base::priority::urgent, "x");
    const auto first = pool.broker.submit(request, pool.member, {}, start);
    const auto second = pool.broker.submit(request, pool.member, {}, start);
    REQUIRE(first.decision->grant);
    REQUIRE(second.decision->grant);
    CHECK(first.decision->grant->worker == second.decision->grant->worker);
    CHECK(pool.broker.state(start).used == 1);
    pool.broker.cancel("x", start);
    CHECK(pool.broker.state(start).used == 0);
}

// Guards against slots that stay in use after the member that holds them is
// gone.
TEST_CASE("dropping a member removes its grants and requests")
{
    pool_fixture pool(1, 2, 4);
    const base::member_id lost("lost");
    for (const char* id : {"1", "2", "3"})
        pool.broker.submit(make_request("a", base::priority::urgent, id), lost,
                           {}, start);
    CHECK(pool.broker.state(start).used == 2);
    CHECK(pool.broker.waiting_count() == 1);
    pool.broker.drop_member(lost, start);
    CHECK(pool.broker.state(start).used == 0);
    CHECK(pool.broker.waiting_count() == 0);
}

// Guards against treating a worker as free although other brokers use its
// slots, and against counting this broker's own slots twice because a report
// arrives late.
TEST_CASE("reports add slots used by other brokers, not own slots")
{
    pool_fixture pool(1, 4, 4);
    const base::worker_id worker("w0");
    const auto first = pool.broker.submit(
        make_request("a", base::priority::urgent, "1"), pool.member, {}, start);
    pool.broker.record_report(worker, 1, start);
    CHECK(pool.broker.state(start).used == 1);
    pool.broker.release(*first.decision->grant, policy::slot_outcome::succeeded,
                        start + 10ms);
    // This late report still includes the slot that has been released.
    pool.broker.record_report(worker, 1, start + 20ms);
    CHECK(pool.broker.state(start + 20ms).used == 0);
    pool.broker.record_report(worker, 4, start + 30ms);
    pool.broker.record_report(worker, 4, start + 40ms);
    CHECK(pool.broker.state(start + 40ms).used == 4);
    const auto full =
        pool.broker.submit(make_request("a", base::priority::urgent, "2"),
                           pool.member, {}, start + 40ms);
    CHECK_FALSE(full.decision);
    CHECK(pool.broker.state(start + 10s).used == 0);
}
