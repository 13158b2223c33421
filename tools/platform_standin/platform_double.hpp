#ifndef PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_PLATFORM_DOUBLE_HPP
#define PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_PLATFORM_DOUBLE_HPP

#include "net/endpoint.hpp"
#include "net/http_server.hpp"

#include "platform_standin/relay.hpp"
#include "platform_standin/store_double.hpp"
#include "platform_standin/worker_double.hpp"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::platform_standin
{

/// The users' platform on loopback: store, workers and machine service, in the
/// calling thread's fibers. One machine for each worker.
class platform_double
{
public:
    /// An order that a machine got.
    struct machine_order
    {
        std::string machine;
        std::string path;
        std::string holder;
        std::int64_t fence = 0;
        base::time_point at{};
    };

    platform_double();
    ~platform_double();
    platform_double(const platform_double&) = delete;
    platform_double& operator=(const platform_double&) = delete;

    /// Adds a worker with 4 cores and registers it.
    worker_double& add_worker(const std::string& id, const std::string& pool,
                              base::duration task_time);
    [[nodiscard]] worker_double& worker(const std::string& id);
    /// Announces the worker behind a relay, whose faults can be set.
    relay& add_relay(const std::string& id);
    [[nodiscard]] relay& way_to(const std::string& id);
    /// All runs that have begun, in the order of their begin.
    [[nodiscard]] std::vector<run_record> records();
    /// Writes the worker's entry again, as the worker does.
    void announce(const std::string& id);
    /// The worker's machine goes into maintenance by an order of somebody else.
    void begin_maintenance(const std::string& id);
    /// The worker's machine has had its maintenance of the wave before.
    void note_maintained(const std::string& id, std::int64_t wave);
    /// Puts a configuration with one queue, `/q/` at host `h`, into force.
    void configure(std::int64_t version, const std::string& pool);
    /// The same with further pools that no queue uses.
    void configure(std::int64_t version, const std::string& pool,
                   std::span<const std::string> more_pools);
    /// A tenant of the configuration.
    struct tenant
    {
        std::string name;
        std::vector<std::string> keys;
    };
    /// The same with tenants, and the public queue `/open/` of the same pool.
    void configure(std::int64_t version, const std::string& pool,
                   std::span<const tenant> tenants,
                   std::span<const std::string> more_pools = {});
    [[nodiscard]] net::endpoint store_address() const;
    [[nodiscard]] net::endpoint machine_address() const;
    /// Runs that began, of the task, at all workers.
    [[nodiscard]] int starts_of(const std::string& task) const;
    /// Runs of the task that ended as done, at all workers.
    [[nodiscard]] int completions_of(const std::string& task) const;

    store_double store;
    std::vector<machine_order> orders;
    /// The orders that were carried out; a repeated one has no effect.
    std::vector<machine_order> carried_out;
    /// The machine service answers with bytes that are not the protocol's.
    bool is_machine_service_garbled = false;
    /// Orders to machines are answered with 503 and not carried out.
    bool refuses_orders = false;
    /// Orders that are carried out are answered this much later.
    base::duration order_answer_delay{};
    /// Listings of the machines are answered with 503.
    bool refuses_listings = false;
    /// Listings lack this machine, if there is one of that name.
    std::string unlisted_machine;
    /// How long a machine is in maintenance.
    base::duration maintenance_time = std::chrono::milliseconds(200);

private:
    struct worker_entry
    {
        std::unique_ptr<worker_double> worker;
        std::unique_ptr<net::http_server> server;
        std::unique_ptr<relay> way;
        std::string pool;
        base::time_point down_until{};
        /// Waves for which the machine has been maintained.
        std::set<std::int64_t> waves;
    };

    net::http_response handle_machines(const net::http_request& request);
    void announce(const worker_entry& entry);
    void begin_maintenance(worker_entry& entry);
    int garbled_ = 0;

    std::map<std::string, worker_entry> workers_;
    std::unique_ptr<net::http_server> store_server_;
    std::unique_ptr<net::http_server> machine_server_;
};

} // namespace pimentograde::platform_standin

#endif
