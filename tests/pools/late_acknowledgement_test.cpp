// A worker that carries out a poll seconds after it was sent: it forgets the
// ends that the poll acknowledges, also those of its next incarnation.

#include "pools/owned_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

// The double's server does not end while calls wait in the worker.
struct released_at_end
{
    platform_standin::worker_double& worker;
    explicit released_at_end(platform_standin::worker_double& subject)
        : worker(subject)
    {
    }
    ~released_at_end()
    {
        worker.is_silent = false;
        worker.delays_acknowledgements = false;
    }
    released_at_end(const released_at_end&) = delete;
    released_at_end& operator=(const released_at_end&) = delete;
};

// A pool whose worker has got a poll that acknowledges an end, and carries it
// out later.
struct delayed_acknowledgement
{
    owned_pool all{std::vector<std::string>{"w0"}, 200ms};
    platform_standin::worker_double& worker = *all.workers.at("w0");
    released_at_end release{worker};

    delayed_acknowledgement()
    {
        worker.delays_acknowledgements = true;
        REQUIRE(all.submit_one_task());
        REQUIRE(eventually([&] { return worker.delayed > 0; }, 3s));
        // The poll's time-out passes.
        REQUIRE(eventually(
            [&] { return !all.owner->state().workers().at("w0").is_reachable; },
            3s));
    }
    void restart_worker()
    {
        worker.restart();
        REQUIRE(eventually(
            [&]
            {
                const auto& view = all.owner->state().workers().at("w0");
                return view.is_reachable && view.born_ms == worker.born_ms();
            },
            3s));
    }
    // After a run has ended and before its end is listed.
    void carry_out_after_an_end()
    {
        worker.is_silent = true;
        boost::this_fiber::sleep_for(300ms);
        worker.delays_acknowledgements = false;
        REQUIRE(eventually([&] { return worker.delayed == 0; }, 3s));
        worker.is_silent = false;
    }
};

} // namespace

// Guards against a task that is started again after its end: the new
// incarnation forgot the end unread, since a late poll acknowledged the same
// number of the earlier one.
TEST_CASE("a late acknowledgement hides no end of a new incarnation")
{
    delayed_acknowledgement pool;
    pool.restart_worker();
    auto& all = pool.all;
    REQUIRE(all.submit_one_task(id_b));
    const std::string task = id_b + ".0.0.0";
    if (eventually([&] { return all.platform.starts_of(task) == 1; }, 1500ms))
        pool.carry_out_after_an_end();
    pool.worker.delays_acknowledgements = false;
    // Its place is another worker, or the same one once the poll cannot arrive.
    all.workers["w1"] = &all.platform.add_worker("w1", "pool", 200ms);
    all.list_workers();
    REQUIRE(eventually([&] { return all.is_completed(id_b); }, 5s));
    CHECK(all.platform.starts_of(task) == 1);
    CHECK(all.platform.completions_of(task) == 1);
}

// Guards against the same when the worker was away so long that its entry was
// removed meanwhile: the owner forgot it, and the poll that was on its way.
TEST_CASE("an unlisted worker is kept while an acknowledgement may arrive")
{
    delayed_acknowledgement pool;
    auto& all = pool.all;
    const auto known = all.workers;
    all.workers.clear();
    all.list_workers();
    boost::this_fiber::sleep_for(2s);
    REQUIRE(all.owner->state().workers().contains("w0"));
    pool.worker.restart();
    all.workers = known;
    all.list_workers();
    REQUIRE(all.submit_one_task(id_b));
    boost::this_fiber::sleep_for(1s);
    CHECK(all.platform.starts_of(id_b + ".0.0.0") == 0);
}
