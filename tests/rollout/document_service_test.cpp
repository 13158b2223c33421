#include "base/error.hpp"
#include "membership/member_service.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "peer/peer_server.hpp"
#include "rollout/adoption_table.hpp"
#include "rollout/document_service.hpp"
#include "rollout/simulated_store.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace pimentograde;
using namespace std::chrono_literals;
using rollout::admission;

namespace
{

const char* const key = "config/bundle";

// One document service whose store and only peer can be switched off.
struct fixture
{
    fixture()
    {
        net::this_thread_io();
        rollout::document_calls calls;
        calls.members = []
        {
            return std::vector{base::member_id("peer")};
        };
        calls.fetch = [this](const base::member_id&,
                             const peer::fetch_document&, base::time_point)
        {
            ++fetches;
            if (!peer_up)
                throw base::error(base::error_code::unavailable, "f", "", "");
            boost::this_fiber::yield();
            return peer::document_content{"bundle", peer_version, "peer"};
        };
        calls.push = [](const base::member_id&, const peer::push_document& m,
                        base::time_point)
        {
            return peer::version_reply{m.content.version};
        };
        service = rollout::document_service::builder{}
                      .store(store.operations())
                      .calls(calls)
                      .document(document, key, rollout::stored_version)
                      .clock(base::steady_now)
                      .build();
    }

    void sign_off()
    {
        store.operations().compare_and_swap(key, store.applied(key).size(),
                                            "store", {});
    }
    // Time passes in steps in which the process runs.
    admission admit_after(base::duration length)
    {
        const base::time_point end = now + length;
        while (now < end)
        {
            now += 500ms;
            service->observe(now);
        }
        return service->admit(now);
    }

    simulated_store store{1};
    bool peer_up = true;
    std::uint64_t peer_version = 0;
    int fetches = 0;
    base::time_point start = base::steady_now();
    base::time_point now = start;
    rollout::versioned_document document{"bundle"};
    std::unique_ptr<rollout::document_service> service;
};

} // namespace

// Guards against a starting instance that serves without a bundle or under an
// older one than its peers have.
TEST_CASE("a starting instance takes the highest version of store and peers")
{
    fixture f;
    CHECK(f.service->admit(f.now) == admission::no_bundle);
    CHECK(!f.service->wait_until_ready(base::steady_now() + 50ms));
    f.sign_off();
    f.peer_version = 7;
    CHECK(f.service->wait_until_ready(base::steady_now() + 1s));
    CHECK(f.document.version() == 7);
    CHECK(f.service->admit(f.now) == admission::ready);
}

TEST_CASE("a starting instance needs only one of store and peers")
{
    fixture from_store;
    from_store.peer_up = false;
    from_store.sign_off();
    CHECK(from_store.service->wait_until_ready(base::steady_now() + 1s));
    CHECK(from_store.document.version() == 1);
    fixture from_peer;
    from_peer.store.up = false;
    from_peer.peer_version = 3;
    CHECK(from_peer.service->wait_until_ready(base::steady_now() + 1s));
    CHECK(from_peer.document.version() == 3);
}

// Guards against a restarted instance at which a withdrawn key is in use again,
// since a member that has missed the newest bundle answered first.
TEST_CASE("a started instance takes no work by what one member has")
{
    fixture f;
    f.sign_off();
    f.sign_off();
    f.peer_version = 1;
    f.service->start();
    peer::heartbeat beat;
    beat.sender.id = base::member_id("peer");
    beat.bundle.version = 1;
    f.service->heard(beat, base::steady_now());
    f.service->settle();
    REQUIRE(f.document.version() == 1);
    CHECK(f.service->admit() == admission::resuming);
    const auto end = base::steady_now() + 1s;
    while (f.service->admit() != admission::ready && base::steady_now() < end)
        boost::this_fiber::sleep_for(10ms);
    CHECK(f.service->admit() == admission::ready);
    CHECK(f.document.version() == 2);
}

// Guards against a resumed instance that takes work under the bundle that was
// in force before its pause.
TEST_CASE("after a pause no new work is taken before a check")
{
    fixture f;
    f.sign_off();
    f.service->synchronise(base::steady_now() + 1s);
    CHECK(f.admit_after(1s) == admission::ready);
    f.now += 1500ms; // nothing ran
    CHECK(f.service->admit(f.now) == admission::resuming);
    f.store.up = false;
    f.peer_up = false;
    CHECK(!f.service->synchronise(base::steady_now() + 100ms));
    CHECK(f.service->admit(f.now) == admission::resuming);
    f.peer_up = true;
    f.peer_version = 2;
    CHECK(f.service->synchronise(base::steady_now() + 1s));
    CHECK(f.service->admit(f.now) == admission::ready);
    CHECK(f.document.version() == 2);
}

// Guards against a resumed instance that takes work as before, since the steady
// clock does not count the time for which its machine was suspended.
TEST_CASE("after a suspension no new work is taken before a check")
{
    net::this_thread_io();
    simulated_store store(1);
    store.operations().compare_and_swap(key, 0, "one", {});
    rollout::document_calls calls;
    calls.members = []
    {
        return std::vector<base::member_id>{};
    };
    rollout::versioned_document document("bundle");
    base::duration suspended{};
    auto service = rollout::document_service::builder{}
                       .store(store.operations())
                       .calls(calls)
                       .document(document, key, rollout::stored_version)
                       .clock([&] { return base::steady_now() + suspended; })
                       .build();
    service->synchronise(base::steady_now() + 1s);
    REQUIRE(service->admit() == admission::ready);
    suspended += 3s;
    CHECK(service->admit() == admission::resuming);
    CHECK(service->synchronise(base::steady_now() + 1s));
    CHECK(service->admit() == admission::ready);
}

// Guards against answers from before a pause that count as a check after it.
TEST_CASE("a check that was under way during the pause does not count")
{
    fixture f;
    f.sign_off();
    f.service->synchronise(base::steady_now() + 1s);
    net::task_group fibers;
    fibers.spawn([&] { f.service->synchronise(base::steady_now() + 1s); });
    boost::this_fiber::yield();
    f.now += 5s;
    f.service->observe(f.now);
    fibers.join();
    CHECK(f.service->admit(f.now) == admission::resuming);
}

TEST_CASE("without contact new work is refused after 8 s, not before")
{
    fixture f;
    f.sign_off();
    f.service->synchronise(base::steady_now() + 1s);
    CHECK(f.admit_after(8s) == admission::ready);
    CHECK(f.admit_after(1s) == admission::out_of_contact);
    peer::heartbeat beat;
    beat.sender.id = base::member_id("peer");
    f.service->heard(beat, f.now);
    CHECK(f.service->admit(f.now) == admission::ready);
}

// Guards against one fetch for each heartbeat while a fetch is in progress.
TEST_CASE("a reported version is fetched once")
{
    fixture f;
    f.peer_version = 4;
    peer::heartbeat beat;
    beat.sender.id = base::member_id("peer");
    beat.bundle.version = 4;
    for (int i = 0; i < 5; ++i)
        f.service->heard(beat, f.now);
    f.service->settle();
    CHECK(f.fetches == 1);
    CHECK(f.document.version() == 4);
    f.service->heard(beat, f.now);
    f.service->settle();
    CHECK(f.fetches == 1);
}

// Guards against a bundle in force that this process cannot read.
TEST_CASE("a document that the validator refuses is not adopted")
{
    rollout::versioned_document document(
        "bundle",
        [](std::string_view text)
        {
            if (text == "bad")
                throw base::error(base::error_code::invalid, "b", "", "bad");
        });
    std::vector<std::uint64_t> seen;
    document.on_adopt([&](const rollout::document_revision& revision)
                      { seen.push_back(revision.version); });
    CHECK(document.offer(1, "good", {}));
    CHECK(!document.offer(2, "bad", {}));
    CHECK(!document.offer(1, "good", {}));
    CHECK(document.offer(3, "good", {}));
    CHECK(seen == std::vector<std::uint64_t>{1, 3});
    CHECK(*document.current().text == "good");
}

TEST_CASE("the adoption table shows who lacks a version")
{
    rollout::adoption_table table;
    peer::heartbeat beat;
    beat.sender.id = base::member_id("b");
    beat.bundle = {4, base::from_millis(10)};
    table.heard(beat);
    beat.sender.id = base::member_id("a");
    beat.bundle = {5, base::from_millis(20)};
    table.heard(beat);
    REQUIRE(table.list().size() == 2);
    CHECK(table.list()[0].version == 5);
    CHECK(table.list()[1].adopted_at == base::from_millis(10));
    CHECK(table.in_force(4));
    CHECK(!table.in_force(5));
    table.forget(base::member_id("b"));
    CHECK(table.in_force(5));
}

namespace
{

// Peer server, membership and documents, wired as in an entry instance.
struct instance
{
    instance(const std::string& name, simulated_store& store,
             std::vector<net::endpoint> contacts)
    {
        const peer::credentials own{{base::member_id(name), 1}, "secret"};
        server =
            peer::peer_server::builder{}
                .listen_on({"127.0.0.1", 0})
                .authenticate_as(own)
                .handle<peer::heartbeat>(
                    [this](const auto& context, const peer::heartbeat& beat)
                    { return members->receive(context, beat); })
                .handle<peer::fetch_document>(
                    [this](const auto&, const peer::fetch_document& message)
                    { return documents->receive(message); })
                .handle<peer::push_document>(
                    [this](const auto&, const peer::push_document& message)
                    { return documents->receive(message); })
                .build();
        members = membership::member_service::builder{}
                      .self({own.self.member, server->local_endpoint(),
                             base::zone_name("z"), 1})
                      .secret("secret")
                      .first_contacts(std::move(contacts))
                      .fill_heartbeat([this](peer::heartbeat& beat)
                                      { documents->fill(beat); })
                      .build();
        rollout::document_calls calls;
        calls.members = [this]
        {
            std::vector<base::member_id> others;
            for (const auto& entry : members->table().live())
                if (entry.id != members->table().self().id)
                    others.push_back(entry.id);
            return others;
        };
        calls.fetch = [this](const base::member_id& to,
                             const peer::fetch_document& message,
                             base::time_point deadline)
        {
            return client(to)->send(message, deadline);
        };
        calls.push = [this](const base::member_id& to,
                            const peer::push_document& message,
                            base::time_point deadline)
        {
            if (mute)
                throw base::error(base::error_code::unavailable, "p", "", "");
            return client(to)->send(message, deadline);
        };
        documents = rollout::document_service::builder{}
                        .store(store.operations())
                        .calls(calls)
                        .document(bundle, key, rollout::stored_version)
                        .build();
        members->on_heartbeat(
            [this](const peer::heartbeat& beat, base::time_point now)
            { documents->heard(beat, now); });
        members->start();
    }
    ~instance()
    {
        server->stop_now();
        members->stop();
        documents->stop();
    }

    std::shared_ptr<peer::peer_client> client(const base::member_id& to)
    {
        auto found = members->client_of(to);
        if (!found)
            throw base::error(base::error_code::unavailable, "call", to.str(),
                              "unknown member");
        return found;
    }

    /// Pushes nothing: the others have to learn from heartbeats.
    bool mute = false;
    rollout::versioned_document bundle{"bundle"};
    std::unique_ptr<rollout::document_service> documents;
    std::unique_ptr<membership::member_service> members;
    std::unique_ptr<peer::peer_server> server;
};

template <class Condition>
base::duration time_until(Condition condition, base::duration limit)
{
    const auto start = base::steady_now();
    while (!condition() && base::steady_now() - start < limit)
        boost::this_fiber::sleep_for(2ms);
    return base::steady_now() - start;
}

} // namespace

// Guards against a lone instance that loses contact while its long poll has
// nothing to report, and against a stop that waits for the poll.
TEST_CASE("a pending watch is no loss of contact")
{
    net::this_thread_io();
    simulated_store store(1);
    auto operations = store.operations();
    bool release = false;
    int polls = 0;
    const auto watch = operations.watch;
    operations.watch = [&, watch](std::string_view name, std::uint64_t seen,
                                  base::time_point deadline)
    {
        ++polls;
        while (!release && seen >= store.applied(std::string(name)).size() &&
               base::steady_now() < deadline)
            boost::this_fiber::sleep_for(5ms);
        return watch(name, seen, deadline);
    };
    rollout::versioned_document document("bundle");
    rollout::document_calls calls;
    calls.members = []
    {
        return std::vector<base::member_id>{};
    };
    auto service = rollout::document_service::builder{}
                       .store(operations)
                       .calls(calls)
                       .document(document, key, rollout::stored_version)
                       .random_seed(1)
                       .cancel_watch([&] { release = true; })
                       .build();
    service->start();
    time_until([&] { return polls == 1; }, 3s);
    operations.compare_and_swap(key, 0, "one", {});
    CHECK(time_until([&] { return document.version() == 1; }, 1s) < 100ms);
    bool always_in_contact = true;
    const auto end = base::steady_now() + 9s;
    while (base::steady_now() < end)
    {
        // `resuming` would only show that the test itself was held up.
        always_in_contact =
            always_in_contact && service->admit() != admission::out_of_contact;
        boost::this_fiber::sleep_for(50ms);
    }
    CHECK(always_in_contact);
    CHECK(polls == 2);
    const auto start = base::steady_now();
    service = nullptr;
    CHECK(base::steady_now() - start < 1s);
    CHECK(release);
}

// Guards against a rollout that depends on the store after the acceptance: the
// targets are 1 s by push, and 3 s when nothing but heartbeats get through.
TEST_CASE("nine members have a new version in time without the store")
{
    net::this_thread_io();
    simulated_store store(1);
    store.up = false;
    std::vector<std::unique_ptr<instance>> all;
    for (int i = 0; i < 9; ++i)
        all.push_back(std::make_unique<instance>(
            "m" + std::to_string(i), store,
            i == 0 ? std::vector<net::endpoint>{}
                   : std::vector{all[0]->server->local_endpoint()}));
    const auto joined = time_until(
        [&]
        {
            return std::all_of(
                all.begin(), all.end(),
                [](const auto& m)
                { return m->members->table().live().size() == 9; });
        },
        10s);
    CHECK(joined < 10s);
    const auto everywhere = [&](std::uint64_t version)
    {
        return time_until(
            [&]
            {
                return std::all_of(all.begin(), all.end(),
                                   [&](const auto& m)
                                   { return m->bundle.version() == version; });
            },
            10s);
    };
    const auto start = base::steady_now();
    CHECK(all[3]->documents->accepted("bundle", 1, "one",
                                      base::steady_now() + 1s) == 8);
    everywhere(1);
    const auto pushed = base::steady_now() - start;
    CHECK(pushed < 1s);
    all[4]->mute = true;
    all[4]->documents->accepted("bundle", 2, "two", base::steady_now() + 1s);
    const auto spread = everywhere(2);
    CHECK(spread < 3s);
    MESSAGE("by push " << base::count_millis(pushed) << " ms, by heartbeats "
                       << base::count_millis(spread) << " ms");
}
