// A pool whose owner runs another version of the program.

#include "jobs/job_record.hpp"
#include "node/cluster.hpp"
#include "peer/peer_client.hpp"
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
    std::string record;
    std::unique_ptr<peer::peer_server> server =
        peer::peer_server::builder{}
            .listen_on({"127.0.0.1", 0})
            .authenticate_as({{base::member_id("odd"), 1}, secret})
            .handle<peer::submit_job>(
                [this](const peer::call_context&,
                       const peer::submit_job& message)
                {
                    record = message.record;
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
    CHECK(jobs::decode_record(id_a, owner.record).policy.max_attempts == 3);
    owner.outcome = "refused";
    CHECK(all.client.submit(only, id_b, one_task) == 503);
    owner.outcome = "accepted_later";
    CHECK(all.client.submit(only, id_b, one_task) == 504);
}

// Guards against a job that is given up at its first failure, since the owner
// of its pool has not read the configuration with its queue yet.
TEST_CASE("a job of a queue that its owner does not know has its attempts")
{
    cluster all(1);
    for (const char* worker : {"w0", "w1"})
        all.platform.worker(worker).outcome = "failed";
    jobs::job subject;
    subject.queue = "new";
    subject.policy = {"new", "pool", 0, 3, 1.6, 600ms};
    subject.spec.payload = "s";
    subject.spec.steps.resize(1);
    subject.spec.steps[0].need = {1000, 10, 0};
    subject.spec.steps[0].estimate = 100ms;
    const auto other =
        peer::peer_client::builder{}
            .connect_to(
                {"127.0.0.1", all.entries[0]->settings.first_internal_port})
            .authenticate_as(
                {{base::member_id("other"), 1},
                 all.platform.store.value_of("pimentograde/peer-secret")})
            .build();
    const auto reply = other->send(
        peer::submit_job{"pool", "new", id_a, jobs::encode_record(subject), 2s},
        base::steady_now() + 3s);
    REQUIRE(reply.outcome == "accepted");
    const auto state = [&]
    {
        return other
            ->send(peer::query_job{"pool", id_a}, base::steady_now() + 3s)
            .status;
    };
    CHECK(eventually(
        [&] { return all.platform.starts_of(id_a + ".0.0.0") == 2; }, 3s));
    for (const char* worker : {"w0", "w1"})
        all.platform.worker(worker).outcome = "done";
    CHECK(eventually([&] { return state() == "completed"; }, 3s));
}
