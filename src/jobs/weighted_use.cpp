#include "jobs/weighted_use.hpp"

namespace pimentograde::jobs
{

void weighted_use::add(std::string_view tenant, double weight,
                       std::int64_t cpu_millis)
{
    const auto [found, is_new] = tenants_.try_emplace(tenant);
    if (is_new)
    {
        found->second.weight = weight;
        weights_ += weight;
    }
    found->second.cpu_millis += cpu_millis;
    cpu_millis_ += cpu_millis;
}

bool weighted_use::is_above_part(std::string_view tenant) const
{
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end())
        return false;
    // Compares use / all use with weight / all weights, without a division.
    return static_cast<double>(found->second.cpu_millis) * weights_ >
           static_cast<double>(cpu_millis_) * found->second.weight;
}

} // namespace pimentograde::jobs
