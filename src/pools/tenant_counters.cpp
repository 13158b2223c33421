#include "pools/tenant_counters.hpp"

namespace pimentograde::pools
{

namespace
{

// Bounds the number of time series; a removed tenant keeps its label.
constexpr std::size_t max_labels = 64;
constexpr std::string_view other_tenants = "other";

} // namespace

void tenant_counters::set_tenants(std::span<const jobs::tenant_policy> tenants)
{
    if (registry_ == nullptr)
        return;
    for (const jobs::tenant_policy& entry : tenants)
    {
        if (tenants_.size() >= max_labels)
            return;
        if (!tenants_.contains(entry.name))
            tenants_.emplace(entry.name, make(entry.name));
    }
}

tenant_counters::counters
tenant_counters::make(std::string_view label_value) const
{
    const std::string label = metrics::label("tenant", label_value);
    return {
        &registry_->get_counter("pimentograde_tenant_accepted_total", label),
        &registry_->get_counter("pimentograde_tenant_refused_total", label),
        &registry_->get_counter("pimentograde_tenant_excess_total", label)};
}

tenant_counters::counters* tenant_counters::find(std::string_view tenant)
{
    if (registry_ == nullptr || tenant.empty())
        return nullptr;
    if (const auto found = tenants_.find(tenant); found != tenants_.end())
        return &found->second;
    if (others_.accepted == nullptr)
        others_ = make(other_tenants);
    return &others_;
}

void tenant_counters::note_accepted(std::string_view tenant, bool is_excess)
{
    counters* entry = find(tenant);
    if (entry == nullptr)
        return;
    entry->accepted->add();
    if (is_excess)
        entry->excess->add();
}

void tenant_counters::note_refused(std::string_view tenant, bool is_excess)
{
    counters* entry = find(tenant);
    if (entry == nullptr)
        return;
    entry->refused->add();
    if (is_excess)
        entry->excess->add();
}

} // namespace pimentograde::pools
