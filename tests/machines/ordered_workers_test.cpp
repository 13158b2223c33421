#include "fleet/ordered_workers.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace pimentograde;
using namespace pimentograde::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr base::time_point start(100s);

machine listed(const std::string& worker,
               machine_status status = machine_status::up,
               const std::string& pool = "calm")
{
    machine entry;
    entry.id = "m1";
    entry.pool = pool;
    entry.status = status;
    entry.worker = worker;
    return entry;
}

std::vector<std::string> ended_after(ordered_workers& orders,
                                     const machine& entry,
                                     base::time_point listed_at)
{
    std::vector<std::string> names;
    for (const auto& ended :
         orders.take_ended([&](const std::string& id)
                           { return id == entry.id ? &entry : nullptr; },
                           listed_at))
    {
        CHECK(ended.machine == "m1");
        CHECK(ended.pool == "calm");
        names.push_back(ended.worker);
    }
    return names;
}

using workers = std::vector<std::string>;

} // namespace

// Guards against a live worker that is named as ended because a repeated order
// was answered as done: the machine is up again with a new worker since the
// first one (issue 49).
TEST_CASE("a worker that its machine still has is not named as ended")
{
    ordered_workers orders;
    orders.note_ordered(listed("w2"), start);
    for (auto at = start + 250ms; at < start + 20s; at += 250ms)
        CHECK(ended_after(orders, listed("w2"), at) == workers{});
    CHECK(orders.empty());
}

// Guards against owners that wait for the lease of a worker that an order has
// ended.
TEST_CASE("a worker that its machine no longer has is named once")
{
    const std::vector<machine> proofs{
        listed("w2"),
        listed("w2", machine_status::up, "turn"),
        listed("", machine_status::down, "standby"),
        listed("w1", machine_status::moving, "turn"),
        listed("w1", machine_status::in_maintenance),
        listed("", machine_status::moving, "turn"),
    };
    for (const machine& entry : proofs)
    {
        ordered_workers orders;
        orders.note_ordered(listed("w1"), start);
        CHECK(ended_after(orders, listed("w1"), start + 250ms) == workers{});
        CHECK(ended_after(orders, entry, start + 500ms) == workers{"w1"});
        CHECK(ended_after(orders, entry, start + 750ms) == workers{});
        CHECK(orders.empty());
    }
}

// Guards against a listing from before the order as a proof of its effect.
TEST_CASE("a listing requested before the answer proves nothing")
{
    ordered_workers orders;
    orders.note_ordered(listed("w1"), start);
    CHECK(ended_after(orders, listed("w2"), start - 100ms) == workers{});
    CHECK(ended_after(orders, listed("w2"), start) == workers{});
    // The order was repeated meanwhile.
    orders.note_ordered(listed("w1"), start + 1s);
    CHECK(ended_after(orders, listed("w2"), start + 500ms) == workers{});
    CHECK(ended_after(orders, listed("w2"), start + 1250ms) == workers{"w1"});
}

// Guards against a worker that counts as ended since pages of a listing are no
// snapshot, or since its machine's row cannot be read.
TEST_CASE("a listing without a readable row of the machine proves nothing")
{
    ordered_workers orders;
    orders.note_ordered(listed("w1"), start);
    machine other = listed("w7");
    other.id = "m7";
    CHECK(ended_after(orders, other, start + 250ms) == workers{});
    CHECK(ended_after(orders, listed("", machine_status::down, ""),
                      start + 500ms) == workers{});
    CHECK(ended_after(orders, listed("w1", machine_status::down),
                      start + 750ms) == workers{});
    CHECK(ended_after(orders, listed(""), start + 800ms) == workers{});
    CHECK(ended_after(orders, listed("w2"), start + 1s) == workers{"w1"});
}

// Guards against workers that are remembered for as long as no listing shows
// their machine, and against one that is forgotten while no listing succeeds.
TEST_CASE("a worker without a proof is forgotten after a while")
{
    ordered_workers orders;
    machine other = listed("w7");
    other.id = "m7";
    orders.note_ordered(listed("w1"), start);
    CHECK(ended_after(orders, other, start + 5s) == workers{});
    CHECK_FALSE(orders.empty());
    CHECK(ended_after(orders, other, start + 6s) == workers{});
    CHECK(orders.empty());
    orders.note_ordered(listed("w1"), start);
    CHECK(ended_after(orders, listed("w2"), start + 30s) == workers{"w1"});
    orders.note_ordered(listed("w1"), start);
    orders.clear();
    CHECK(ended_after(orders, listed("w2"), start + 1s) == workers{});
}

// Guards against an empty name for a machine without a worker, as in standby,
// and against the next worker of a machine that an earlier order has taken
// down, listed before it has joined.
TEST_CASE("a machine that is not up has no worker to remember")
{
    ordered_workers orders;
    orders.note_ordered(listed("", machine_status::down), start);
    orders.note_ordered(listed("w2", machine_status::in_maintenance), start);
    orders.note_ordered(listed("w3", machine_status::moving), start);
    CHECK(orders.empty());
}
