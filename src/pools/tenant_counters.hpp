#ifndef PIMENTOGRADE_POOLS_TENANT_COUNTERS_HPP
#define PIMENTOGRADE_POOLS_TENANT_COUNTERS_HPP

#include "jobs/tenant.hpp"
#include "metrics/registry.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::pools
{

/// Counts the submissions that a pool's owner decides, for each tenant. The
/// first tenants of the configuration have labels of their own, all others
/// count under the label "other".
class tenant_counters
{
public:
    /// Counts nothing if `registry` is null.
    explicit tenant_counters(metrics::registry* registry) : registry_(registry)
    {
    }
    void set_tenants(std::span<const jobs::tenant_policy> tenants);
    /// Does nothing for a job without a tenant.
    void note_accepted(std::string_view tenant, bool is_excess);
    void note_refused(std::string_view tenant, bool is_excess);

private:
    /// Counters live as long as their registry.
    struct counters
    {
        metrics::counter* accepted = nullptr;
        metrics::counter* refused = nullptr;
        metrics::counter* excess = nullptr;
    };
    [[nodiscard]] counters make(std::string_view label_value) const;
    counters* find(std::string_view tenant);

    metrics::registry* registry_;
    std::map<std::string, counters, std::less<>> tenants_;
    counters others_;
};

} // namespace pimentograde::pools

#endif
