#ifndef PIMENTOGRADE_NODE_CALLER_API_HPP
#define PIMENTOGRADE_NODE_CALLER_API_HPP

#include "base/key_table.hpp"
#include "metrics/registry.hpp"
#include "net/http_message.hpp"
#include "node/pool_gateway.hpp"
#include "node/queue_recorder.hpp"
#include "platform/configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// Handles the callers' HTTP requests: finds the queue of a request and the
/// tenant of its key, and forwards it to the owner of the queue's pool. Keys
/// are needed where the configuration has tenants, except on public queues.
class caller_api
{
public:
    /// `is_current` tells whether the configuration can be relied on; false
    /// after a pause of the process, until it has been confirmed.
    caller_api(pool_gateway& gateway, queue_recorder& queues,
               metrics::registry& metrics, std::function<bool()> is_current);

    void set_configuration(const platform::configuration& current);
    /// Whether it knows the queues, and the pools that they had before.
    [[nodiscard]] bool is_configured() const
    {
        return configuration_.has_value() && queues_.is_listed();
    }
    net::http_response handle(const net::http_request& request);

private:
    struct call;

    net::http_response answer(call& current);
    net::http_response answer_by_configuration(call& current);
    /// Finds the tenant of the call's key. Otherwise, the refusal of the call;
    /// if the configuration may be outdated, a submission goes on unverified.
    std::optional<net::http_response> check_key(call& current);
    net::http_response refuse_key(call& current, std::string_view cause,
                                  unsigned status);
    net::http_response submit(call& current);
    /// No success for a call whose key could not be verified, and no refusal,
    /// since the job runs.
    static net::http_response answer_accepted(call& current);
    /// Waits until this instance has the configuration that has assigned the
    /// queue to another pool, and submits the job by it.
    net::http_response submit_reassigned(call& current);
    /// Empty if no earlier pool of the queue has the job.
    std::optional<net::http_response>
    find_in_earlier_pools(call& current, const platform::queue_route& route,
                          const peer::queue_assignment& assignment);
    net::http_response status(call& current);
    net::http_response cancel(call& current);
    net::http_response pending_count(call& current);
    /// The queue's policy for each pool it has been assigned to, the current
    /// pool first: jobs stay in the pool that accepted them.
    [[nodiscard]] std::vector<jobs::queue_policy>
    policies_of(const platform::queue_route& route) const;
    void log_request(const call& current, const net::http_response& response,
                     base::time_point begin);

    pool_gateway& gateway_;
    queue_recorder& queues_;
    metrics::registry& metrics_;
    std::function<bool()> is_current_;
    std::optional<platform::configuration> configuration_;
    /// Names of the configuration's tenants.
    base::key_table<std::string> tenants_;
};

} // namespace pimentograde::node

#endif
