// A worker that restarts, and has seen no fence since, beside two owners.

#include "pools/contested_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

const std::string second_step = id_a + ".0.1.0";

// A job of two steps. The first one runs on "w1", beside a task that lasts, so
// that the second one fits on "w2" only.
struct two_step_pool : contested_pool
{
    platform_standin::worker_double& busy = add_worker("w1", 1500ms);
    platform_standin::worker_double& idle = add_worker("w2", 1500ms);
    claimant& first = take_over({"w1"});

    two_step_pool()
    {
        REQUIRE(eventually([&] { return first.accepts_starts("w1"); }));
        jobs::job_spec spec;
        spec.payload = "lasts";
        spec.steps.resize(1);
        spec.steps[0].need = {2000, 10, 0};
        spec.steps[0].estimate = 100ms;
        REQUIRE(submit(id_b, spec));
        spec.payload = "s";
        spec.steps.resize(2);
        spec.steps[1] = spec.steps[0];
        spec.steps[1].need.cpu_millis = 4000;
        spec.steps[1].after = {0};
        REQUIRE(submit(id_a, spec));
        REQUIRE(eventually([&] { return busy.running_count() == 2; }));
        list(first, {"w1", "w2"});
        REQUIRE(eventually([&] { return first.accepts_starts("w2"); }));
    }
    [[nodiscard]] bool submit(const std::string& id,
                              const jobs::job_spec& spec) const
    {
        return first.owner->submit(id, spec, "queue", base::steady_now() + 2s)
                   .outcome == pools::submission_answer::kind::accepted;
    }
};

} // namespace

// Guards against two runs at once: an owner that is cut off from the store
// starts a task at a worker that has restarted since the next owner has heard
// it, and which the next owner takes for one without runs.
TEST_CASE("an owner without its lease starts nothing on a restarted worker")
{
    two_step_pool pool;
    pool.busy.highest_reachable_fence = pool.first.owner->fence();
    pool.first.cut_from_store();
    pool.add_worker("w3", 1500ms);
    claimant& second = pool.take_over({"w1", "w3"});
    REQUIRE(eventually(
        [&]
        {
            return second.owner->is_loaded() && pool.idle.calls > 1 &&
                   second.accepts_starts("w3");
        },
        1s));
    pool.idle.restart();
    // The first step ends, and only the first owner hears of it.
    REQUIRE(eventually([&] { return pool.busy.completions.size() == 1; }, 3s));
    boost::this_fiber::sleep_for(300ms);
    pool.busy.highest_reachable_fence = 0;
    CHECK(eventually([&] { return second.is_completed(id_a); }, 5s));
    CHECK(pool.platform.starts_of(second_step) == 1);
    CHECK(pool.idle.starts.empty());
}

// Guards against accepted work that stops while the store is away, and against
// a worker that stays unused when it is back.
TEST_CASE("an owner without its lease uses workers that have not restarted")
{
    two_step_pool pool;
    pool.first.cut_from_store();
    bool has_restarted = false;
    SUBCASE("the worker goes on") {}
    SUBCASE("the worker restarts")
    {
        has_restarted = true;
        pool.idle.restart();
    }
    REQUIRE(eventually([&] { return pool.busy.completions.size() == 1; }, 3s));
    const int calls = pool.idle.calls;
    CHECK(eventually([&] { return pool.idle.starts.size() == 1; }, 1s) !=
          has_restarted);
    // Each try costs a call.
    CHECK(pool.idle.calls - calls < 6);
    pool.first.way.refuses = false;
    pool.first.holds_lease = true;
    CHECK(eventually([&] { return pool.idle.starts.size() == 1; }, 2s));
    CHECK(eventually([&] { return pool.first.is_completed(id_a); }, 4s));
    CHECK(pool.platform.starts_of(second_step) == 1);
}
