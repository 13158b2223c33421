// The record of the pools that each queue has had.

#include "node/cluster.hpp"
#include "node/queue_recorder.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

const std::string key = "pimentograde/queues";

platform::configuration with_pool(const std::string& pool, std::int64_t version)
{
    platform::queue_route route;
    route.host = "h";
    route.path_prefix = "/q/";
    route.policy.pool = pool;
    platform::configuration current;
    current.version = version;
    current.queues = {route};
    return current;
}

} // namespace

// Guards against a job that runs in two pools: the record could not be read,
// and was replaced by one without the pool in which the job was.
TEST_CASE("an unreadable record of the queues' pools is replaced by what is "
          "known")
{
    platform_double platform;
    const auto store = platform::store_client::builder{}
                           .connect_to(platform.store_address())
                           .build();
    node::queue_recorder recorder(*store);
    recorder.apply_listing({});
    recorder.set_configuration(with_pool("first", 1));
    recorder.start();
    const auto stored_pools = [&]
    {
        const std::string text = platform.store.value_of(key);
        return text.starts_with("{\"")
                   ? node::queue_pools::decode(text).earlier_pools(
                         with_pool("next", 2).queues[0])
                   : std::vector<std::string>{};
    };
    REQUIRE(eventually([&] { return stored_pools().size() == 1; }));
    platform.store.put(key, "{");
    const auto changes = store->list("pimentograde/").items;
    REQUIRE(changes.size() == 1);
    recorder.set_configuration(with_pool("next", 2));
    recorder.apply_listing(changes);
    CHECK(recorder.wait_stored(with_pool("next", 2).queues[0],
                               base::steady_now() + 2s));
    CHECK(stored_pools() == std::vector<std::string>{"first"});
}
