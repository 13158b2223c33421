// A pool whose owner runs another version of the program.

#include "node/cluster.hpp"
#include "peer/peer_server.hpp"
#include "peer/pool_messages.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

const std::string secret = "0123456789abcdef";

/// Owns the pool by the store, and answers submissions with one outcome.
struct odd_owner
{
    std::string outcome;
    std::unique_ptr<peer::peer_server> server =
        peer::peer_server::builder{}
            .listen_on({"127.0.0.1", 0})
            .authenticate_as({{base::member_id("odd"), 1}, secret})
            .handle<peer::submit_job>(
                [this](const peer::call_context&, const peer::submit_job&) {
                    return peer::submit_reply{outcome, 1s, "odd"};
                })
            .build();
};

} // namespace

// Guards against a refusal of a job that its owner may have accepted.
TEST_CASE("an outcome that an owner alone knows is no refusal")
{
    cluster all(0);
    odd_owner owner;
    all.platform.store.put("pimentograde/peer-secret", secret);
    all.platform.store.put("pimentograde/role/pool/pool",
                           R"({"node":"odd","incarnation":1,"address":")" +
                               net::to_string(owner.server->local_endpoint()) +
                               "\"}");
    all.entries.push_back(std::make_unique<entry>(all.platform, "e0"));
    const entry& only = *all.entries[0];
    REQUIRE(eventually([&] { return only.instance->is_ready(); }));
    owner.outcome = "accepted";
    REQUIRE(eventually(
        [&] { return all.client.submit(only, id_a, one_task) == 200; }));
    owner.outcome = "refused";
    CHECK(all.client.submit(only, id_b, one_task) == 503);
    owner.outcome = "accepted_later";
    CHECK(all.client.submit(only, id_b, one_task) == 504);
}
