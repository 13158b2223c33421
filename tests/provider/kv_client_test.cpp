#include "platform_fixture.hpp"
#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::testing;
using base::error_code;
using provider::swap_outcome;
using standin::fault_kind;

TEST_CASE_FIXTURE(platform_fixture, "compare-and-swap guards against overwrite")
{
    CHECK(kv.get("a", in(1s)).version == 0);
    const auto created = kv.compare_and_swap("a", 0, "one", in(1s));
    CHECK(created.outcome == swap_outcome::applied);
    const auto lost = kv.compare_and_swap("a", 0, "two", in(1s));
    CHECK(lost.outcome == swap_outcome::conflict);
    CHECK(lost.version == created.version);
    CHECK(kv.get("a", in(1s)).value == "one");
    const auto replaced =
        kv.compare_and_swap("a", created.version, "two", in(1s));
    CHECK(replaced.outcome == swap_outcome::applied);
    CHECK(replaced.version > created.version);
    CHECK(kv.get("a", in(1s)).value == "two");
}

// Guards against escaping or size limits that damage large values.
TEST_CASE_FIXTURE(platform_fixture, "values of the largest size survive")
{
    std::string value(provider::max_value_bytes, '"');
    value[1] = '\n';
    value[2] = '\0';
    kv.compare_and_swap("large", 0, value, in(5s));
    CHECK(kv.get("large", in(5s)).value == value);
    value += 'x';
    CHECK(code_of([&] { kv.compare_and_swap("larger", 0, value, in(5s)); }) ==
          error_code::too_large);
    CHECK(kv.get("larger", in(1s)).version == 0);
}

TEST_CASE_FIXTURE(platform_fixture, "a list returns the keys of a prefix")
{
    kv.compare_and_swap("members/b", 0, "2", in(1s));
    kv.compare_and_swap("members/a", 0, "1", in(1s));
    kv.compare_and_swap("other", 0, "3", in(1s));
    const auto items = kv.list("members/", in(1s));
    REQUIRE(items.size() == 2);
    CHECK(items[0].key == "members/a");
    CHECK(items[0].entry.value == "1");
    CHECK(items[1].key == "members/b");
}

TEST_CASE_FIXTURE(platform_fixture, "a watch returns when the key changes")
{
    const auto created = kv.compare_and_swap("w", 0, "one", in(1s));
    provider::kv_entry seen;
    net::task_group fibers;
    const auto start = base::steady_now();
    fibers.spawn([&] { seen = kv.watch("w", created.version, in(5s)); });
    boost::this_fiber::sleep_for(30ms);
    kv.compare_and_swap("w", created.version, "two", in(1s));
    fibers.join();
    CHECK(seen.value == "two");
    CHECK(base::steady_now() - start < 1s);
}

// Guards against a watch without a change that ends as a timeout error.
TEST_CASE_FIXTURE(platform_fixture, "a watch returns the unchanged entry")
{
    const auto created = kv.compare_and_swap("w", 0, "one", in(1s));
    const auto seen = kv.watch("w", created.version, in(300ms));
    CHECK(seen.value == "one");
    CHECK(seen.version == created.version);
}

TEST_CASE_FIXTURE(platform_fixture, "a lease has one holder and expires")
{
    CHECK(kv.acquire_lease("l", "a", 100ms, in(1s)).held);
    const auto refused = kv.acquire_lease("l", "b", 100ms, in(1s));
    CHECK_FALSE(refused.held);
    CHECK(refused.holder == "a");
    CHECK(kv.acquire_lease("l", "a", 100ms, in(1s)).held);
    boost::this_fiber::sleep_for(120ms);
    CHECK(kv.acquire_lease("l", "b", 1s, in(1s)).held);
    kv.release_lease("l", "a", in(1s));
    CHECK_FALSE(kv.acquire_lease("l", "a", 1s, in(1s)).held);
    kv.release_lease("l", "b", in(1s));
    CHECK(kv.acquire_lease("l", "a", 1s, in(1s)).held);
}

// Guards against members that stay listed after their lease has ended, and
// against a version that starts again when a key comes back.
TEST_CASE_FIXTURE(platform_fixture, "a leased key vanishes with its lease")
{
    CHECK(code_of([&] { kv.put_leased("members/a", "1", "l", in(1s)); }) ==
          error_code::conflict);
    kv.acquire_lease("l", "a", 10s, in(1s));
    kv.put_leased("members/a", "1", "l", in(1s));
    const auto before = kv.get("members/a", in(1s));
    CHECK(before.value == "1");
    set_fault(fault_kind::store_expire_leases);
    CHECK(kv.get("members/a", in(1s)).version == 0);
    CHECK(kv.list("members/", in(1s)).empty());
    kv.acquire_lease("l", "a", 10s, in(1s));
    kv.put_leased("members/a", "2", "l", in(1s));
    CHECK(kv.get("members/a", in(1s)).version > before.version);
}

TEST_CASE_FIXTURE(platform_fixture, "store calls are counted by kind")
{
    kv.get("a", in(1s));
    kv.list("a", in(1s));
    kv.watch("a", 0, in(50ms));
    kv.compare_and_swap("a", 0, "1", in(1s));
    kv.acquire_lease("l", "a", 1s, in(1s));
    kv.put_leased("b", "1", "l", in(1s));
    kv.release_lease("l", "a", in(1s));
    const auto& counts = kv_connection->counts();
    CHECK(counts.reads() == 3);
    CHECK(counts.writes() == 4);
    CHECK(counts.watch == 1);
    CHECK(counts.failed == 0);
    std::uint64_t at_store = 0;
    for (const auto& [name, count] : platform->store().counts())
        at_store += count;
    CHECK(at_store == 7);
    set_fault(fault_kind::store_down);
    CHECK(code_of([&] { kv.get("a", in(1s)); }) == error_code::unavailable);
    CHECK(counts.failed == 1);
}

// Guards against an outage that is reported as if a write might have happened.
TEST_CASE_FIXTURE(platform_fixture, "a store that is down is unavailable")
{
    kv.compare_and_swap("a", 0, "1", in(1s));
    set_fault(fault_kind::store_down, 100ms);
    CHECK(code_of([&] { kv.compare_and_swap("b", 0, "1", in(1s)); }) ==
          error_code::unavailable);
    CHECK(code_of([&] { kv.get("a", in(1s)); }) == error_code::unavailable);
    boost::this_fiber::sleep_for(150ms);
    CHECK(kv.get("a", in(1s)).value == "1");
    CHECK(kv.get("b", in(1s)).version == 0);
}

// Guards against a write that is reported as not done although it takes
// effect after the caller stopped waiting.
TEST_CASE_FIXTURE(platform_fixture, "a hanging store is a timeout")
{
    set_fault(fault_kind::store_hang, 150ms);
    CHECK(code_of([&] { kv.compare_and_swap("a", 0, "late", in(50ms)); }) ==
          error_code::timeout);
    boost::this_fiber::sleep_for(200ms);
    CHECK(kv.get("a", in(1s)).value == "late");
}

TEST_CASE_FIXTURE(platform_fixture, "a slow store answers or times out")
{
    set_fault(fault_kind::store_slow, {}, 60ms);
    const auto start = base::steady_now();
    CHECK(kv.get("a", in(1s)).version == 0);
    CHECK(base::steady_now() - start >= 60ms);
    CHECK(code_of([&] { kv.get("a", in(20ms)); }) == error_code::timeout);
}

// Guards against a lost response that is taken for a write not done.
TEST_CASE_FIXTURE(platform_fixture, "a lost response leaves the write in place")
{
    set_fault(fault_kind::store_lose_response);
    CHECK(code_of([&] { kv.compare_and_swap("a", 0, "1", in(1s)); }) ==
          error_code::cut_off);
    CHECK(kv.get("a", in(1s)).value == "1");
}

// Guards against a cut response that is taken for a short value.
TEST_CASE_FIXTURE(platform_fixture, "a truncated response is an error")
{
    kv.compare_and_swap("a", 0, std::string(1000, 'v'), in(1s));
    set_fault(fault_kind::store_truncate);
    for (int round = 0; round < 50; ++round)
    {
        CHECK(code_of([&] { kv.get("a", in(1s)); }) == error_code::cut_off);
        CHECK(code_of([&] { kv.list("a", in(1s)); }) == error_code::cut_off);
        CHECK(code_of([&] { kv.compare_and_swap("a", 0, "x", in(1s)); }) ==
              error_code::cut_off);
        CHECK(code_of([&] { kv.acquire_lease("l", "a", 1s, in(1s)); }) ==
              error_code::cut_off);
    }
}

TEST_CASE_FIXTURE(platform_fixture, "a stale read returns an earlier version")
{
    const auto old = kv.compare_and_swap("a", 0, "old", in(1s));
    boost::this_fiber::sleep_for(50ms);
    kv.compare_and_swap("a", old.version, "new", in(1s));
    set_fault(fault_kind::store_stale_read, {}, 30ms);
    CHECK(kv.get("a", in(1s)).value == "old");
    CHECK(kv.list("a", in(1s)).at(0).entry.version == old.version);
    platform->clear_faults();
    CHECK(kv.get("a", in(1s)).value == "new");
}

// Guards against a fault of probability below 1 that hits all calls or none.
TEST_CASE_FIXTURE(platform_fixture, "a fault hits its share of the calls")
{
    platform->set_fault({fault_kind::store_lose_response, "", 0.5, {}, {}, 1});
    int lost = 0;
    for (int round = 0; round < 100; ++round)
    {
        const std::string key = std::to_string(round);
        const auto code =
            code_of([&] { kv.compare_and_swap(key, 0, "1", in(1s)); });
        lost += code == error_code::cut_off ? 1 : 0;
    }
    CHECK(lost > 25);
    CHECK(lost < 75);
}

TEST_CASE_FIXTURE(platform_fixture, "the instance list lags")
{
    const auto state_of_first = [&]
    {
        return instances.list(in(1s)).at(0).state;
    };
    CHECK(instances.list(in(1s)).size() == 2);
    const auto lag = set_fault(fault_kind::list_lag, {}, 10s);
    work.drain(first, in(1s));
    boost::this_fiber::sleep_for(30ms);
    CHECK(state_of_first() == provider::listed_state::live);
    platform->clear_fault(lag);
    CHECK(state_of_first() == provider::listed_state::leaving);
    set_fault(fault_kind::list_down);
    CHECK(code_of([&] { instances.list(in(1s)); }) == error_code::unavailable);
}

// Guards against measurements with a store that is faster than the platform's.
TEST_CASE("a store with a rate lets calls wait and refuses a long queue")
{
    net::this_thread_io();
    const auto platform =
        standin::platform_standin::builder{}.store_bounds({0ms, 0, 20}).build();
    const auto client = provider::kv_client::builder{}
                            .store(platform->store_endpoint())
                            .build();
    const auto kv = client->operations();
    const auto start = base::steady_now();
    net::task_group fibers;
    int applied = 0;
    int refused = 0;
    constexpr int calls = 30;
    for (int number = 0; number < calls; ++number)
        fibers.spawn(
            [&, key = std::to_string(number)]
            {
                const auto code =
                    code_of([&] { kv.compare_and_swap(key, 0, "1", in(5s)); });
                applied += code ? 0 : 1;
                refused += code == error_code::refused ? 1 : 0;
            });
    fibers.join();
    CHECK(base::steady_now() - start >= 950ms);
    CHECK(applied >= 20);
    CHECK(refused >= 1);
    CHECK(applied + refused == calls);
    CHECK(kv.list("", in(1s)).size() == static_cast<std::size_t>(applied));
}
