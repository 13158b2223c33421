// The roles of an instance end with its lease.

#include "node/cluster.hpp"
#include "node/session.hpp"
#include "pools/ownership_times.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

struct registered_session
{
    platform_double platform;
    int renewals = 0;
    std::unique_ptr<platform::store_client> store =
        platform::store_client::builder{}
            .connect_to(platform.store_address())
            .on_call([this](std::string_view step, bool, base::duration)
                     { renewals += step == "renew lease" ? 1 : 0; })
            .build();
    int losses = 0;
    node::session members{{"e0", "z", 7, {"127.0.0.1", 1}, 1.0},
                          *store,
                          {[] {},
                           [this]
                           {
                               ++losses;
                           }}};

    registered_session()
    {
        members.start();
        REQUIRE(eventually([&] { return members.is_registered(); }));
    }
    ~registered_session() { members.stop(); }

    platform::store_item stored_role(std::int64_t revision) const
    {
        return {node::session::role_key("pool/a"),
                R"({"node":"e0","incarnation":7,"address":"127.0.0.1:1"})",
                revision, revision};
    }
};

} // namespace

// Guards against orders under a role that ran out while the process was
// suspended: the lease is renewed anew before the watch tells of the loss.
TEST_CASE("a role ends at once with the lease it was claimed under")
{
    registered_session one;
    const auto revision = one.members.claim("pool/a");
    REQUIRE(revision);
    REQUIRE(one.members.holder_of("pool/a") != nullptr);
    one.platform.store.end_leases();
    REQUIRE(eventually([&] { return one.losses == 1; }));
    CHECK(one.members.holder_of("pool/a") == nullptr);
    CHECK(eventually([&] { return one.members.is_registered(); }, 500ms));
    // A late change still shows the claim under the old lease.
    one.members.apply_changes(
        std::vector{platform::store_event{one.stored_role(*revision), false}});
    CHECK(one.members.holder_of("pool/a") == nullptr);
    CHECK(one.members.claim("pool/a").has_value());
}

// Guards against a claim that takes effect without an answer and is ignored.
TEST_CASE("a claim without an answer counts once the watch shows it")
{
    registered_session one;
    const std::int64_t later = 1'000'000;
    one.members.apply_changes(
        std::vector{platform::store_event{one.stored_role(later), false}});
    REQUIRE(one.members.holder_of("pool/a") != nullptr);
    CHECK(one.members.is_own(*one.members.holder_of("pool/a")));
}

// Guards against orders of an ended owner: its process has a new lease before
// the claim loop, which may be waiting for the store, closes the owner.
TEST_CASE("a new lease permits no orders under a role of the ended one")
{
    registered_session one;
    const auto revision = one.members.claim("pool/a");
    REQUIRE(revision);
    const auto may_order = [&](std::int64_t claimed)
    {
        return one.members.may_order("pool/a", claimed,
                                     base::suspend_aware_now());
    };
    CHECK(may_order(*revision));
    one.platform.store.end_leases();
    REQUIRE(eventually([&] { return one.losses == 1; }));
    CHECK(!may_order(*revision));
    REQUIRE(eventually([&] { return one.members.is_registered(); }));
    CHECK(!may_order(*revision));
    const auto next = one.members.claim("pool/a");
    REQUIRE(next);
    CHECK(may_order(*next));
    CHECK(!may_order(*revision));
}

// Guards against a role that nobody can claim: the answer to a claim came after
// its lease had ended, and the instance took itself for the holder for good.
TEST_CASE("a claim that is answered after the end of its lease does not count")
{
    registered_session one;
    auto& store = one.platform.store;
    store.faults.commit_answer_delay = 950ms;
    std::optional<std::int64_t> revision;
    net::task_group claims;
    claims.spawn([&] { revision = one.members.claim("pool/a"); });
    boost::this_fiber::sleep_for(50ms);
    REQUIRE(store.revision_of(node::session::role_key("pool/a")) > 0);
    store.end_leases();
    store.faults.commit_answer_delay = {};
    REQUIRE(eventually([&] { return one.losses == 1; }));
    REQUIRE(eventually([&] { return one.members.is_registered(); }));
    claims.join();
    CHECK(!revision);
    CHECK(one.members.holder_of("pool/a") == nullptr);
    CHECK(one.members.claim("pool/a").has_value());
}

// Guards against a role that nobody can claim: the instance missed the change
// that removed it, and each claim expected the revision of the removed key.
TEST_CASE("a refused claim shows the present holder")
{
    registered_session one;
    const std::int64_t removed = 1'000'000;
    one.members.apply_changes(
        std::vector{platform::store_event{one.stored_role(removed), false}});
    REQUIRE(one.members.holder_of("pool/a") != nullptr);
    CHECK(!one.members.claim("pool/a"));
    CHECK(one.members.holder_of("pool/a") == nullptr);
    CHECK(one.members.claim("pool/a").has_value());
    one.members.apply_changes(
        std::vector{platform::store_event{one.stored_role(removed), false}});
    one.platform.store.put(
        node::session::role_key("pool/a"),
        R"({"node":"e1","incarnation":8,"address":"127.0.0.1:1"})");
    CHECK(!one.members.claim("pool/a"));
    REQUIRE(one.members.holder_of("pool/a") != nullptr);
    CHECK(one.members.holder_of("pool/a")->node == "e1");
}

// Guards against roles that end since answers to renewals are lost while three
// of five arrive (lcq-sched with lost answers of the store: most of the calls
// without an answer were renewals, and owners did without their lease).
TEST_CASE("a lease stays certain while two answers of five are lost")
{
    registered_session one;
    auto& faults = one.platform.store.faults;
    faults.late_from = 1s;
    faults.late_to = 6s;
    faults.loss_seed = 9;
    faults.lost_writes = 40;
    int uncertain = 0;
    const base::time_point end = base::steady_now() + 12s;
    while (base::steady_now() < end)
    {
        boost::this_fiber::sleep_for(20ms);
        if (!one.members.holds_lease(base::suspend_aware_now()))
            ++uncertain;
    }
    CHECK(uncertain == 0);
    CHECK(one.losses == 0);
    faults.lost_writes = 0;
}

// Guards against calls beyond the store's budget: renewals that are sent again
// although the store is slow and each of them is answered.
TEST_CASE("renewals are not repeated while the store is slow")
{
    registered_session one;
    one.platform.store.faults.answer_delay = 200ms;
    boost::this_fiber::sleep_for(1500ms);
    one.renewals = 0;
    boost::this_fiber::sleep_for(4s);
    CHECK(one.renewals >= 3);
    CHECK(one.renewals <= 5);
    CHECK(one.losses == 0);
    CHECK(one.members.holds_lease(base::suspend_aware_now()));
}

// Guards against an instance that is no longer a member while its lease lasts:
// a registration without an answer takes effect late, replaces the one that
// followed, and ends with its own lease.
TEST_CASE("a registration that takes effect late does not replace a newer one")
{
    platform_double platform;
    auto& faults = platform.store.faults;
    faults.late_from = 2s;
    faults.late_to = 2s;
    bool is_first = true;
    const auto store =
        platform::store_client::builder{}
            .connect_to(platform.store_address())
            .on_call(
                [&](std::string_view step, bool is_ok, base::duration)
                {
                    if (step == "grant lease" && std::exchange(is_first, false))
                        faults.lost_writes = 100;
                    else if (step == "commit" && !is_ok)
                        faults.lost_writes = 0;
                })
            .build();
    node::session members{{"e0", "z", 7, {"127.0.0.1", 1}, 1.0},
                          *store,
                          {[] {},
                           [] {
                           }}};
    members.start();
    CHECK(eventually([&] { return members.is_registered(); }, 3s));
    const std::string key = "pimentograde/member/e0";
    const base::time_point end = base::steady_now() + 4s;
    int absent = 0;
    while (base::steady_now() < end)
    {
        absent += platform.store.value_of(key).empty() ? 1 : 0;
        boost::this_fiber::sleep_for(20ms);
    }
    CHECK(absent == 0);
    CHECK(members.is_registered());
    members.stop();
}

// Guards against orders after the time for which the next owner allows: it
// claims the role as soon as the lease has run out, and loads the pool at once.
TEST_CASE("an instance without the store orders no longer than the next owner "
          "allows for")
{
    platform_double platform;
    platform_standin::relay way(platform.store_address());
    const auto store = platform::store_client::builder{}
                           .connect_to(way.local_endpoint())
                           .build();
    const auto other = platform::store_client::builder{}
                           .connect_to(platform.store_address())
                           .build();
    node::session members{{"e0", "z", 7, {"127.0.0.1", 1}, 1.0},
                          *store,
                          {[] {},
                           [] {
                           }}};
    members.start();
    REQUIRE(eventually([&] { return members.is_registered(); }));
    const auto revision = members.claim("pool/a");
    REQUIRE(revision);
    // Some renewals later.
    boost::this_fiber::sleep_for(2s);
    way.refuses = true;
    way.cut();
    const auto is_free = [&]
    {
        return !other->get(node::session::role_key("pool/a"));
    };
    REQUIRE(eventually(is_free, 4s));
    const base::time_point free_at = base::suspend_aware_now();
    CHECK(members.may_order("pool/a", *revision, free_at));
    CHECK(!members.may_order("pool/a", *revision,
                             free_at + pools::max_orders_after_takeover));
    way.refuses = false;
    members.stop();
}
