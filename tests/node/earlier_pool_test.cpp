// Jobs of a queue that has moved to another pool, whose record is still on its
// way to the store.

#include "jobs/job_record.hpp"
#include "node/cluster.hpp"
#include "node/queue_pools.hpp"
#include "peer/peer_client.hpp"
#include "peer/pool_messages.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against a job that runs in two pools: its record in the first one was
// on its way to a slow store when the same request arrived again, and was taken
// for absent.
TEST_CASE("a job that its queue's earlier pool is storing is not taken anew")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    all.platform.add_worker("x0", "other", 100ms);
    const std::vector<std::string> with_pool{"pool"};
    const std::vector<std::string> with_other{"other"};
    const std::string task = ".0.0.0";
    // Both pools are in use, and known as the queue's.
    all.platform.configure(2, "other", with_pool);
    int next = 10;
    REQUIRE(eventually(
        [&]
        {
            const std::string id = "00000000000000" + std::to_string(next++);
            return all.client.submit(only, id, one_task) == 200 &&
                   eventually(
                       [&] {
                           return all.platform.worker("x0").starts.contains(
                               id + task);
                       },
                       300ms);
        }));
    all.platform.configure(3, "pool", with_other);
    REQUIRE(eventually(
        [&]
        {
            const std::string id = "00000000000000" + std::to_string(next++);
            return all.client.submit(only, id, one_task) == 200 &&
                   eventually(
                       [&]
                       {
                           return all.platform.starts_of(id + task) == 1 &&
                                  !all.platform.worker("x0").starts.contains(
                                      id + task);
                       },
                       300ms);
        }));
    all.platform.store.faults.commit_delay = 800ms;
    unsigned first = 0;
    net::task_group calls;
    calls.spawn([&] { first = all.client.submit(only, id_a, one_task); });
    boost::this_fiber::sleep_for(50ms);
    all.platform.configure(4, "other", with_pool);
    boost::this_fiber::sleep_for(300ms);
    CHECK(all.platform.starts_of(id_a + task) == 0);
    const unsigned second = all.client.submit(only, id_a, one_task);
    calls.join();
    all.platform.store.faults.commit_delay = {};
    CHECK(first == 200);
    CHECK((second == 200 || second == 504));
    REQUIRE(eventually(
        [&] { return all.client.submit(only, id_a, one_task) == 200; }));
    CHECK(all.completes(0, id_a));
    boost::this_fiber::sleep_for(1s);
    CHECK(all.platform.starts_of(id_a + task) == 1);
}

// Guards against a job that runs in two pools: the queue had the first one in a
// configuration that the instance has not seen, and the instance reads of it
// while the same request waits.
TEST_CASE("a job in a pool of a configuration that was not seen is found")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    auto& store = all.platform.store;
    all.platform.add_worker("x0", "other", 100ms);
    all.platform.configure(2, "pool", std::vector<std::string>{"other"});
    REQUIRE(eventually([&] { return all.client.knows_worker(only, "x0"); }));
    store.faults.silent_watch = "pimentograde/";
    const std::string key = "pimentograde/queues";
    node::queue_pools pools = node::queue_pools::decode(store.value_of(key));
    pools.merge(node::queue_pools::decode(
        R"({"queues":[{"queue":"h/q/","pools":["third"]}]})"));
    store.put(key, pools.encode());
    jobs::job stored;
    stored.queue = "queue";
    stored.status = jobs::job_status::completed;
    store.put("pimentograde-jobs/third/" + id_a, jobs::encode_record(stored));
    store.faults.commit_delay = 300ms;
    all.platform.configure(3, "other", std::vector<std::string>{"pool"});
    REQUIRE(eventually(
        [&] {
            return all.client.state_contains(only,
                                             "\"configuration_version\":3");
        },
        250ms));
    CHECK(all.client.submit(only, id_a, one_task) == 200);
    CHECK(store.keys_under("pimentograde-jobs/other/").empty());
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 0);
}

// Guards against a job that runs in two pools: the first one's owner had said
// that it does not know the job, and accepted a submission that came late.
TEST_CASE("a submission that arrives after its job was accepted elsewhere is "
          "neither accepted nor refused")
{
    cluster all(1);
    const auto& only = *all.entries[0];
    all.platform.add_worker("x0", "other", 100ms);
    all.platform.configure(2, "other", std::vector<std::string>{"pool"});
    const std::string task = ".0.0.0";
    int next = 10;
    REQUIRE(eventually(
        [&]
        {
            const std::string id = "00000000000000" + std::to_string(next++);
            return all.client.submit(only, id, one_task) == 200 &&
                   eventually(
                       [&] {
                           return all.platform.worker("x0").starts.contains(
                               id + task);
                       },
                       300ms);
        }));
    REQUIRE(all.client.submit(only, id_a, one_task) == 200);
    jobs::job subject;
    subject.queue = "queue";
    subject.spec.payload = "s";
    subject.spec.steps.resize(1);
    subject.spec.steps[0].need = {1000, 10, 0};
    subject.spec.steps[0].estimate = 100ms;
    const auto other =
        peer::peer_client::builder{}
            .connect_to({"127.0.0.1", only.settings.first_internal_port})
            .authenticate_as(
                {{base::member_id("other"), 1},
                 all.platform.store.value_of("pimentograde/peer-secret")})
            .build();
    const auto reply =
        other->send(peer::submit_job{"pool", "queue", id_a,
                                     jobs::encode_record(subject), 2s},
                    base::steady_now() + 3s);
    // The job runs, so a refusal would be untrue.
    CHECK(reply.outcome == "unknown");
    CHECK(all.completes(0, id_a));
    boost::this_fiber::sleep_for(300ms);
    CHECK(all.platform.starts_of(id_a + task) == 1);
}
