// Requests for a queue that has moved to another pool, at an instance that is
// cut off from the store and knows the configuration before.

#include "node/cluster.hpp"

#include "platform_standin/relay.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

const std::string task_of_a = id_a + ".0.0.0";

std::string configuration(int version, const std::string& pool_of_q)
{
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[{"Name":"queue","Host":"h","Prefix":"/q/",
        "Service":")" +
           pool_of_q + R"(","MaxAttempts":3,"Stretch":1.6,
        "TargetDurationMs":600},{"Name":"unmoved","Host":"h","Prefix":"/r/",
        "Service":"pool","MaxAttempts":3,"Stretch":1.6,
        "TargetDurationMs":600}],
        "Services":[{"Name":"pool"},{"Name":"other"}],
        "Limits":{"MaxBodyBytes":100000}})";
}

/// One instance that owns both pools, and another one that can be cut off.
struct moved_queue
{
    cluster all{1};
    platform_standin::relay to_store{all.platform.store_address()};

    moved_queue()
    {
        all.platform.add_worker("x0", "other", 100ms);
        configure(2, "pool");
        REQUIRE(eventually(
            [&] { return all.client.knows_worker(*all.entries[0], "x0"); }));
        all.entries.push_back(std::make_unique<entry>(
            all.platform, "e1", 1.0, to_store.local_endpoint()));
        REQUIRE(eventually([&] { return has_version(1, 2); }));
        REQUIRE(eventually(
            [&] { return is_answered("/q/") && is_answered("/r/"); }));
        wait_for_runs();
    }
    ~moved_queue() { to_store.refuses = false; }

    void configure(int version, const std::string& pool_of_q)
    {
        all.platform.store.put("op/config", configuration(version, pool_of_q));
    }
    void cut_off()
    {
        to_store.refuses = true;
        to_store.cut();
    }
    [[nodiscard]] bool has_version(std::size_t index, int version) const
    {
        return all.client.state_contains(*all.entries[index],
                                         "\"configuration_version\":" +
                                             std::to_string(version));
    }
    [[nodiscard]] bool is_answered(const std::string& prefix) const
    {
        return all.client.call(*all.entries[1], "GET", prefix).status == 200;
    }
    [[nodiscard]] unsigned submit(std::size_t index,
                                  const std::string& path) const
    {
        return all.client.call(*all.entries[index], "POST", path, one_task)
            .status;
    }
    /// Until jobs of the queue are run.
    void wait_for_runs()
    {
        REQUIRE(eventually(
            [&]
            {
                const std::string id =
                    "0000000000000" + std::to_string(next_id_++);
                return submit(0, "/q/" + id) == 200 &&
                       eventually(
                           [&] {
                               return all.client.state(*all.entries[0], id) ==
                                      completed;
                           },
                           1s);
            }));
    }
    void restart_owner()
    {
        const std::uint16_t port = all.entries[0]->settings.first_internal_port;
        all.entries[0]->instance->stop();
        all.entries[0].reset();
        all.entries[0] = std::make_unique<entry>(
            all.platform, "e0", 1.0, std::optional<net::endpoint>{}, port);
        REQUIRE(eventually(
            [&]
            {
                return all.client.state_contains(*all.entries[0],
                                                 "\"accepts_starts\":true") &&
                       all.client.call(*all.entries[0], "GET", "/r/").status ==
                           200;
            }));
    }

private:
    int next_id_ = 100;
};

} // namespace

// Guards against a job that runs in two pools: the earlier one's owner, which
// had denied the job, was replaced before the same request came again at an
// instance that did not know of the move.
TEST_CASE("a job of a moved queue is not accepted by the earlier pool's next "
          "owner")
{
    moved_queue setup;
    auto& all = setup.all;
    setup.cut_off();
    setup.configure(3, "other");
    REQUIRE(eventually([&] { return setup.has_version(0, 3); }));
    REQUIRE(eventually([&] { return setup.submit(0, "/q/" + id_a) == 200; }));
    REQUIRE(all.completes(0, id_a));
    setup.restart_owner();
    CHECK(setup.submit(1, "/q/" + id_a) == 504);
    boost::this_fiber::sleep_for(500ms);
    CHECK(all.platform.starts_of(task_of_a) == 1);
    // Queues that have not moved are served without the store.
    REQUIRE(setup.has_version(1, 2));
    CHECK(setup.submit(1, "/r/" + id_a) == 200);
}

// Guards against the same when the queue has moved back, so that both instances
// name the same pool.
TEST_CASE("a job of a queue that has moved to and fro is not accepted twice")
{
    moved_queue setup;
    auto& all = setup.all;
    setup.cut_off();
    setup.configure(3, "other");
    REQUIRE(eventually([&] { return setup.has_version(0, 3); }));
    REQUIRE(eventually([&] { return setup.submit(0, "/q/" + id_a) == 200; }));
    REQUIRE(all.completes(0, id_a));
    setup.configure(4, "pool");
    REQUIRE(eventually([&] { return setup.has_version(0, 4); }));
    setup.wait_for_runs();
    setup.restart_owner();
    CHECK(setup.submit(1, "/q/" + id_a) == 504);
    CHECK(setup.submit(0, "/q/" + id_a) == 200);
    boost::this_fiber::sleep_for(500ms);
    CHECK(all.platform.starts_of(task_of_a) == 1);
}

// Guards against a caller who is told that a job does not exist, or that it is
// cancelled, while it runs in the pool that its queue has moved to.
TEST_CASE("an instance without the store denies no job of a queue that has "
          "moved")
{
    moved_queue setup;
    auto& all = setup.all;
    setup.cut_off();
    setup.configure(3, "other");
    REQUIRE(eventually([&] { return setup.has_version(0, 3); }));
    REQUIRE(eventually(
        [&]
        {
            return all.client
                       .call(*all.entries[0], "POST", "/q/" + id_a, lasting)
                       .status == 200;
        }));
    const entry& outdated = *all.entries[1];
    CHECK(all.client.call(outdated, "DELETE", "/q/" + id_a).status == 503);
    CHECK(all.client.state(outdated, id_a) == "503");
    CHECK(all.client.call(outdated, "GET", "/q/").status == 503);
    // Queues that have not moved are served without the store.
    REQUIRE(setup.has_version(1, 2));
    CHECK(all.client.call(outdated, "GET", "/r/" + id_b).status == 410);
    CHECK(all.client.call(outdated, "DELETE", "/r/" + id_b).status == 410);
    CHECK(all.client.call(outdated, "GET", "/r/").status == 200);
    setup.to_store.refuses = false;
    CHECK(eventually(
        [&] {
            return all.client.call(outdated, "DELETE", "/q/" + id_a).status ==
                   200;
        }));
    CHECK(all.client.call(outdated, "DELETE", "/q/" + id_b).status == 410);
}
