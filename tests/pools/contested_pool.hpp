#ifndef PIMENTOGRADE_TESTS_POOLS_CONTESTED_POOL_HPP
#define PIMENTOGRADE_TESTS_POOLS_CONTESTED_POOL_HPP

#include "jobs/roster.hpp"
#include "node/cluster.hpp"
#include "platform/worker_entry.hpp"
#include "pools/pool_owner.hpp"
#include "pools/roster_store.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Several owners of one pool in turn, of which earlier ones go on.
namespace pimentograde::node_tests
{

/// An instance that has claimed the pool, with its own way to the store.
struct claimant
{
    platform_standin::relay way;
    std::unique_ptr<platform::store_client> store;
    std::unique_ptr<net::http_client> http =
        net::http_client::builder{}.max_idle(2).build();
    bool may_order = true;
    bool holds_lease = true;
    std::unique_ptr<pools::pool_owner> owner;

    explicit claimant(const net::endpoint& store_address)
        : way(store_address), store(platform::store_client::builder{}
                                        .connect_to(way.local_endpoint())
                                        .build())
    {
    }
    void cut_from_store()
    {
        way.refuses = true;
        way.cut();
        holds_lease = false;
    }
    [[nodiscard]] bool accepts_starts(const std::string& worker) const
    {
        const auto found = owner->state().workers().find(worker);
        return found != owner->state().workers().end() &&
               found->second.accepts_starts(base::steady_now());
    }
    [[nodiscard]] bool submit(const std::string& id, int cores) const
    {
        jobs::job_spec spec;
        spec.payload = "s";
        spec.steps.resize(1);
        spec.steps[0].need = {cores * 1000, 10, 0};
        spec.steps[0].estimate = 100ms;
        return owner->submit(id, spec, "queue", base::steady_now() + 2s)
                   .outcome == pools::submission_answer::kind::accepted;
    }
    [[nodiscard]] bool is_completed(const std::string& id) const
    {
        return owner->state().status_of(id) == jobs::reported_status::completed;
    }
};

struct contested_pool
{
    static constexpr base::duration longest_lease = 1500ms;
    inline static const std::string role = "owner";

    platform_double platform;
    std::vector<std::unique_ptr<claimant>> claimants;
    /// Addresses that the list shows instead of those of the workers.
    std::map<std::string, net::endpoint> listed_addresses;

    contested_pool()
    {
        if (std::getenv("PIMENTOGRADE_TEST_LOG") != nullptr)
            log::configure(log::format::plain, log::severity::info, "test");
    }
    ~contested_pool()
    {
        for (const std::string& id : ids_)
            platform.worker(id).highest_reachable_fence = 0;
        for (const auto& one : claimants)
        {
            one->may_order = false;
            one->owner->quiesce();
        }
    }
    contested_pool(const contested_pool&) = delete;
    contested_pool& operator=(const contested_pool&) = delete;

    platform_standin::worker_double& add_worker(const std::string& id,
                                                base::duration task_time)
    {
        auto& worker = platform.add_worker(id, "pool", task_time);
        worker.longest_lease = longest_lease;
        ids_.push_back(id);
        return worker;
    }
    /// A new owner that knows of the workers in `listed`.
    claimant& take_over(const std::vector<std::string>& listed)
    {
        platform.store.put(role, "x");
        claimants.push_back(
            std::make_unique<claimant>(platform.store_address()));
        claimant& next = *claimants.back();
        next.owner =
            pools::pool_owner::builder{}
                .pool("pool")
                .ownership(role, platform.store.revision_of(role))
                .store(*next.store)
                .http(*next.http)
                .worker_lease(longest_lease)
                .may_order([allowed = &next.may_order] { return *allowed; })
                .holds_lease([holds = &next.holds_lease] { return *holds; })
                .on_lost([](std::string_view) {})
                .build();
        next.owner->set_policies(
            std::vector{jobs::queue_policy{"queue", "pool", 0, 3, 1.6, 600ms}});
        list(next, listed);
        next.owner->start();
        return next;
    }
    void list(claimant& owner, const std::vector<std::string>& listed)
    {
        std::vector<jobs::worker_description> workers;
        for (const std::string& id : listed)
        {
            platform.announce(id);
            workers.push_back(platform::read_worker_entry(
                id, platform.store.value_of("servers/" + id)));
            if (const auto found = listed_addresses.find(id);
                found != listed_addresses.end())
                workers.back().address = net::to_string(found->second);
        }
        owner.owner->set_workers(workers);
    }
    [[nodiscard]] std::int64_t roster_writes() const
    {
        return platform.store.changes_of(pools::roster_key("pool"));
    }
    [[nodiscard]] bool is_in_roster(const std::string& worker) const
    {
        const auto entries = jobs::decode_roster(
            platform.store.value_of(pools::roster_key("pool")));
        return std::any_of(entries.begin(), entries.end(),
                           [&](const jobs::roster_entry& entry)
                           { return entry.worker.id == worker; });
    }

private:
    std::vector<std::string> ids_;
};

} // namespace pimentograde::node_tests

#endif
