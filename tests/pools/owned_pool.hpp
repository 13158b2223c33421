#ifndef PIMENTOGRADE_TESTS_POOLS_OWNED_POOL_HPP
#define PIMENTOGRADE_TESTS_POOLS_OWNED_POOL_HPP

#include "node/cluster.hpp"
#include "platform/worker_entry.hpp"
#include "pools/pool_owner.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

/// A single pool owner with the platform's test double.
namespace pimentograde::node_tests
{

/// A pool of one owner and listed workers that have reported.
struct owned_pool
{
    platform_double platform;
    std::map<std::string, platform_standin::worker_double*> workers;
    std::unique_ptr<platform::store_client> store =
        platform::store_client::builder{}
            .connect_to(platform.store_address())
            .build();
    std::unique_ptr<net::http_client> http =
        net::http_client::builder{}.max_idle(2).build();
    metrics::registry counters;
    std::unique_ptr<pools::pool_owner> owner;

    /// `stored` is what earlier owners have left in the store.
    owned_pool(std::span<const std::string> ids, base::duration task_time,
               base::duration lease = 1500ms,
               const std::map<std::string, std::string>& stored = {})
    {
        for (const auto& [key, value] : stored)
            platform.store.put(key, value);
        for (const std::string& id : ids)
            workers[id] = &platform.add_worker(id, "pool", task_time);
        const auto claim = store->commit({{}, {{"owner", "x", 0}}, {}});
        owner = pools::pool_owner::builder{}
                    .pool("pool")
                    .ownership("owner", claim.revision)
                    .store(*store)
                    .http(*http)
                    .worker_lease(lease)
                    .counters(counters)
                    .may_order([] { return true; })
                    .on_lost([](std::string_view) {})
                    .build();
        const jobs::queue_policy policy{"queue", "pool", 0, 3, 1.6, 600ms};
        owner->set_policies(std::vector{policy});
        list_workers();
        owner->start();
        REQUIRE(eventually(
            [&]
            {
                const auto& known = owner->state().workers();
                return known.size() == workers.size() &&
                       std::all_of(known.begin(), known.end(),
                                   [](const auto& entry) {
                                       return entry.second.accepts_starts(
                                           base::steady_now());
                                   });
            }));
    }
    ~owned_pool() { owner->quiesce(); }
    owned_pool(const owned_pool&) = delete;
    owned_pool& operator=(const owned_pool&) = delete;

    // The owner learns what the workers have written to the store.
    void list_workers()
    {
        std::vector<jobs::worker_description> listed;
        for (const auto& [id, worker] : workers)
        {
            platform.announce(id);
            listed.push_back(platform::read_worker_entry(
                id, platform.store.value_of("servers/" + id)));
        }
        owner->set_workers(listed);
    }
    bool submit_one_task(const std::string& id = id_a)
    {
        jobs::job_spec spec;
        spec.payload = "s";
        spec.steps.resize(1);
        spec.steps[0].need = {1000, 10, 0};
        spec.steps[0].estimate = 50ms;
        return owner->submit(id, spec, "queue", base::steady_now() + 2s)
                   .outcome == pools::submission_answer::kind::accepted;
    }
    [[nodiscard]] bool is_completed(const std::string& id) const
    {
        return owner->state().status_of(id) == jobs::reported_status::completed;
    }
    [[nodiscard]] int starts() const
    {
        return platform.starts_of(id_a + ".0.0.0");
    }
};

} // namespace pimentograde::node_tests

#endif
