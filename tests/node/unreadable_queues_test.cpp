// The record of the pools that queues have had cannot be read.

#include "node/cluster.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

const std::string key = "pimentograde/queues";

/// A job in a pool that its queue has left.
void move_queue_with_job(cluster& all)
{
    all.platform.add_worker("x0", "other", 100ms);
    const entry& only = *all.entries[0];
    REQUIRE(all.client.submit(only, id_a, lasting) == 200);
    const std::vector<std::string> with_pool{"pool"};
    all.platform.configure(2, "other", with_pool);
    REQUIRE(eventually(
        [&]
        {
            return all.platform.store.value_of(key).find("other") !=
                   std::string::npos;
        }));
    REQUIRE(all.client.state(only, id_a) == running);
}

} // namespace

// Guards against an accepted job that is denied, and runs again in another pool
// when it is handed in again, since the record was replaced by the present
// assignments.
TEST_CASE("a job of an earlier pool is found although the record is unreadable")
{
    cluster all(1);
    move_queue_with_job(all);
    const std::string name = all.entries[0]->settings.name;
    all.entries[0]->instance->stop();
    all.platform.store.put(key, R"({"queues":[{"queue":1}]})");
    all.entries[0] = std::make_unique<entry>(all.platform, name);
    const entry& only = *all.entries[0];
    REQUIRE(eventually([&] { return only.instance->is_ready(); }));
    bool is_denied = false;
    CHECK(eventually(
        [&]
        {
            const std::string state = all.client.state(only, id_a);
            is_denied = state == "410";
            return is_denied || state == running;
        }));
    CHECK_FALSE(is_denied);
    CHECK(eventually(
        [&] { return all.client.submit(only, id_a, lasting) == 200; }));
    CHECK(all.platform.starts_of(id_a + ".0.0.0") == 1);
    // The instances that start later read it.
    CHECK(eventually(
        [&]
        {
            return all.platform.store.value_of(key).find("\"pool\"") !=
                   std::string::npos;
        }));
}

// Guards against a record that becomes unreadable while instances run, and is
// replaced by less than they know.
TEST_CASE("a running instance writes an unreadable record anew in full")
{
    cluster all(1);
    move_queue_with_job(all);
    all.platform.store.put(key, "?");
    CHECK(eventually(
        [&]
        {
            return all.platform.store.value_of(key).find("\"pool\"") !=
                   std::string::npos;
        }));
    CHECK(eventually(
        [&] { return all.client.state(*all.entries[0], id_a) == running; }));
}
