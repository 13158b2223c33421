// What an instance concludes from the assignments of queues that it knows.

#include "node/queue_knowledge.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace pimentograde;
using node::queue_knowledge;
using node::queue_pools;

namespace
{

const std::string queue = "h/q/";

platform::queue_route route_to(const std::string& pool)
{
    platform::queue_route route;
    route.host = "h";
    route.path_prefix = "/q/";
    route.policy.name = "queue";
    route.policy.pool = pool;
    return route;
}

platform::configuration configuration(std::int64_t version,
                                      const std::string& pool)
{
    platform::configuration current;
    current.version = version;
    current.queues = {route_to(pool)};
    return current;
}

/// Follows one configuration after the other and writes the record.
queue_knowledge knowledge_after(std::vector<platform::configuration> history)
{
    queue_knowledge known;
    for (const auto& current : history)
    {
        known.set_configuration(current);
        known.read_record(queue_pools::decode(known.next_record().encode()));
    }
    return known;
}

} // namespace

// Guards against a job that is accepted in two pools: an instance whose
// configuration is old reaches an owner that knows of the queue's move.
TEST_CASE("an owner accepts new jobs only under the newest assignment")
{
    auto known =
        knowledge_after({configuration(3, "a"), configuration(7, "b")});
    CHECK(known.newest(route_to("b")) == peer::queue_assignment{queue, "b", 7});
    CHECK(known.is_assigned(peer::queue_assignment{queue, "b", 7}, {}, "b"));
    CHECK_FALSE(
        known.is_assigned(peer::queue_assignment{queue, "b", 7}, {}, "a"));
    CHECK_FALSE(
        known.is_assigned(peer::queue_assignment{queue, "a", 3}, {}, "a"));
    // The queue has moved back, which this instance learns by the message.
    CHECK(known.is_assigned(peer::queue_assignment{queue, "a", 9}, {}, "a"));
    CHECK_FALSE(
        known.is_assigned(peer::queue_assignment{queue, "b", 7}, {}, "b"));
    CHECK_FALSE(
        known.is_assigned(peer::queue_assignment{queue, "a", 3}, {}, "a"));
}

// Guards against the same with senders of the version before, which state no
// assignment.
TEST_CASE("a sender that states no assignment is judged by the queue's name")
{
    auto known =
        knowledge_after({configuration(3, "a"), configuration(7, "b")});
    CHECK(known.is_assigned(std::nullopt, "queue", "b"));
    CHECK_FALSE(known.is_assigned(std::nullopt, "queue", "a"));
    // A queue of a configuration that this instance has not read.
    CHECK(known.is_assigned(std::nullopt, "unknown", "b"));
}

// Guards against a job that is not found in a pool between the two that an
// instance knows: it has been told of the newest assignment, and has not read
// which pools the queue had before.
TEST_CASE("an assignment that was told does not show the earlier pools")
{
    auto known = knowledge_after({configuration(3, "a")});
    CHECK(known.adopt({queue, "c", 9}));
    CHECK_FALSE(known.adopt({queue, "b", 7}));
    CHECK(known.newest(route_to("c")) == peer::queue_assignment{queue, "a", 3});
    queue_pools stored = queue_pools::decode(known.next_record().encode());
    stored.assign(configuration(7, "b"));
    stored.assign(configuration(9, "c"));
    known.read_record(stored);
    CHECK(known.newest(route_to("c")) == peer::queue_assignment{queue, "c", 9});
    CHECK(known.earlier_pools(route_to("c")) ==
          std::vector<std::string>{"a", "b"});
}

// Guards against a log that does not show since when an owner turns away what
// it has accepted before.
TEST_CASE("a queue's move is told once")
{
    std::vector<peer::queue_assignment> told;
    queue_knowledge known;
    known.on_move([&](const peer::queue_assignment& newest)
                  { told.push_back(newest); });
    auto writer = knowledge_after({configuration(3, "a")});
    known.read_record(writer.next_record());
    CHECK(told.empty());
    known.adopt({queue, "b", 7});
    known.adopt({queue, "a", 3});
    writer.set_configuration(configuration(7, "b"));
    known.read_record(writer.next_record());
    CHECK(told == std::vector<peer::queue_assignment>{{queue, "b", 7}});
}

// Guards against an instance that submits to, or records, a pool from which the
// queue has been moved away.
TEST_CASE("an assignment of an older configuration is superseded")
{
    auto known =
        knowledge_after({configuration(3, "a"), configuration(7, "b")});
    queue_knowledge outdated;
    outdated.set_configuration(configuration(5, "a"));
    CHECK_FALSE(outdated.is_superseded(route_to("a")));
    CHECK(outdated.is_record_outdated());
    outdated.read_record(known.next_record());
    CHECK(outdated.is_superseded(route_to("a")));
    CHECK_FALSE(outdated.is_record_outdated());
    CHECK(outdated.next_record() == known.next_record());
    outdated.set_configuration(configuration(8, "a"));
    CHECK_FALSE(outdated.is_superseded(route_to("a")));
    CHECK(outdated.is_record_outdated());
}

// Guards against a record that has lost the order of assignments since an
// instance of the version before has written it.
TEST_CASE("the order of assignments is restored in a record that lacks it")
{
    auto known =
        knowledge_after({configuration(3, "a"), configuration(7, "b")});
    known.read_record(queue_pools::decode(
        R"({"queues":[{"queue":"h/q/","pools":["a","b"]}]})"));
    CHECK(known.newest(route_to("b")) == peer::queue_assignment{queue, "b", 7});
    CHECK(known.is_record_outdated());
    known.read_record(queue_pools::decode(known.next_record().encode()));
    CHECK_FALSE(known.is_record_outdated());
    CHECK(known.newest(route_to("b")) == peer::queue_assignment{queue, "b", 7});
}
