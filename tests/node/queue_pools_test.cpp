#include "base/error.hpp"
#include "node/queue_pools.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace pimentograde;
using node::queue_pools;

namespace
{

platform::queue_route route_to(const std::string& prefix,
                               const std::string& pool,
                               const std::string& name = "queue")
{
    platform::queue_route route;
    route.host = "h";
    route.path_prefix = prefix;
    route.policy.name = name;
    route.policy.pool = pool;
    return route;
}

platform::configuration with(std::vector<platform::queue_route> routes)
{
    platform::configuration current;
    current.queues = std::move(routes);
    return current;
}

} // namespace

// Guards against jobs that are not found after their queue has moved.
TEST_CASE("the earlier pools of a queue are known from all versions")
{
    queue_pools known;
    CHECK(known.add(with({route_to("/q/", "a")})));
    CHECK_FALSE(known.add(with({route_to("/q/", "a")})));
    CHECK(known.add(with({route_to("/q/", "b")})));
    CHECK(known.contains(route_to("/q/", "a")));
    CHECK(known.earlier_pools(route_to("/q/", "b")) ==
          std::vector<std::string>{"a"});
    // A version that moves the queue back.
    CHECK(known.earlier_pools(route_to("/q/", "a")) ==
          std::vector<std::string>{"b"});
    CHECK(known.earlier_pools(route_to("/other/", "a")).empty());
}

// Guards against jobs that are not found since a version has renamed the route,
// has removed it for a while, or both.
TEST_CASE("a queue is known by its path also when its route is replaced")
{
    queue_pools known;
    known.add(with({route_to("/q/", "a", "old")}));
    known.add(with({}));
    known.add(with({route_to("/q/", "b", "new")}));
    CHECK(known.earlier_pools(route_to("/q/", "b", "new")) ==
          std::vector<std::string>{"a"});
}

TEST_CASE("the pools of queues are read as they were written")
{
    queue_pools known;
    known.add(with({route_to("/q/", "a"), route_to("/r/", "c")}));
    known.add(with({route_to("/q/", "b")}));
    CHECK(queue_pools::decode(known.encode()) == known);
    for (const char* text : {"", "{", "[]", "{}", R"({"queues":[{}]})",
                             R"({"queues":[{"queue":1,"pools":[]}]})",
                             R"({"queues":[{"queue":"q","pools":["a"],
                                 "assigned_pool":"a"}]})"})
        CHECK_THROWS_AS(queue_pools::decode(text), base::error);
}

// Guards against pools that are forgotten with the queues that had them.
TEST_CASE("pools that any queue may have had are earlier pools of each queue")
{
    queue_pools known;
    known.add_for_all("a");
    known.add_for_all("b");
    for (std::size_t index = 0; index < queue_pools::max_queues + 10; ++index)
        known.add(with({route_to("/" + std::to_string(index) + "/", "a")}));
    known = queue_pools::decode(known.encode());
    CHECK(known.earlier_pools(route_to("/new/", "b")) ==
          std::vector<std::string>{"a"});
    CHECK_FALSE(known.contains(route_to("/new/", "b")));
}

// Guards against a value that grows for ever with routes that come and go.
TEST_CASE("queues that are no longer configured are dropped beyond a limit")
{
    queue_pools known;
    for (std::size_t index = 0; index < queue_pools::max_queues + 10; ++index)
        known.add(with({route_to("/kept/", "a"),
                        route_to("/" + std::to_string(index) + "/", "a")}));
    CHECK(known.contains(route_to("/kept/", "a")));
    CHECK_FALSE(known.contains(route_to("/0/", "a")));
    CHECK(known.contains(route_to(
        "/" + std::to_string(queue_pools::max_queues + 9) + "/", "a")));
}
