#include "base/error.hpp"
#include "membership/member_service.hpp"
#include "net/io_scheduler.hpp"
#include "peer/peer_server.hpp"
#include "standin/port_reservation.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>

#include <map>
#include <memory>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

// A store that can be switched off.
struct fake_store
{
    bool up = true;
    std::map<std::string, std::string> values;

    provider::kv_operations operations()
    {
        provider::kv_operations result;
        const auto require_up = [this]
        {
            if (!up)
                throw base::error(base::error_code::unavailable, "store", "",
                                  "down");
        };
        result.acquire_lease = [=](std::string_view, std::string_view holder,
                                   base::duration, base::time_point)
        {
            require_up();
            return provider::lease_grant{true, std::string(holder)};
        };
        result.release_lease =
            [=, this](std::string_view name, std::string_view, base::time_point)
        {
            require_up();
            values.erase(std::string(name));
        };
        result.put_leased = [=, this](std::string_view key,
                                      std::string_view value, std::string_view,
                                      base::time_point)
        {
            require_up();
            values[std::string(key)] = value;
        };
        result.list = [=, this](std::string_view, base::time_point)
        {
            require_up();
            std::vector<provider::kv_item> items;
            for (const auto& [key, value] : values)
                items.push_back({key, {value, 1}});
            return items;
        };
        return result;
    }
};

// One member: peer server and service, wired as in an entry instance.
struct test_member
{
    test_member(const std::string& name, fake_store& store,
                std::vector<net::endpoint> contacts, std::uint64_t incarnation,
                net::endpoint where = {"127.0.0.1", 0},
                std::function<base::time_point()> clock = base::steady_now)
    {
        const peer::credentials own{{base::member_id(name), incarnation},
                                    "secret"};
        server =
            peer::peer_server::builder{}
                .listen_on(std::move(where))
                .authenticate_as(own)
                .handle<peer::heartbeat>(
                    [this](const auto& context, const peer::heartbeat& beat)
                    { return service->receive(context, beat); })
                .handle<peer::leaving>(
                    [this](const auto& context, const peer::leaving& message)
                    { return service->receive(context, message); })
                .build();
        service = membership::member_service::builder{}
                      .self({own.self.member, server->local_endpoint(),
                             base::zone_name("z"), incarnation})
                      .secret("secret")
                      .store(store.operations())
                      .first_contacts(std::move(contacts))
                      .random_seed(incarnation)
                      .clock(std::move(clock))
                      .build();
        service->on_change([this](const membership::member_change& change)
                           { changes.push_back(change); });
        service->start();
    }
    ~test_member()
    {
        server->stop_now();
        service->stop();
    }

    std::size_t live() const { return service->table().live().size(); }

    std::unique_ptr<membership::member_service> service;
    std::unique_ptr<peer::peer_server> server;
    membership::change_list changes;
};

template <class Condition>
bool wait_for(Condition condition, base::duration limit)
{
    const auto end = base::steady_now() + limit;
    while (!condition())
    {
        if (base::steady_now() > end)
            return false;
        boost::this_fiber::sleep_for(10ms);
    }
    return true;
}

} // namespace

TEST_CASE("members find each other through one contact without the store")
{
    net::this_thread_io();
    fake_store store;
    store.up = false;
    test_member first("a", store, {}, 1);
    const auto contact = first.server->local_endpoint();
    test_member second("b", store, {contact}, 1);
    test_member third("c", store, {contact}, 1);
    CHECK(wait_for(
        [&] {
            return first.live() == 3 && second.live() == 3 && third.live() == 3;
        },
        3s));
    CHECK(second.service->table().owner("x") ==
          third.service->table().owner("x"));
    CHECK(second.service->client_of(base::member_id("c")) != nullptr);
    CHECK(second.service->client_of(base::member_id("b")) == nullptr);
}

TEST_CASE("members find each other through the store alone")
{
    net::this_thread_io();
    fake_store store;
    test_member first("a", store, {}, 1);
    CHECK(wait_for([&] { return store.values.contains("members/a"); }, 2s));
    {
        test_member second("b", store, {}, 1);
        CHECK(wait_for([&] { return first.live() == 2 && second.live() == 2; },
                       3s));
    }
    CHECK(!store.values.contains("members/b"));
}

// Guards against a killed member that keeps its ownership, and against a
// restarted one that is not found again.
TEST_CASE("a killed member is dropped within 4 s and rejoins after a restart")
{
    net::this_thread_io();
    fake_store store;
    store.up = false;
    test_member first("a", store, {}, 1);
    const standin::port_reservation port;
    auto second = std::make_unique<test_member>(
        "b", store, std::vector{first.server->local_endpoint()}, 1,
        port.where());
    REQUIRE(wait_for([&] { return first.live() == 2; }, 2s));
    const auto killed = base::steady_now();
    second = nullptr;
    CHECK(wait_for([&] { return first.live() == 1; }, 4s));
    CHECK(base::steady_now() - killed > 2500ms);
    second = std::make_unique<test_member>(
        "b", store, std::vector{first.server->local_endpoint()}, 2,
        port.where());
    CHECK(
        wait_for([&] { return first.live() == 2 && second->live() == 2; }, 2s));
    CHECK(first.service->table().find(base::member_id("b"))->incarnation == 2);
}

TEST_CASE("a planned end gives up ownership at once")
{
    net::this_thread_io();
    fake_store store;
    store.up = false;
    test_member first("a", store, {}, 1);
    test_member second("b", store, {first.server->local_endpoint()}, 1);
    REQUIRE(
        wait_for([&] { return first.live() == 2 && second.live() == 2; }, 2s));
    second.service->announce_leaving(base::steady_now() + 1s);
    for (int i = 0; i < 10; ++i)
    {
        CHECK(first.service->table().owner(std::to_string(i)) ==
              base::member_id("a"));
        CHECK(second.service->table().owner(std::to_string(i)) ==
              base::member_id("a"));
    }
}

// Guards against a member that is cut off from the others for good after an
// unexpected error, for example of one that listens to its changes.
TEST_CASE("heartbeats and checks go on after an unexpected error")
{
    net::this_thread_io();
    fake_store store;
    store.up = false;
    test_member first("a", store, {}, 1);
    bool fails = true;
    const auto fail_once = [&](const membership::member_change&)
    {
        if (std::exchange(fails, false))
            throw std::runtime_error("unexpected");
    };
    auto second = std::make_unique<test_member>(
        "b", store, std::vector{first.server->local_endpoint()}, 1);
    second->service->on_change(fail_once);
    REQUIRE(wait_for([&] { return second->live() == 2 && !fails; }, 2s));
    // Past the time after which a silent member is dropped.
    boost::this_fiber::sleep_for(4s);
    CHECK(first.live() == 2);
    CHECK(second->live() == 2);
    fails = true;
    first.service->on_change(fail_once);
    second = nullptr;
    CHECK(wait_for([&] { return first.live() == 1; }, 5s));
    CHECK_FALSE(fails);
}

// Guards against a member that drops all others, and what they own, since its
// machine was suspended, or that does not notice the suspension at all.
TEST_CASE("a suspension is noticed as a pause, and nobody is dropped for it")
{
    net::this_thread_io();
    fake_store store;
    store.up = false;
    base::duration suspended{};
    test_member first("a", store, {}, 1, {"127.0.0.1", 0},
                      [&] { return base::steady_now() + suspended; });
    test_member second("b", store, {first.server->local_endpoint()}, 1);
    REQUIRE(
        wait_for([&] { return first.live() == 2 && second.live() == 2; }, 2s));
    first.changes.clear();
    suspended += 60s;
    CHECK(wait_for([&] { return !first.changes.empty(); }, 1s));
    boost::this_fiber::sleep_for(1s);
    REQUIRE(first.changes.size() == 1);
    CHECK(first.changes[0].kind == membership::change_kind::paused);
    CHECK(first.live() == 2);
}

// Guards against a member that speaks for another.
TEST_CASE("a heartbeat that names another sender is refused")
{
    net::this_thread_io();
    fake_store store;
    store.up = false;
    test_member first("a", store, {}, 1);
    auto client = peer::peer_client::builder{}
                      .connect_to(first.server->local_endpoint())
                      .authenticate_as({{base::member_id("b"), 1}, "secret"})
                      .build();
    peer::heartbeat beat;
    beat.sender = {base::member_id("c"), {"127.0.0.1", 1}, {}, 1};
    CHECK_THROWS_AS(client->send(beat, base::steady_now() + 1s), base::error);
    CHECK(first.live() == 1);
}

TEST_CASE("incarnations rise with time")
{
    const auto early = base::from_millis(1'700'000'000'000);
    CHECK(membership::new_incarnation(early, ~std::uint64_t{0}) <
          membership::new_incarnation(early + 1ms, 0));
}
