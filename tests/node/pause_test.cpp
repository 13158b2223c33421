// Answers of an instance whose process was paused, and whose connections to the
// store have gone silent meanwhile.

#include "node/cluster.hpp"
#include "node/pause_watch.hpp"

#include "platform_standin/relay.hpp"

#include <thread>

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

std::string configuration_with(const std::string& prefix)
{
    return R"({"Version":2,"Routes":[{"Name":"queue","Host":"h","Prefix":")" +
           prefix + R"(","Service":"pool","MaxAttempts":3}],
        "Services":[{"Name":"pool"}]})";
}

} // namespace

// Guards against an instance that was paused and, from the configuration that
// it had before, accepts a job under a route that is gone or denies a queue.
TEST_CASE("after a pause no job is accepted under an old configuration")
{
    cluster all(1);
    platform_standin::relay to_store(all.platform.store_address());
    all.entries.push_back(std::make_unique<entry>(all.platform, "e1", 1.0,
                                                  to_store.local_endpoint()));
    const entry& paused = *all.entries[1];
    REQUIRE(eventually(
        [&] { return all.client.submit(paused, id_a, two_steps) == 200; }));
    REQUIRE(all.owner() == 0);
    CHECK(all.client.call(paused, "GET", "/new/").status == 404);
    to_store.holds_answers = true;
    all.platform.store.put("op/config", configuration_with("/new/"));
    // The whole process stands still.
    std::this_thread::sleep_for(1500ms);
    const auto refused =
        all.client.call(paused, "POST", "/q/" + id_b, two_steps);
    CHECK(refused.status == 503);
    // It has been accepted before.
    CHECK(all.client.submit(paused, id_a, two_steps) == 200);
    CHECK(all.client.call(paused, "GET", "/new/").status == 503);
    CHECK(all.client.call(paused, "GET", "/q/" + id_b).status == 503);
    to_store.holds_answers = false;
    CHECK(eventually(
        [&] { return all.client.call(paused, "GET", "/new/").status == 200; },
        3s));
    CHECK(all.client.call(paused, "POST", "/q/" + id_b, two_steps).status ==
          404);
    CHECK(all.platform.starts_of(id_b + ".0.0.0") == 0);
}

// Guards against a refusal of a job that runs: after a pause an instance looked
// it up in the store, while its owner was storing it for an earlier call.
TEST_CASE("after a pause no job is refused that its owner is storing")
{
    cluster all(1);
    auto& faults = all.platform.store.faults;
    all.entries.push_back(std::make_unique<entry>(all.platform, "e1"));
    const entry& paused = *all.entries[1];
    REQUIRE(eventually(
        [&] { return all.client.submit(paused, id_a, one_task) == 200; }));
    REQUIRE(all.owner() == 0);
    faults.commit_delay = 2s;
    net::task_group calls;
    calls.spawn([&] { all.client.submit(*all.entries[0], id_b, one_task); });
    boost::this_fiber::sleep_for(50ms);
    // The configuration is confirmed later than the request arrives.
    faults.answer_delay = 60ms;
    // The whole process stands still.
    std::this_thread::sleep_for(1100ms);
    CHECK(all.client.submit(paused, id_b, one_task) == 504);
    calls.join();
    faults.commit_delay = {};
    faults.answer_delay = {};
    CHECK(all.completes(0, id_b));
}

// Guards against a caller who is told to come back and is then turned away for
// longer than the pause.
TEST_CASE("a job that was refused after a pause is accepted soon")
{
    cluster all(1);
    platform_standin::relay to_store(all.platform.store_address());
    all.entries.push_back(std::make_unique<entry>(all.platform, "e1", 1.0,
                                                  to_store.local_endpoint()));
    const entry& paused = *all.entries[1];
    REQUIRE(eventually(
        [&] { return all.client.submit(paused, id_a, one_task) == 200; }));
    REQUIRE(all.owner() == 0);
    to_store.holds_answers = true;
    // The whole process stands still.
    std::this_thread::sleep_for(1500ms);
    CHECK(all.client.submit(paused, id_b, one_task) == 503);
    to_store.holds_answers = false;
    CHECK(eventually(
        [&] { return all.client.submit(paused, id_b, one_task) == 200; }, 3s));
    CHECK(all.completes(1, id_b));
}

// Guards against a confirmation that was under way during the pause.
TEST_CASE("what was asked for before a pause ended confirms nothing")
{
    node::pause_watch pauses;
    const base::time_point start(100s);
    CHECK(pauses.note(start) == 0s);
    CHECK(pauses.note(start + 900ms) == 0s);
    CHECK(pauses.is_confirmed());
    CHECK(pauses.note(start + 2s) == 1100ms);
    CHECK_FALSE(pauses.is_confirmed());
    pauses.note_confirmed(start + 1s);
    CHECK_FALSE(pauses.is_confirmed());
    CHECK(pauses.note(start + 2100ms) == 0s);
    CHECK_FALSE(pauses.is_confirmed());
    pauses.note_confirmed(start + 2100ms);
    CHECK(pauses.is_confirmed());
}
