#include "base/random_source.hpp"
#include "policy/histories.hpp"
#include "policy/outlier_ejector.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace pimentograde;
using namespace pimentograde::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_slots = 8;
constexpr std::size_t pool_size = 10;
const base::time_point start{1h};

base::worker_id worker_at(std::size_t index)
{
    return base::worker_id("w" + std::to_string(index));
}

struct running_task
{
    base::time_point end;
    std::size_t worker;
};

/// Simulates a pool that gives each task to the worker with the most free
/// slots. Bad workers fail tasks after 1 ms, the others succeed after 100 ms.
/// Returns the maximum number of tasks that one bad worker got in `length`.
std::size_t run_pool(std::size_t bad, bool ejects, std::uint64_t seed,
                     base::duration length)
{
    base::random_source random(seed);
    policy::outlier_ejector ejector;
    for (std::size_t index = 0; index < pool_size; ++index)
        ejector.add_worker(worker_at(index));
    std::array<std::uint32_t, pool_size> used{};
    std::array<std::size_t, pool_size> tasks{};
    std::multimap<base::time_point, std::size_t> running;
    for (auto now = start; now < start + length; now += 2ms)
    {
        while (!running.empty() && running.begin()->first <= now)
        {
            const auto worker = running.begin()->second;
            running.erase(running.begin());
            --used.at(worker);
            ejector.record(worker_at(worker), worker >= bad, now);
        }
        std::size_t best = pool_size;
        std::uint32_t most = 0;
        const auto first = random.below(pool_size);
        for (std::size_t offset = 0; offset < pool_size; ++offset)
        {
            const auto index = (first + offset) % pool_size;
            const auto limit =
                ejects ? ejector.slot_limit(worker_at(index), worker_slots, now)
                       : worker_slots;
            if (limit > used.at(index) && limit - used.at(index) > most)
            {
                most = limit - used.at(index);
                best = index;
            }
        }
        if (best == pool_size)
            continue;
        ++used.at(best);
        ++tasks.at(best);
        running.emplace(now + (best < bad ? 1ms : 100ms), best);
    }
    return bad == 0 ? 0
                    : *std::max_element(tasks.begin(),
                                        tasks.begin() +
                                            static_cast<std::ptrdiff_t>(bad));
}

// Probes start 2, 6, 14 and 30 s after the ejection.
constexpr std::size_t probes_in_20_s = 3;
constexpr std::size_t allowed_in_20_s = 5 + worker_slots + probes_in_20_s;

} // namespace

// Guards against a worker that fails tasks so fast that it always has the most
// free slots and gets most tasks.
TEST_CASE("a worker that fails all tasks gets only probes once ejected")
{
    std::size_t most = 0;
    for (std::size_t bad = 1; bad <= 3; ++bad)
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            const auto tasks = run_pool(bad, true, seed, 20s);
            most = std::max(most, tasks);
            CHECK(tasks <= allowed_in_20_s);
        }
    MESSAGE("tasks of a failing worker in 20 s: " << most);
}

// Checks that the simulation shows the fault without ejection.
TEST_CASE("without ejection a failing worker gets too many tasks")
{
    const auto tasks = run_pool(1, false, 1, 20s);
    CHECK(tasks > 100 * allowed_in_20_s / 10);
    MESSAGE("seed 1: tasks of a failing worker in 20 s: " << tasks);
}

// Guards against ejecting a whole pool when all its workers fail, including
// while the pool shrinks.
TEST_CASE("at most a third of a pool is ejected")
{
    CHECK(rc::check(
        "ejected share",
        []
        {
            const auto events =
                *rc::gen::resize(500, rc::gen::container<history>(
                                          rc::gen::arbitrary<std::uint32_t>()));
            policy::outlier_ejector ejector;
            std::map<std::size_t, bool> present;
            for (std::size_t index = 0; index < pool_size; ++index)
            {
                present[index] = true;
                ejector.add_worker(worker_at(index));
            }
            std::size_t size = pool_size;
            auto now = start;
            for (const auto event : events)
            {
                const auto index = (event / 16) % pool_size;
                const auto kind = event % 16;
                now += std::chrono::milliseconds{(event / 160) % 1000};
                if (kind < 12)
                    ejector.record(worker_at(index), kind < 2, now);
                else if (kind == 12 && present[index])
                {
                    present[index] = false;
                    --size;
                    ejector.remove_worker(worker_at(index));
                }
                else if (kind == 13 && !present[index])
                {
                    present[index] = true;
                    ++size;
                    ejector.add_worker(worker_at(index));
                }
                std::size_t ejected = 0;
                for (std::size_t each = 0; each < pool_size; ++each)
                    ejected += ejector.is_ejected(worker_at(each)) ? 1 : 0;
                RC_ASSERT(ejected == ejector.ejected_count());
                RC_ASSERT(3 * ejected <= size);
            }
        }));
}

// Guards against a recovered worker that gets its full load at once or never.
TEST_CASE("a successful probe readmits a worker with one more slot per success")
{
    policy::outlier_ejector ejector;
    for (std::size_t index = 0; index < 3; ++index)
        ejector.add_worker(worker_at(index));
    const auto worker = worker_at(0);
    const auto limit = [&](base::time_point now)
    {
        return ejector.slot_limit(worker, worker_slots, now);
    };
    for (int index = 0; index < 4; ++index)
        ejector.record(worker, false, start);
    CHECK(limit(start) == worker_slots);
    ejector.record(worker, false, start);
    CHECK(limit(start) == 0);
    CHECK(limit(start + 1999ms) == 0);
    CHECK(limit(start + 2s) == 1);
    // The outcome of a task started before the ejection is ignored.
    ejector.record(worker, true, start + 1s);
    CHECK(ejector.is_ejected(worker));
    ejector.record(worker, false, start + 2s);
    CHECK(limit(start + 5999ms) == 0);
    CHECK(limit(start + 6s) == 1);
    ejector.record(worker, true, start + 6s);
    CHECK_FALSE(ejector.is_ejected(worker));
    CHECK(limit(start + 6s) == 1);
    for (std::uint32_t success = 2; success <= worker_slots; ++success)
    {
        ejector.record(worker, true, start + 7s);
        CHECK(limit(start + 7s) == success);
    }
    ejector.record(worker, false, start + 8s);
    CHECK(limit(start + 8s) == worker_slots / 2);
}
