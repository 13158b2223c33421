#ifndef PIMENTOGRADE_JOBS_TENANT_HPP
#define PIMENTOGRADE_JOBS_TENANT_HPP

#include "jobs/job_spec.hpp"

#include <map>
#include <string>

namespace pimentograde::jobs
{

/// What the operators' configuration grants to one tenant.
struct tenant_policy
{
    std::string name;
    /// The tenant's share when everything is full, in jobs per second.
    double weight = 0.0;
    /// Limit on what the tenant has running over all pools; 0 of a resource
    /// means no limit.
    resource_amount cap;

    bool operator==(const tenant_policy&) const = default;
};

/// Tenants by name.
using tenant_table = std::map<std::string, tenant_policy, std::less<>>;

} // namespace pimentograde::jobs

#endif
