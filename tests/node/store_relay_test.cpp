// Instances that the store refuses while it serves their peers.

#include "node/cluster.hpp"

#include "platform_standin/relay.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

constexpr node::node_options with_relay{
    .uses_worker_speed = false,
    .waits_for_near_workers = false,
    .relays_store_calls = true,
};

/// Two instances; only the first one owns the pool, and its way to the store
/// can be cut.
struct refused_owner
{
    cluster all{0};
    platform_standin::relay to_store{all.platform.store_address()};

    explicit refused_owner(node::node_options options)
    {
        all.entries.push_back(std::make_unique<entry>(all.platform, "e0", 1.0,
                                                      to_store.local_endpoint(),
                                                      std::nullopt, options));
        REQUIRE(eventually([&] { return all.owner() == 0; }));
        all.entries.push_back(std::make_unique<entry>(
            all.platform, "e1", 1.0, std::nullopt, std::nullopt, options));
        REQUIRE(eventually([&] { return accepts(1, id_a); }));
        REQUIRE(eventually(
            [&]
            { return all.client.state_contains(*all.entries[0], "\"e1\""); }));
    }
    [[nodiscard]] bool accepts(std::size_t index, const std::string& id) const
    {
        return all.client.submit(*all.entries[index], id, two_steps) == 200;
    }
    void refuse()
    {
        to_store.refuses = true;
        to_store.cut();
    }
};

} // namespace

// Guards against a pool whose owner is turned away by the store: its callers
// are refused for seconds, until another instance has taken the pool over.
TEST_CASE("an owner that the store refuses keeps its pool through a peer")
{
    refused_owner setup(with_relay);
    const std::string role = "pimentograde/role/pool/pool";
    const std::int64_t claimed = setup.all.platform.store.revision_of(role);
    setup.refuse();
    const base::time_point until = base::steady_now() + 5s;
    int refused = 0;
    for (int index = 0; base::steady_now() < until; ++index)
    {
        const std::string id = "00000000000001" + std::to_string(10 + index);
        if (!setup.accepts(index % 2, id))
            ++refused;
        boost::this_fiber::sleep_for(100ms);
    }
    // The first calls after the cut show that the store does not answer.
    CHECK(refused <= 2);
    CHECK(setup.all.owner() == 0);
    CHECK(setup.all.platform.store.revision_of(role) == claimed);
    CHECK(setup.all.completes(1, "0000000000000120"));
    setup.to_store.refuses = false;
    CHECK(eventually([&] { return setup.accepts(0, id_b); }));
}

// Guards against a relay that is in use where nobody has asked for it.
TEST_CASE("without the flag an owner that the store refuses loses its pool")
{
    refused_owner setup(node::node_options{});
    const std::string role = "pimentograde/role/pool/pool";
    const std::int64_t claimed = setup.all.platform.store.revision_of(role);
    setup.refuse();
    CHECK(eventually(
        [&] { return setup.all.platform.store.revision_of(role) != claimed; }));
}
