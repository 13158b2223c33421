// The cap of a tenant over several pools, with real owners and the platform's
// test double.

#include "pools/owned_pool.hpp"
#include "pools/quota_store.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace pimentograde;
using namespace pimentograde::node_tests;

namespace
{

/// Two pools of one worker each, with eight cores for one tenant in all.
struct two_pools
{
    platform_double platform;
    std::unique_ptr<platform::store_client> store =
        platform::store_client::builder{}
            .connect_to(platform.store_address())
            .build();
    std::unique_ptr<net::http_client> http =
        net::http_client::builder{}.max_idle(2).build();
    metrics::registry counters;
    std::map<std::string, platform_standin::worker_double*> workers;
    std::map<std::string, std::unique_ptr<pools::pool_owner>> owners;
    int submitted = 0;

    explicit two_pools(std::int64_t cap_millis, base::duration task_time)
    {
        for (const std::string pool : {"p0", "p1"})
        {
            const std::string worker = "w-" + pool;
            workers[pool] = &platform.add_worker(worker, pool, task_time);
            claim(pool, cap_millis);
        }
    }
    ~two_pools()
    {
        for (auto& [pool, owner] : owners)
            owner->quiesce();
    }
    two_pools(const two_pools&) = delete;
    two_pools& operator=(const two_pools&) = delete;

    void claim(const std::string& pool, std::int64_t cap_millis)
    {
        const std::string key = "owner-" + pool;
        const auto claimed = store->commit({{}, {{key, "x", 0}}, {}});
        auto owner = pools::pool_owner::builder{}
                         .pool(pool)
                         .ownership(key, claimed.revision)
                         .store(*store)
                         .http(*http)
                         .worker_lease(1500ms)
                         .counters(counters)
                         .may_order([] { return true; })
                         .on_lost([](std::string_view) {})
                         .build();
        const jobs::queue_policy policy{"queue", pool, 0, 3, 1.6, 600ms};
        owner->set_policies(std::vector{policy});
        owner->set_tenants(std::vector{
            jobs::tenant_policy{"ten/ant", 1.0, {cap_millis, 0, 0}}});
        const std::string worker = "w-" + pool;
        platform.announce(worker);
        owner->set_workers(std::vector{platform::read_worker_entry(
            worker, platform.store.value_of("servers/" + worker))});
        owner->start();
        REQUIRE(eventually(
            [&]
            {
                const auto& known = owner->state().workers();
                return !known.empty() &&
                       known.begin()->second.accepts_starts(base::steady_now());
            }));
        owners[pool] = std::move(owner);
    }
    std::string submit(const std::string& pool, int tasks,
                       std::string_view tenant = "ten/ant")
    {
        jobs::job_spec spec;
        spec.payload = "s";
        spec.steps.resize(1);
        spec.steps[0].task_count = tasks;
        spec.steps[0].need = {1000, 10, 0};
        spec.steps[0].estimate = 50ms;
        const std::string id =
            "0000000000000000000000000000000" + std::to_string(submitted++);
        REQUIRE(owners.at(pool)
                    ->submit(id, spec, "queue", base::steady_now() + 2s,
                             pools::admission::all_jobs, tenant)
                    .outcome == pools::submission_answer::kind::accepted);
        return id;
    }
    [[nodiscard]] bool is_completed(const std::string& pool,
                                    const std::string& id) const
    {
        return owners.at(pool)->state().status_of(id) ==
               jobs::reported_status::completed;
    }
    [[nodiscard]] std::size_t running() const
    {
        std::size_t count = 0;
        for (const auto& [pool, worker] : workers)
            count += worker->running_count();
        return count;
    }
    /// Largest number of tasks that run at once until the jobs have completed.
    std::size_t
    most_until_completed(const std::map<std::string, std::string>& jobs)
    {
        std::size_t most = 0;
        CHECK(eventually(
            [&]
            {
                for (const auto& [pool, worker] : workers)
                    worker->refresh();
                most = std::max(most, running());
                return std::all_of(
                    jobs.begin(), jobs.end(),
                    [this](const auto& entry)
                    { return is_completed(entry.first, entry.second); });
            },
            20s));
        return most;
    }
    [[nodiscard]] std::int64_t quota_writes() const
    {
        return platform.store.changes_of(pools::quota_key("ten/ant"));
    }
};

} // namespace

// Guards against a tenant that runs its whole cap in each pool.
TEST_CASE("the cap of a tenant holds over two pools")
{
    two_pools all(4000, 300ms);
    const std::string first = all.submit("p0", 8);
    const std::string second = all.submit("p1", 8);
    const std::size_t most =
        all.most_until_completed({{"p0", first}, {"p1", second}});
    // One task more than the cap is allowed.
    CHECK(most <= 5);
    CHECK(most >= 3);
    MESSAGE("most tasks at once " << most << ", writes of grants "
                                  << all.quota_writes());
}

// Guards against increases that count although they are not stored, and against
// tasks that wait for good after a write without an answer.
TEST_CASE("the cap holds while the store loses answers")
{
    two_pools all(4000, 300ms);
    all.platform.store.faults.lost_writes = 30;
    all.platform.store.faults.late_to = 600ms;
    const std::string first = all.submit("p0", 8);
    const std::string second = all.submit("p1", 8);
    const std::size_t most =
        all.most_until_completed({{"p0", first}, {"p1", second}});
    all.platform.store.faults = {};
    CHECK(most <= 5);
    MESSAGE("most tasks at once " << most << ", writes of grants "
                                  << all.quota_writes());
}

// Guards against a new owner that starts on a grant of its own beside the tasks
// of the earlier one.
TEST_CASE("a new owner inherits the grant with the runs")
{
    two_pools all(4000, 600ms);
    const std::string first = all.submit("p0", 8);
    REQUIRE(eventually(
        [&] { return all.workers.at("p0")->running_count() >= 3; }, 5s));
    all.owners.at("p0").reset();
    all.claim("p0", 4000);
    const std::string second = all.submit("p1", 4);
    CHECK(all.most_until_completed({{"p0", first}, {"p1", second}}) <= 5);
}

// Guards against an outage of the store that stops starts within a grant.
TEST_CASE("starts go on within the grants while the store is away")
{
    two_pools all(4000, 200ms);
    const std::string first = all.submit("p0", 12);
    REQUIRE(eventually(
        [&] { return all.workers.at("p0")->running_count() >= 3; }, 5s));
    all.platform.store.faults.is_down = true;
    const std::size_t before = all.workers.at("p0")->records.size();
    CHECK(eventually(
        [&] { return all.workers.at("p0")->records.size() >= before + 4; },
        3s));
    all.platform.store.faults.is_down = false;
    CHECK(all.most_until_completed({{"p0", first}}) <= 5);
}

// Guards against a share of the cap that one pool holds without need while
// another one is short: its first task must start within a second.
TEST_CASE("a pool gets what another one no longer uses")
{
    two_pools all(4000, 300ms);
    const std::string first = all.submit("p0", 4);
    REQUIRE(eventually([&] { return all.is_completed("p0", first); }, 5s));
    const auto begin = base::steady_now();
    const std::string second = all.submit("p1", 4);
    CHECK(eventually([&] { return all.workers.at("p1")->running_count() == 4; },
                     3s));
    const auto took = base::steady_now() - begin;
    MESSAGE("all tasks of the other pool have started after "
            << base::count_millis(took) << " ms");
    CHECK(took < 1500ms);
    CHECK(eventually([&] { return all.is_completed("p1", second); }, 5s));
}

// Guards against store calls for tenants that have no cap, and against tasks
// that wait for a grant which nobody asks for.
TEST_CASE("jobs without a cap cause no write of grants")
{
    two_pools all(4000, 100ms);
    const std::string other = all.submit("p0", 2, "another");
    const std::string none = all.submit("p0", 2, "");
    CHECK(eventually(
        [&] {
            return all.is_completed("p0", other) &&
                   all.is_completed("p0", none);
        },
        5s));
    CHECK(all.quota_writes() == 0);
    CHECK(all.owners.at("p0")->state().usage().used_by("another") ==
          jobs::resource_amount{});
}

// Guards against keys that the store refuses.
TEST_CASE("tenants' names are encoded in keys")
{
    CHECK(pools::quota_key("a b/\xc3\xa9") ==
          "pimentograde-quota/a%20b%2F%C3%A9");
    CHECK(pools::quota_key(std::string(300, 'a')).size() <= 200);
    CHECK(pools::quota_key(std::string(300, 'a')) !=
          pools::quota_key(std::string(300, 'b')));
}
