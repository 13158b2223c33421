#include "node/machine_moves.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t machine_millis = 32'000;

// Two pools of machines with one worker each. `turn` needs more machines than
// it has, `calm` has no load.
struct fleet_double
{
    node::machine_inventory inventory;
    std::set<std::string> busy;
    std::set<std::string> in_wave;
    std::vector<fleet::machine_move> ordered;
    std::vector<std::string> released;
    bool may_order = true;
    bool is_recorded = true;
    base::time_point now{100s};
    double orders_per_second = 64.0;
    node::machine_moves moves{inventory,
                              orders_per_second,
                              {[this] { return may_order; },
                               [this](const std::string& machine)
                               { return in_wave.contains(machine); },
                               [this](std::span<const fleet::machine_move>)
                               { return is_recorded; },
                               [this](const fleet::machine& entry)
                               {
                                   released.push_back(entry.id);
                                   return !busy.contains(entry.id);
                               },
                               [this](const fleet::machine_move& move)
                               {
                                   ordered.push_back(move);
                               }}};

    explicit fleet_double(int calm_machines, double rate = 64.0)
        : orders_per_second(rate)
    {
        inventory.pools.resize(2);
        inventory.pools[0].name = "turn";
        inventory.pools[1].name = "calm";
        std::vector<fleet::machine> listed{make("turn0", "turn")};
        for (int index = 0; index < calm_machines; ++index)
            listed.push_back(make("calm" + std::to_string(index), "calm"));
        inventory.set_machines(listed, now);
    }
    static fleet::machine make(const std::string& id, const std::string& pool)
    {
        fleet::machine entry;
        entry.id = id;
        entry.pool = pool;
        entry.status = fleet::machine_status::up;
        entry.capacity.cpu_millis = machine_millis;
        entry.worker = "w-" + id;
        return entry;
    }
    void set_load(const std::string& pool, std::int64_t arriving_millis)
    {
        peer::pool_load load;
        load.is_known = true;
        load.arriving_millis = arriving_millis;
        for (const auto& [id, entry] : inventory.machines())
            if (entry.pool == pool)
            {
                load.usable_millis += machine_millis;
                load.workers.push_back(
                    {entry.worker, busy.contains(id) ? 2 : 0, 0});
            }
        inventory.set_load(pool, std::move(load));
    }
    void work(base::duration later = 200ms)
    {
        now += later;
        set_load("turn", 3 * machine_millis);
        set_load("calm", 0);
        moves.run_round(now);
    }
};

} // namespace

TEST_CASE("idle machines are released and moved to the pool under load")
{
    fleet_double all(12);
    all.work();
    // The pool needs three machines and has one; idle ones come until it uses
    // 0.4 of its cores.
    REQUIRE(all.ordered.size() == 7);
    for (const auto& move : all.ordered)
    {
        CHECK(move.from == "calm");
        CHECK(move.to == "turn");
    }
    // Machines that are already moving count, so no more are ordered.
    all.work();
    CHECK(all.ordered.size() == 7);
}

// Guards against a move that ends running tasks, and against machines that are
// freed only when no task is left in their whole pool.
TEST_CASE("a machine with short tasks moves once they have ended")
{
    fleet_double all(6);
    for (int index = 0; index < 6; ++index)
        all.busy.insert("calm" + std::to_string(index));
    all.work();
    CHECK(all.ordered.empty());
    REQUIRE(all.released.size() == 2);
    const std::string first = all.released.front();
    all.work();
    CHECK(all.ordered.empty());
    all.busy.erase(first);
    all.work();
    REQUIRE(all.ordered.size() == 1);
    CHECK(all.ordered.front().machine == first);
}

// Guards against a machine that is ordered twice in one round, since it counts
// as idle as soon as its last task has ended.
TEST_CASE("machines that become free together are ordered once each")
{
    fleet_double all(12);
    for (int index = 0; index < 12; ++index)
        all.busy.insert("calm" + std::to_string(index));
    all.work();
    REQUIRE(all.released.size() == 2);
    all.busy.clear();
    all.work();
    std::set<std::string> machines;
    for (const auto& move : all.ordered)
        machines.insert(move.machine);
    CHECK(machines.size() >= 2);
    CHECK(all.ordered.size() == machines.size());
}

// Guards against a machine that stays unused because its task does not end.
TEST_CASE("a machine that does not become free in time is not moved")
{
    fleet_double all(1);
    all.busy.insert("calm0");
    all.work();
    REQUIRE(all.released.size() <= 1);
    all.work(3s);
    all.busy.clear();
    all.in_wave.insert("calm0");
    all.work();
    CHECK(all.ordered.empty());
}

// Guards against two instances that both order machines, although only one
// holds the role.
TEST_CASE("nothing is ordered without the right to order")
{
    fleet_double all(6);
    all.may_order = false;
    all.work();
    CHECK(all.released.empty());
    CHECK(all.ordered.empty());
}

// Guards against orders that the platform refuses because its rate limit is
// exceeded.
TEST_CASE("moves stay within the platform's rate of orders")
{
    fleet_double all(200);
    all.now += 10s;
    for (int round = 0; round < 10; ++round)
    {
        all.now += 100ms;
        all.set_load("turn", 150 * machine_millis);
        all.set_load("calm", 0);
        all.moves.run_round(all.now);
    }
    // A saved burst of 16 orders, plus 0.7 of the rate of 64 orders a second.
    CHECK(all.ordered.size() <= 16 + 45);
    CHECK(all.ordered.size() >= 45);
}

// Guards against a limit on orders far below the platform's rate: on a fleet of
// hundreds a pool needs 60 more machines at once, and moving them took most of
// the burst (lcq-sched-large quiet-1).
TEST_CASE("a large fleet moves its machines within the first rounds of a burst")
{
    fleet_double all(200, 310.0);
    all.now += 10s;
    for (int round = 0; round < 2; ++round)
    {
        all.now += 300ms;
        all.set_load("turn", 61 * machine_millis);
        all.set_load("calm", 0);
        all.moves.run_round(all.now);
    }
    CHECK(all.ordered.size() >= 60);
}

// Guards against a pool that takes one idle machine after the other while the
// first ones are still on their way.
TEST_CASE("machines for long-running tasks are ordered once")
{
    fleet_double all(12);
    all.moves.set_machines_to_free({{"turn", 4}});
    const auto round = [&](base::duration later)
    {
        all.now += later;
        all.set_load("turn", 0);
        all.set_load("calm", 0);
        all.moves.run_round(all.now);
    };
    all.busy.insert("turn0");
    round(200ms);
    REQUIRE(all.ordered.size() == 2);
    round(200ms);
    CHECK(all.ordered.size() == 2);
    std::vector<fleet::machine> listed;
    for (const auto& [id, entry] : all.inventory.machines())
        listed.push_back(entry);
    for (fleet::machine& entry : listed)
        for (const auto& move : all.ordered)
            if (entry.id == move.machine)
                entry.pool = move.to;
    all.inventory.set_machines(listed, all.now);
    round(1600ms);
    CHECK(all.ordered.size() == 2);
    // Once one of them is in use, another one comes.
    all.busy.insert(all.ordered.front().machine);
    round(200ms);
    CHECK(all.ordered.size() == 3);
    CHECK(all.released.size() == 3);
}
