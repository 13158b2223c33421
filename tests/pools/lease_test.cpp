// How long the owner of a pool lets a silent worker's runs go on.

#include "node/stall_watch.hpp"
#include "pools/owned_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against tasks of a worker that is gone and that wait for longer than
// their callers do (kowhai-retakes, LOST): the platform allows leases of 10 s.
TEST_CASE("a lease is not extended by all that the platform allows")
{
    owned_pool all(std::vector<std::string>{"w0"}, 12s, 10s);
    REQUIRE(all.submit_one_task());
    REQUIRE(eventually([&] { return all.starts() == 1; }, 3s));
    // Until then an earlier owner may have granted a longer one.
    boost::this_fiber::sleep_for(5s);
    const auto& worker = all.owner->state().workers().at("w0");
    CHECK(worker.runs.size() == 1);
    CHECK(worker.lease_ends_by - base::steady_now() < 7s);
}

// Guards against work that is given up and run again since its worker was
// silent for a while: the lease had not been extended for long before.
TEST_CASE("a run outlives a silence of less than four fifths of its lease")
{
    const int starts = play_without_stalls(
        100ms,
        []
        {
            owned_pool all(std::vector<std::string>{"w0"}, 12s, 3s);
            REQUIRE(all.submit_one_task());
            REQUIRE(eventually([&] { return all.starts() == 1; }, 3s));
            auto& worker = *all.workers.at("w0");
            for (int round = 0; round < 2; ++round)
            {
                const int extensions = worker.extensions;
                REQUIRE(eventually(
                    [&] { return worker.extensions > extensions; }, 3s));
                boost::this_fiber::sleep_for(1100ms);
                worker.is_silent = true;
                boost::this_fiber::sleep_for(2200ms);
                worker.is_silent = false;
            }
            REQUIRE(
                eventually([&] { return worker.running_count() == 1; }, 3s));
            return all.starts();
        });
    CHECK(starts == 1);
}

// The histories of tests/jobs rely on this: a worker that has answered has not
// been given up, although the poll extended nothing.
TEST_CASE("the lease of a worker ends no earlier than its last answer")
{
    owned_pool all(std::vector<std::string>{"w0"}, 12s, 1500ms);
    REQUIRE(all.submit_one_task());
    REQUIRE(eventually([&] { return all.starts() == 1; }, 3s));
    const auto& known = all.owner->state().workers().at("w0");
    all.workers.at("w0")->is_silent = true;
    REQUIRE(eventually([&] { return known.runs.empty(); }, 5s));
    CHECK(known.lease_ends_by <= base::steady_now());
    all.workers.at("w0")->is_silent = false;
    REQUIRE(eventually([&] { return known.is_reachable; }, 3s));
    CHECK(known.lease_ends_by >= known.reported_at);
}
