// A single pool owner with the platform's test double.

#include "base/error.hpp"
#include "net/http_server.hpp"
#include "node/cluster.hpp"
#include "platform/worker_client.hpp"
#include "platform/worker_entry.hpp"
#include "pools/collect_delay.hpp"
#include "pools/owned_pool.hpp"
#include "pools/pool_owner.hpp"
#include "pools/roster_store.hpp"
#include "pools/stored_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against a worker that its pool never uses again: it was known from the
// roster, was considered gone, and was listed while its link was closing
// (lcq-sched-large scale-2: 20 idle workers unused for the rest of the day).
TEST_CASE("a worker that is listed while its link closes is used")
{
    platform_double platform;
    auto& double_worker = platform.add_worker("w0", "pool", 50ms);
    auto store = platform::store_client::builder{}
                     .connect_to(platform.store_address())
                     .build();
    auto http = net::http_client::builder{}.max_idle(2).build();
    const auto listed = store->list("servers/");
    REQUIRE(listed.items.size() == 1);
    const jobs::worker_description worker =
        platform::read_worker_entry("w0", listed.items[0].value);
    platform.store.put(
        pools::roster_key("pool"),
        jobs::encode_roster(std::vector{jobs::roster_entry{worker}}));
    const auto claim = store->commit({{}, {{"owner", "x", 0}}, {}});
    const auto owner = pools::pool_owner::builder{}
                           .pool("pool")
                           .ownership("owner", claim.revision)
                           .store(*store)
                           .http(*http)
                           .worker_lease(1500ms)
                           .may_order([] { return true; })
                           .on_lost([](std::string_view) {})
                           .build();
    const jobs::queue_policy policy{"queue", "pool", 0, 3, 1.6, 600ms};
    owner->set_policies(std::vector{policy});
    owner->start();
    REQUIRE(eventually([&] { return owner->is_loaded(); }));
    // The roster's worker is not listed, so it is removed after its first
    // report.
    const auto forgotten = base::steady_now() + 1500ms;
    while (!owner->state().workers().empty() && base::steady_now() < forgotten)
        boost::this_fiber::sleep_for(1ms);
    owner->set_workers(std::vector{worker});
    jobs::job_spec spec;
    spec.payload = "s";
    spec.steps.resize(1);
    spec.steps[0].need = {1000, 10, 0};
    spec.steps[0].estimate = 50ms;
    const auto answer =
        owner->submit(id_a, spec, "queue", base::steady_now() + 2s);
    CHECK(answer.outcome == pools::submission_answer::kind::accepted);
    CHECK(eventually([&] { return double_worker.starts.size() == 1; }, 3s));
    owner->quiesce();
}

// Guards against a delay that saves processor time for the owner of a large
// pool but makes the callers of a small pool miss their objectives
// (kavango-cues).
TEST_CASE("the batching delay grows with the number of workers")
{
    constexpr pools::collect_delay delay{80ms, 120ms};
    CHECK(delay.at(0) == 80ms);
    CHECK(delay.at(12) == 80ms);
    CHECK(delay.at(58) > 90ms);
    CHECK(delay.at(58) < 110ms);
    CHECK(delay.at(500) == 120ms);
}

// Guards against an old roster that replaces a newer one: the write got no
// answer and took effect seconds later. The next owner then started tasks that
// were running (kavango-cues trouble-3, TWICE).
TEST_CASE("a roster that takes effect late does not replace a newer one")
{
    platform_double platform;
    auto store = platform::store_client::builder{}
                     .connect_to(platform.store_address())
                     .call_timeout(100ms)
                     .build();
    const auto claim = store->commit({{}, {{"owner", "x", 0}}, {}});
    pools::roster_store roster("pool", "owner", claim.revision, *store);
    CHECK(roster.load().empty());
    const auto entries = [](const std::string& id)
    {
        jobs::worker_description worker;
        worker.id = id;
        return std::vector{jobs::roster_entry{worker}};
    };
    CHECK(roster.write(entries("w1"), {}) == pools::roster_write::stored);
    platform.store.faults.commit_delay = 500ms;
    CHECK_THROWS_AS(roster.write(entries("late"), {}), base::error);
    platform.store.faults.commit_delay = {};
    CHECK(roster.write(entries("w2"), {}) == pools::roster_write::stored);
    boost::this_fiber::sleep_for(600ms);
    CHECK(roster.load() == entries("w2"));
    // The other way round: the late one comes first.
    platform.store.faults.commit_delay = 200ms;
    CHECK_THROWS_AS(roster.write(entries("late"), {}), base::error);
    platform.store.faults.commit_delay = {};
    boost::this_fiber::sleep_for(300ms);
    CHECK(roster.write(entries("w3"), {}) == pools::roster_write::outdated);
    CHECK(roster.write(entries("w3"), {}) == pools::roster_write::stored);
    CHECK(roster.load() == entries("w3"));
    const auto next = store->commit({{}, {{"owner", "y", 0}}, {}});
    CHECK(next.outcome == platform::commit_result::kind::committed);
    CHECK(roster.write(entries("w4"), {}) == pools::roster_write::not_owner);
}

// Guards against a run that is started a second time because the store's list
// tells of its worker's restart after the new incarnation has taken the run
// (kavango-cues-grown, kowhai-retakes-grown, TWICE).
TEST_CASE("a restart that is listed late does not repeat newer runs")
{
    owned_pool all(std::vector<std::string>{"w0", "w1"}, 1500ms);
    for (auto& [id, worker] : all.workers)
        worker->restart();
    REQUIRE(all.submit_one_task());
    CHECK(eventually([&] { return all.starts() == 1; }, 3s));
    boost::this_fiber::sleep_for(20ms);
    all.list_workers();
    boost::this_fiber::sleep_for(500ms);
    CHECK(all.starts() == 1);
}

// Guards against a second run of a task whose first one an owner before the
// last keeps alive: it is cut off from the store and still sends orders, and
// the last one was killed just after its claim and starts again.
TEST_CASE("a restarted owner waits for the owner before it")
{
    platform_double platform;
    platform.configure(1, "pool");
    auto& first = platform.add_worker("w0", "pool", 100ms);
    const std::string role = "pimentograde/role/pool/pool";
    bool is_cut_off = false;
    const auto reach_store =
        net::http_server::builder{}
            .listen_on({"127.0.0.1", 0})
            .handle_with(
                [&](const net::http_request& request)
                {
                    return is_cut_off ? net::http_response{503, "{}"}
                                      : platform.store.handle(request);
                })
            .build();
    const auto store = platform::store_client::builder{}
                           .connect_to(reach_store->local_endpoint())
                           .build();
    const auto http = net::http_client::builder{}.max_idle(2).build();
    platform.store.put(role, "{}");
    bool may_order = true;
    const auto earlier = pools::pool_owner::builder{}
                             .pool("pool")
                             .ownership(role, platform.store.revision_of(role))
                             .store(*store)
                             .http(*http)
                             .worker_lease(1500ms)
                             .may_order([&] { return may_order; })
                             .on_lost([](std::string_view) {})
                             .build();
    earlier->set_policies(
        std::vector{jobs::queue_policy{"queue", "pool", 0, 3, 1.6, 600ms}});
    earlier->set_workers(std::vector{platform::read_worker_entry(
        "w0", platform.store.value_of("servers/w0"))});
    earlier->start();
    jobs::job_spec spec;
    spec.payload = "lasts";
    spec.steps.resize(1);
    spec.steps[0].need = {1000, 10, 0};
    spec.steps[0].estimate = 100ms;
    spec.steps[0].is_long_running = true;
    REQUIRE(eventually(
        [&]
        {
            return earlier->submit(id_a, spec, "queue", base::steady_now() + 2s)
                       .outcome == pools::submission_answer::kind::accepted;
        }));
    REQUIRE(eventually([&] { return first.running_count() == 1; }));

    // The lease of the earlier owner has ended, and `e0` was killed just after
    // its claim.
    is_cut_off = true;
    const auto free_at = base::steady_now();
    first.highest_reachable_fence = earlier->fence();
    platform.add_worker("w1", "pool", 100ms);
    platform.store.put(
        role, R"({"node":"e0","incarnation":1,"address":"127.0.0.1:1"})");
    const entry restarted(platform, "e0");
    const caller client;
    CHECK(eventually([&] { return client.owns_pool(restarted); }, 2s));
    // The earlier owner orders until 6 s after a renewal that its lease of 2.5
    // s has outlived, and the run lives for a lease after the last order.
    CHECK(!eventually([&] { return platform.starts_of(id_a + ".0.0.0") > 1; },
                      free_at + 3200ms - base::steady_now()));
    CHECK(first.running_count() == 1);
    may_order = false;
    const auto last_order_at = base::steady_now();
    CHECK(eventually([&] { return platform.starts_of(id_a + ".0.0.0") > 1; },
                     10s));
    CHECK(base::steady_now() - last_order_at >= 1500ms);
    first.highest_reachable_fence = 0;
    restarted.instance->stop();
    is_cut_off = false;
    earlier->quiesce();
}

// Guards against an address in the roster that ends the process when the worker
// is asked for its runs, and against a worker that is left out.
TEST_CASE("a roster with an invalid address is not used")
{
    platform_double platform;
    auto store = platform::store_client::builder{}
                     .connect_to(platform.store_address())
                     .build();
    const auto claim = store->commit({{}, {{"owner", "x", 0}}, {}});
    pools::roster_store roster("pool", "owner", claim.revision, *store);
    jobs::worker_description worker;
    worker.id = "w1";
    const auto load = [&](const std::string& address)
    {
        worker.address = address;
        platform.store.put(
            pools::roster_key("pool"),
            jobs::encode_roster(std::vector{jobs::roster_entry{worker}}));
        return pools::read_stored_pool("pool", *store, roster);
    };
    for (const char* address : {"", "nowhere", "127.0.0.1:70000"})
        CHECK_FALSE(load(address));
    CHECK(load("127.0.0.1:80")->roster.size() == 1);
}

// Guards against a second run of a task whose first one an owner kept alive
// that could not write: the owner after it took the lease ends that the one
// before had left at its hand-over for those of the workers.
TEST_CASE("an owner extends no lease while the stored lease ends look final")
{
    platform_double platform;
    auto& worker = platform.add_worker("w0", "pool", 100ms);
    bool refuses_commits = true;
    const auto reach_store =
        net::http_server::builder{}
            .listen_on({"127.0.0.1", 0})
            .handle_with(
                [&](const net::http_request& request)
                {
                    return refuses_commits && request.target == "/-/kv-txn"
                               ? net::http_response{503, "{}"}
                               : platform.store.handle(request);
                })
            .build();
    const auto store = platform::store_client::builder{}
                           .connect_to(reach_store->local_endpoint())
                           .build();
    const auto http = net::http_client::builder{}.max_idle(2).build();
    jobs::roster_entry left{platform::read_worker_entry(
        "w0", platform.store.value_of("servers/w0"))};
    left.lease_left = 200ms;
    platform.store.put(pools::roster_key("pool"),
                       jobs::encode_roster(std::vector{left}));
    platform.store.put("owner", "x");
    const auto owner =
        pools::pool_owner::builder{}
            .pool("pool")
            .ownership("owner", platform.store.revision_of("owner"))
            .store(*store)
            .http(*http)
            .worker_lease(1500ms)
            .may_order([] { return true; })
            .on_lost([](std::string_view) {})
            .build();
    owner->start();
    boost::this_fiber::sleep_for(600ms);
    CHECK(worker.calls == 0);
    refuses_commits = false;
    CHECK(eventually([&] { return worker.calls > 0; }, 2s));
    const auto stored =
        jobs::decode_roster(platform.store.value_of(pools::roster_key("pool")));
    for (const jobs::roster_entry& entry : stored)
        CHECK(!entry.lease_left);
    owner->quiesce();
}

// Guards against an end that a restarted worker forgets before it was read: the
// owner acknowledged the number of an end of the earlier incarnation.
TEST_CASE("ends of a new incarnation are not acknowledged unread")
{
    owned_pool all(std::vector<std::string>{"w0"}, 0ms);
    REQUIRE(all.submit_one_task());
    REQUIRE(eventually([&] { return all.is_completed(id_a); }, 3s));
    boost::this_fiber::sleep_for(1s);
    all.workers.at("w0")->restart();
    REQUIRE(all.submit_one_task(id_b));
    CHECK(eventually([&] { return all.is_completed(id_b); }, 3s));
    CHECK(all.platform.starts_of(id_b + ".0.0.0") == 1);
}

// Guards against a worker that is idle for good: it listed a run that was to be
// stopped, and nobody asked it whether the run had ended.
TEST_CASE("the room of a run that is to be stopped becomes free")
{
    owned_pool all(std::vector<std::string>{"w0"}, 50ms);
    auto& worker = *all.workers.at("w0");
    // A late order of an earlier owner is carried out.
    platform::worker_client client(*all.http);
    const auto& known = all.owner->state().workers().at("w0");
    const auto where = net::parse_endpoint(known.description.address);
    REQUIRE(where);
    worker.restart();
    client.start({*where, "w0", 0, {}}, {{id_b, 0, 0, 0}, 1, "w0", "lasts", {}},
                 100'000, base::steady_now() + 1s);
    REQUIRE(worker.running_count() == 1);
    all.list_workers();
    REQUIRE(eventually([&] { return worker.running_count() == 0; }, 3s));
    REQUIRE(all.submit_one_task());
    CHECK(eventually([&] { return all.starts() == 1; }, 3s));
}

// Guards against a pool whose record writes wait a second for each roster whose
// answer is lost: both are sent by one fiber.
TEST_CASE("a roster whose answer is lost is stored without delay")
{
    platform_double platform;
    auto store = platform::store_client::builder{}
                     .connect_to(platform.store_address())
                     .build();
    const auto claim = store->commit({{}, {{"owner", "x", 0}}, {}});
    pools::roster_store roster("pool", "owner", claim.revision, *store);
    CHECK(roster.load().empty());
    jobs::worker_description worker;
    worker.id = "w1";
    const std::vector entries{jobs::roster_entry{worker}};
    auto& faults = platform.store.faults;
    // The answer of the first write is lost, and that of the second is not.
    faults.loss_seed = 1;
    faults.lost_writes = 40;
    auto result = pools::roster_write::not_owner;
    const base::time_point begin = base::steady_now();
    CHECK_NOTHROW(result = roster.write(entries, {}));
    CHECK(result == pools::roster_write::stored);
    CHECK(base::steady_now() - begin < 500ms);
    faults.lost_writes = 0;
    CHECK(roster.load() == entries);
}

// Guards against a task that starts again while its run goes on: a poll without
// an answer extends the lease after the worker has been cut off, and the end of
// the run is listed when it is back (kavango-cues-grown, TWICE).
TEST_CASE("a run outlives its known lease after a late extension")
{
    owned_pool all(std::vector<std::string>{"w0", "w1"}, 6200ms, 3s);
    REQUIRE(all.submit_one_task());
    platform_standin::worker_double* used = nullptr;
    REQUIRE(eventually(
        [&]
        {
            for (auto& [id, worker] : all.workers)
                if (worker->running_count() == 1)
                    used = worker;
            return used != nullptr;
        },
        3s));
    const auto began = base::steady_now();
    used->late.from = used->late.to = 4s;
    used->late.is_time_counted_anew = true;
    used->late.next_polls = 1;
    REQUIRE(eventually([&] { return used->late_count == 1; }, 2s));
    // The poll after it is answered, and the next one extends the lease.
    const int calls = used->calls;
    REQUIRE(eventually([&] { return used->calls >= calls + 2; }, 3s));
    used->is_silent = true;
    boost::this_fiber::sleep_for(began + 7s - base::steady_now());
    used->is_silent = false;
    CHECK(eventually([&] { return all.is_completed(id_a); }, 3s));
    CHECK(all.starts() == 1);
}

// Guards against an end that nobody has read: a late poll to the earlier
// incarnation would acknowledge it by its number, and its task started again.
TEST_CASE("nothing starts while a late acknowledgement may arrive")
{
    owned_pool all(std::vector<std::string>{"w0"}, 50ms);
    auto& worker = *all.workers.at("w0");
    REQUIRE(all.submit_one_task());
    REQUIRE(eventually([&] { return worker.completions.size() == 1; }, 3s));
    worker.late.from = worker.late.to = 3s;
    worker.late.is_time_counted_anew = true;
    worker.late.next_polls = 1;
    REQUIRE(eventually([&] { return worker.late_count == 1; }, 2s));
    const int calls = worker.calls;
    REQUIRE(eventually([&] { return worker.calls >= calls + 2; }, 3s));
    worker.restart();
    all.list_workers();
    REQUIRE(eventually(
        [&] {
            return all.owner->state().workers().at("w0").born_ms ==
                   worker.born_ms();
        },
        2s));
    REQUIRE(all.submit_one_task(id_b));
    CHECK(!eventually(
        [&] { return all.platform.starts_of(id_b + ".0.0.0") > 0; }, 1s));
}

// Guards against tasks that wait longer for the leases of all silent workers
// because one worker has restarted under a poll.
TEST_CASE("a restart does not count as a call left unanswered")
{
    owned_pool all(std::vector<std::string>{"w0"}, 3s, 3s);
    auto& worker = *all.workers.at("w0");
    const auto& state = all.owner->state();
    REQUIRE(all.submit_one_task());
    REQUIRE(eventually([&] { return worker.running_count() == 1; }, 3s));
    REQUIRE(eventually([&] { return !state.workers().at("w0").runs.empty(); }));
    // The poll under way is answered, and the next one is not.
    worker.is_silent = true;
    REQUIRE(
        eventually([&] { return !state.workers().at("w0").is_reachable; }, 3s));
    worker.restart();
    worker.is_silent = false;
    REQUIRE(eventually(
        [&] { return state.workers().at("w0").born_ms == worker.born_ms(); },
        3s));
    CHECK(!state.leaves_unanswered(base::steady_now()));
}
