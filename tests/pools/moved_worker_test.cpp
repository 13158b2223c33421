// A worker that starts again under its id at another address.

#include "pools/contested_pool.hpp"
#include "pools/owned_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

// The worker's earlier address, at which another one answers once it has left.
struct left_address
{
    platform_standin::worker_double& worker;
    bool has_left = false;
    bool holds_answers = false;
    int refusals = 0;
    std::unique_ptr<net::http_server> server =
        net::http_server::builder{}
            .listen_on({"127.0.0.1", 0})
            .handle_with([this](const net::http_request& request)
                         { return answer(request); })
            .build();

    explicit left_address(platform_standin::worker_double& at) : worker(at) {}

    net::http_response answer(const net::http_request& request)
    {
        if (!has_left)
        {
            const net::http_response known = worker.handle(request);
            if (!has_left)
                return known;
        }
        while (holds_answers)
            boost::this_fiber::sleep_for(5ms);
        ++refusals;
        return platform_standin::json_answer(421);
    }
};

} // namespace

// Guards against two runs at once: the answer from the address that the worker
// has left counted as the end of the runs at its new address.
TEST_CASE("another worker at the earlier address ends no runs at the new one")
{
    owned_pool all(std::vector<std::string>{"w0"}, 2s);
    auto& worker = *all.workers.at("w0");
    left_address earlier(worker);
    // Its start is not in the list.
    jobs::worker_description now_at = platform::read_worker_entry(
        "w0", all.platform.store.value_of("servers/w0"));
    now_at.born_ms = 0;
    jobs::worker_description then_at = now_at;
    then_at.address = net::to_string(earlier.server->local_endpoint());
    all.owner->set_workers(std::vector{then_at});

    // A poll that waits for a run is under way when the worker leaves. The one
    // before it extends the lease.
    REQUIRE(all.submit_one_task());
    const int calls = worker.calls;
    REQUIRE(eventually(
        [&] { return worker.running_count() == 1 && worker.calls > calls + 2; },
        3s));
    earlier.has_left = earlier.holds_answers = true;
    worker.restart();
    all.owner->set_workers(std::vector{now_at});
    REQUIRE(all.submit_one_task(id_b));
    const std::string task = id_b + ".0.0.0";
    REQUIRE(eventually([&] { return all.platform.starts_of(task) == 1; }, 1s));
    // Room for both tasks elsewhere, each on a worker of its own.
    std::vector<jobs::worker_description> listed{now_at};
    for (const char* id : {"w1", "w2"})
    {
        all.platform.add_worker(id, "pool", 2s);
        listed.push_back(platform::read_worker_entry(
            id, all.platform.store.value_of("servers/" + std::string(id))));
    }
    all.owner->set_workers(listed);
    const auto accepts_starts = [&](const std::string& id)
    {
        const auto& known = all.owner->state().workers();
        return known.contains(id) &&
               known.at(id).accepts_starts(base::steady_now());
    };
    REQUIRE(eventually(
        [&] { return accepts_starts("w1") && accepts_starts("w2"); }, 500ms));
    REQUIRE(earlier.refusals == 0);
    // The first poll at the new address takes a while.
    worker.late.from = worker.late.to = 300ms;
    worker.late.next_polls = 1;
    earlier.holds_answers = false;
    REQUIRE(eventually([&] { return earlier.refusals == 1; }, 1s));
    REQUIRE(eventually([&] { return worker.late_count == 1; }, 1s));
    CHECK(eventually([&] { return all.is_completed(id_b); }, 5s));
    CHECK(all.platform.starts_of(task) == 1);
    // The run at the earlier address has ended.
    CHECK(eventually([&] { return all.is_completed(id_a); }, 5s));
    CHECK(all.starts() == 2);
}

// Guards against two runs at once: the list of a new owner still shows the
// address that a worker had before, and the answer of another worker there
// counted as the end of the runs that the roster states.
TEST_CASE("another worker at an older address ends no runs of the roster")
{
    contested_pool pool;
    auto& worker = pool.add_worker("w1", 1500ms);
    pool.add_worker("w2", 100ms);
    claimant& first = pool.take_over({"w1"});
    REQUIRE(eventually([&] { return first.accepts_starts("w1"); }));
    REQUIRE(first.submit(id_a, 4));
    REQUIRE(eventually([&] { return worker.running_count() == 1; }));
    // Its start is not the cause of the worker's end.
    boost::this_fiber::sleep_for(400ms);
    worker.highest_reachable_fence = first.owner->fence();
    first.owner->quiesce();
    left_address earlier(worker);
    earlier.has_left = true;
    pool.listed_addresses["w1"] = earlier.server->local_endpoint();
    claimant& next = pool.take_over({"w1", "w2"});
    REQUIRE(eventually([&] { return earlier.refusals > 0; }, 500ms));
    REQUIRE(eventually([&] { return next.accepts_starts("w2"); }, 500ms));
    boost::this_fiber::sleep_for(300ms);
    CHECK(worker.running_count() == 1);
    CHECK(pool.platform.worker("w2").starts.empty());
    worker.highest_reachable_fence = 0;
    pool.listed_addresses.clear();
    pool.list(next, {"w1", "w2"});
    CHECK(eventually([&] { return next.is_completed(id_a); }, 3s));
    CHECK(pool.platform.starts_of(id_a + ".0.0.0") == 1);
}
