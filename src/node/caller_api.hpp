#ifndef PIMENTOGRADE_NODE_CALLER_API_HPP
#define PIMENTOGRADE_NODE_CALLER_API_HPP

#include "metrics/registry.hpp"
#include "net/http_message.hpp"
#include "node/pool_gateway.hpp"
#include "platform/configuration.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// Handles the callers' HTTP requests: finds the queue of a request and
/// forwards it to the owner of the queue's pool.
class caller_api
{
public:
    caller_api(pool_gateway& gateway, metrics::registry& metrics);

    void set_configuration(const platform::configuration& current);
    [[nodiscard]] bool has_configuration() const
    {
        return configuration_.has_value();
    }
    net::http_response handle(const net::http_request& request);

private:
    struct call;

    net::http_response answer(call& current);
    net::http_response submit(call& current);
    std::optional<net::http_response> find_in_earlier_pools(call& current);
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
    metrics::registry& metrics_;
    std::optional<platform::configuration> configuration_;
    std::map<std::string, std::vector<std::string>> earlier_pools_;
};

} // namespace pimentograde::node

#endif
