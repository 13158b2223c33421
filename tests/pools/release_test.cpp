// When an owner lets the instance of a worker be moved or maintained.

#include "pools/contested_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against tasks that end with their worker: an owner that had been
// replaced without knowing it took the worker for idle, and released it.
TEST_CASE("an owner whose lease is not certain releases no worker")
{
    contested_pool pool;
    pool.add_worker("w1", 1200ms);
    claimant& first = pool.take_over({"w1"});
    REQUIRE(eventually([&] { return first.accepts_starts("w1"); }));
    first.cut_from_store();
    claimant& next = pool.take_over({"w1"});
    REQUIRE(eventually([&] { return next.accepts_starts("w1"); }));
    REQUIRE(next.submit(id_a, 1));
    REQUIRE(eventually(
        [&] { return pool.platform.worker("w1").running_count() == 1; }));
    CHECK_FALSE(first.owner->release_worker("w1", 2500ms));
    CHECK_FALSE(next.owner->release_worker("w1", 2500ms));
    CHECK(eventually([&] { return next.is_completed(id_a); }, 3s));
    CHECK(eventually([&] { return next.owner->release_worker("w1", 2500ms); },
                     1s));
}
