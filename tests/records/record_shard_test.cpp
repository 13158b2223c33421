#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "records/fake_store.hpp"
#include "records/record_codec.hpp"
#include "records/record_table.hpp"
#include "records/shard_state.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>

using namespace pimentograde;
using namespace std::chrono_literals;
using records::commit_outcome;
using tests::fake_store;
using tests::store_fault;

namespace
{

const base::wall_time start_time = base::from_millis(1'800'000'000'000);

struct shard_fixture
{
    fake_store store;
    base::wall_time wall = start_time;
    double rate = 1e6;

    std::unique_ptr<records::record_shard> make_shard(std::uint64_t seed)
    {
        net::this_thread_io();
        records::shard_environment out;
        out.store = store.operations();
        out.time.wall = [this]
        {
            return wall;
        };
        out.budget =
            std::make_shared<records::write_budget>([this] { return rate; });
        out.random = std::make_shared<base::random_source>(seed);
        return std::make_unique<records::record_shard>("records/00", out);
    }
};

base::work_identity identity_of(const std::string& key)
{
    return {base::department_name("field"), base::caller_name("club"), key};
}

records::record_change insert(const std::string& lease, base::wall_time issued,
                              const std::string& payload = {})
{
    return [=](std::optional<records::record>& current)
    {
        if (current)
            return false;
        current.emplace();
        current->issued_at = issued;
        current->state = records::record_state::started;
        current->lease = base::lease_id(lease);
        current->attempt = 1;
        current->payload = payload;
        return true;
    };
}

records::record_change end(records::record_state state)
{
    return [=](std::optional<records::record>& current)
    {
        if (!current || records::is_ended(current->state))
            return false;
        current->state = state;
        return true;
    };
}

/// Counts in the attempt number; applied twice, the sum is wrong.
records::record_change add_once(const std::string& mark)
{
    return [=](std::optional<records::record>& current)
    {
        if (!current)
        {
            current.emplace();
            current->issued_at = start_time;
        }
        const std::string word = mark + ";";
        if (current->payload.find(word) != std::string::npos)
            return false;
        current->payload += word;
        ++current->attempt;
        return true;
    };
}

base::time_point soon()
{
    return base::steady_now() + 500ms;
}

} // namespace
// for ever, after an error that its store calls do not name.
TEST_CASE("a shard goes on after an unexpected error")
{
    shard_fixture f;
    const auto shard = f.make_shard(1);
    int calls = 0;
    f.store.next_fault = [&]
    {
        if (++calls == 2)
            throw std::runtime_error("unexpected");
        return store_fault::none;
    };
    std::optional<commit_outcome> outcome;
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            outcome =
                shard
                    ->commit(identity_of("k"), insert("lease", start_time),
                             base::steady_now() + 2s)
                    .outcome;
        });
    CHECK(fibers.join_until(base::steady_now() + 4s));
    CHECK(outcome == commit_outcome::applied);
    shard->abandon();
}

// namespace

// Guards against one write for each record: the store takes only several
// hundred writes a second.
TEST_CASE("commits that arrive during a write share the next one")
{
    shard_fixture fixture;
    fixture.store.latency = 2ms;
    auto shard = fixture.make_shard(1);
    net::task_group fibers;
    int applied = 0;
    for (int i = 0; i < 100; ++i)
        fibers.spawn(
            [&, i]
            {
                const auto key = std::to_string(i);
                const auto result = shard->commit(
                    identity_of(key), insert("l" + key, start_time), soon());
                applied += result.outcome == commit_outcome::applied ? 1 : 0;
            });
    fibers.join();
    CHECK(applied == 100);
    CHECK(shard->size() == 100);
    CHECK(fixture.store.writes <= 3);
}

// Guards against a member that spends another member's share of the writes.
TEST_CASE("the write budget bounds the writes, not the commits")
{
    shard_fixture fixture;
    fixture.rate = 50;
    auto shard = fixture.make_shard(1);
    const auto begin = base::steady_now();
    net::task_group fibers;
    int applied = 0;
    for (int i = 0; i < 20; ++i)
        fibers.spawn(
            [&, i]
            {
                // 20 x 10 records: a shard has room for about 240 started.
                for (int round = 0; round < 10; ++round)
                {
                    const auto key =
                        std::to_string(i) + "-" + std::to_string(round);
                    const auto result =
                        shard->commit(identity_of(key),
                                      insert("l" + key, start_time), soon());
                    applied +=
                        result.outcome == commit_outcome::applied ? 1 : 0;
                }
            });
    fibers.join();
    const double seconds = base::count_seconds(base::steady_now() - begin);
    CHECK(applied == 200);
    CHECK(static_cast<double>(fixture.store.writes) <= 50 * seconds + 9);
}

// Guards against a caller that is told about a record before it is written.
TEST_CASE("readers do not see a record whose write is in flight")
{
    shard_fixture fixture;
    fixture.store.latency = 30ms;
    auto shard = fixture.make_shard(1);
    net::task_group fibers;
    fibers.spawn(
        [&]
        { shard->commit(identity_of("a"), insert("l", start_time), soon()); });
    boost::this_fiber::sleep_for(45ms);
    CHECK_FALSE(shard->find(identity_of("a")));
    fibers.join();
    CHECK(shard->find(identity_of("a")));
}

// Guards against one read of the store for each of many polling callers.
TEST_CASE("readers that wait together share a read")
{
    shard_fixture fixture;
    fixture.store.latency = 2ms;
    auto shard = fixture.make_shard(1);
    net::task_group fibers;
    for (int i = 0; i < 50; ++i)
        fibers.spawn([&] { shard->refresh(soon()); });
    fibers.join();
    CHECK(fixture.store.reads <= 2);
}

// Guards against a hanging caller, and against "not written" for a write that
// may take effect.
TEST_CASE("an outage ends in unavailable, a lost response in the truth")
{
    shard_fixture fixture;
    auto shard = fixture.make_shard(1);
    fixture.store.down = true;
    const auto begin = base::steady_now();
    CHECK(shard->commit(identity_of("a"), insert("l", start_time), soon())
              .outcome == commit_outcome::unavailable);
    CHECK(base::steady_now() - begin < 800ms);
    fixture.store.down = false;
    fixture.store.next_fault = [n = 0]() mutable
    {
        return n++ == 1 ? store_fault::response_lost : store_fault::none;
    };
    CHECK(shard->commit(identity_of("b"), insert("l", start_time), soon())
              .outcome == commit_outcome::applied);
    fixture.store.next_fault = [n = 0]() mutable
    {
        return n++ == 0 ? store_fault::response_lost : store_fault::unavailable;
    };
    CHECK(shard->commit(identity_of("c"), insert("l", start_time), soon())
              .outcome == commit_outcome::unknown);
}

// Guards against a dropped record whose key is accepted again and run twice.
TEST_CASE("the horizon covers every dropped record")
{
    shard_fixture fixture;
    auto shard = fixture.make_shard(1);
    shard->commit(identity_of("a"), insert("l", start_time - 5s), soon());
    shard->commit(identity_of("a"), end(records::record_state::done), soon());
    shard->commit(identity_of("b"), insert("l", start_time), soon());
    fixture.wall += 2h;
    CHECK(shard->commit(identity_of("c"), insert("l", fixture.wall), soon())
              .outcome == commit_outcome::applied);
    CHECK_FALSE(shard->find(identity_of("a")));
    CHECK(shard->find(identity_of("b")));
    CHECK(shard->horizon() == start_time - 5s);
    CHECK(shard->commit(identity_of("a"), insert("l", start_time - 5s), soon())
              .outcome == commit_outcome::expired);
    CHECK(
        shard
            ->commit(identity_of("d"), insert("l", fixture.wall + 6min), soon())
            .outcome == commit_outcome::expired);
}

// Guards against a shard that outgrows the store's limit and against dropping
// records that a caller may still ask for.
TEST_CASE("a full shard refuses new records and always fits outcomes")
{
    records::shard_state state;
    records::shard_batch batch(state, start_time);
    std::size_t accepted = 0;
    const auto insert_next = [&](records::shard_batch& target)
    {
        const auto key = std::to_string(accepted);
        return target
            .apply(identity_of(key),
                   insert("l" + key, start_time, std::string(4096, 'p')))
            .outcome;
    };
    while (insert_next(batch) == commit_outcome::applied)
        ++accepted;
    CHECK(accepted > 80);
    CHECK(insert_next(batch) == commit_outcome::full);
    for (std::size_t i = 0; i < accepted; ++i)
        CHECK(batch
                  .apply(identity_of(std::to_string(i)),
                         [](std::optional<records::record>& current)
                         {
                             current->state = records::record_state::done;
                             current->answer = std::string(2000, 'a');
                             return true;
                         })
                  .outcome == commit_outcome::applied);
    CHECK(batch.finish().size() < records::max_shard_bytes);
    batch.merge_into(state);

    records::shard_batch early(state, start_time + 9min);
    while (insert_next(early) == commit_outcome::applied)
        ++accepted;
    early.finish();
    CHECK(early.apply(identity_of("0"), end(records::record_state::done))
              .outcome == commit_outcome::refused);
    records::shard_batch late(state, start_time + 11min);
    const auto fresh =
        late.apply(identity_of("fresh"), insert("l", start_time + 11min));
    CHECK(fresh.outcome == commit_outcome::applied);
}

// Guards against lost updates and double application when several members
// write one shard through a store that loses responses, requests and freshness.
TEST_CASE("every change of several writers takes effect exactly once")
{
    CHECK(rc::check(
        "concurrent writers with store faults",
        []
        {
            shard_fixture fixture;
            const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1 << 30);
            const auto fault_percent = *rc::gen::inRange<std::size_t>(0, 40);
            base::random_source random(seed);
            int faults_left = 30;
            fixture.store.next_fault = [&]
            {
                if (faults_left == 0 || random.below(100) >= fault_percent)
                    return store_fault::none;
                --faults_left;
                return static_cast<store_fault>(1 + random.below(4));
            };
            std::vector<std::unique_ptr<records::record_shard>> shards;
            for (std::uint64_t i = 0; i < 3; ++i)
                shards.push_back(fixture.make_shard(seed + i));
            int certain = 0;
            int in_doubt = 0;
            {
                net::task_group fibers;
                for (int i = 0; i < 12; ++i)
                    fibers.spawn(
                        [&, i]
                        {
                            const auto result = shards[i % 3]->commit(
                                identity_of(i % 2 == 0 ? "even" : "odd"),
                                add_once("m" + std::to_string(i)),
                                base::steady_now() + 5ms);
                            if (result.outcome == commit_outcome::applied ||
                                result.outcome == commit_outcome::refused)
                                ++certain;
                            if (result.outcome == commit_outcome::unknown)
                                ++in_doubt;
                        });
                fibers.join();
            }
            const auto stored = records::decode_shard(
                fixture.store.entries["records/00"].value);
            int sum = 0;
            for (const auto& value : stored.entries)
            {
                const auto marks =
                    std::count(value.payload.begin(), value.payload.end(), ';');
                RC_ASSERT(marks == static_cast<long>(value.attempt));
                sum += static_cast<int>(value.attempt);
            }
            RC_ASSERT(sum >= certain);
            RC_ASSERT(sum <= certain + in_doubt);
        }));
}

// Guards against a shard choice that differs between processes or that two
// identities of different parts share by joining.
TEST_CASE("identities and job ids lead to the same shard")
{
    base::random_source random(1);
    for (int i = 0; i < 100; ++i)
    {
        const auto shard = records::shard_of(identity_of(std::to_string(i)));
        CHECK(shard < records::shard_count);
        CHECK(records::shard_of(records::make_job_id(shard, random)) == shard);
    }
    CHECK_FALSE(records::shard_of(base::job_id("99-0123456789abcdef")));
    CHECK_FALSE(records::shard_of(base::job_id("x")));
    CHECK(records::shard_key(7) == "records/07");
}
