#include "capacity/budget_checker.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace pimentograde::capacity
{

std::string budget_finding::reason() const
{
    std::string text = "department " + budget.department.str() + " in pool " +
                       budget.pool.str() + " needs " +
                       std::to_string(budget.min_workers) + " workers; " +
                       std::to_string(after_drains) + " would serve";
    if (!worst_domain.empty())
        text += ", " + std::to_string(remaining) + " after the loss of " +
                worst_domain;
    return text;
}

namespace
{

using domain_counts = std::map<std::string, std::uint32_t>;

struct pool_counts
{
    std::uint32_t serving = 0;
    domain_counts racks;
    domain_counts zones;
    std::uint32_t total = 0;
    domain_counts all_racks;
    domain_counts all_zones;
    std::vector<const config::budget*> budgets;
};

struct worst
{
    std::uint32_t count = 0;
    std::string_view name;
};

worst largest(const domain_counts& counts)
{
    worst found;
    for (const auto& [name, count] : counts)
        if (count > found.count)
            found = {count, name};
    return found;
}

worst worst_loss(const pool_counts& counts, config::failure_domain domain,
                 bool whole)
{
    if (domain == config::failure_domain::none)
        return {};
    if (domain == config::failure_domain::rack)
        return largest(whole ? counts.all_racks : counts.racks);
    return largest(whole ? counts.all_zones : counts.zones);
}

struct worker_slot
{
    pool_counts* pool = nullptr;
    std::string_view rack_name;
    std::string_view zone_name;
    std::uint32_t* rack = nullptr;
    std::uint32_t* zone = nullptr;
    bool serving = false;
};

void shift(worker_slot& slot, int by)
{
    const auto step = [by](std::uint32_t& count)
    {
        count = static_cast<std::uint32_t>(static_cast<int>(count) + by);
    };
    step(slot.pool->serving);
    step(*slot.rack);
    step(*slot.zone);
}

budget_finding assess(const pool_counts& counts, const config::budget& budget)
{
    const worst loss = worst_loss(counts, budget.survive, false);
    budget_finding found;
    found.budget = budget;
    found.serving = counts.serving;
    found.after_drains = counts.serving;
    found.worst_loss = loss.count;
    found.worst_domain = loss.name;
    found.remaining = counts.serving - loss.count;
    return found;
}

} // namespace

struct serving_ledger::impl
{
    std::map<base::pool_name, pool_counts> pools;
    std::unordered_map<base::worker_id, worker_slot> workers;
};

serving_ledger::serving_ledger(const config::bundle& bundle,
                               const fleet_state& state)
    : impl_(std::make_unique<impl>())
{
    for (const config::worker& each : bundle.workers)
    {
        const auto found = state.workers.find(each.id);
        if (found == state.workers.end())
            continue;
        pool_counts& pool = impl_->pools[found->second.pool];
        // Racks of different zones may share a name.
        const std::string rack = each.zone.str() + "/" + each.rack.str();
        const auto rack_at = pool.racks.try_emplace(rack).first;
        const auto zone_at = pool.zones.try_emplace(each.zone.str()).first;
        // Map nodes stay where they are, and so do their keys.
        const worker_slot slot{&pool,
                               rack_at->first,
                               zone_at->first,
                               &rack_at->second,
                               &zone_at->second,
                               found->second.state == worker_state::serving};
        ++pool.total;
        ++pool.all_racks[rack];
        ++pool.all_zones[each.zone.str()];
        const auto at = impl_->workers.emplace(each.id, slot).first;
        if (slot.serving)
            shift(at->second, 1);
    }
    for (const config::budget& each : bundle.budgets)
        impl_->pools[each.pool].budgets.push_back(&each);
}

serving_ledger::~serving_ledger() = default;
serving_ledger::serving_ledger(serving_ledger&&) noexcept = default;
serving_ledger& serving_ledger::operator=(serving_ledger&&) noexcept = default;

void serving_ledger::remove(const base::worker_id& worker)
{
    const auto found = impl_->workers.find(worker);
    if (found == impl_->workers.end() || !found->second.serving)
        return;
    found->second.serving = false;
    shift(found->second, -1);
}

std::optional<budget_finding>
serving_ledger::breach_without(const base::worker_id& worker)
{
    const auto found = impl_->workers.find(worker);
    if (found == impl_->workers.end())
        return std::nullopt;
    worker_slot& slot = found->second;
    if (slot.serving)
        shift(slot, -1);
    std::optional<budget_finding> breach;
    for (const config::budget* each : slot.pool->budgets)
    {
        budget_finding checked = assess(*slot.pool, *each);
        if (breach || checked.holds())
            continue;
        checked.serving += slot.serving ? 1 : 0;
        breach = std::move(checked);
    }
    if (slot.serving)
        shift(slot, 1);
    return breach;
}

bool serving_ledger::allows_with(const base::worker_id& worker,
                                 std::span<const base::worker_id> covers)
{
    const auto found = impl_->workers.find(worker);
    if (found == impl_->workers.end())
        return false;
    pool_counts& pool = *found->second.pool;
    const auto place = [&](int by)
    {
        for (const base::worker_id& each : covers)
        {
            const auto& cover = impl_->workers.at(each);
            worker_slot placed;
            placed.pool = &pool;
            placed.rack = &pool.racks[std::string(cover.rack_name)];
            placed.zone = &pool.zones[std::string(cover.zone_name)];
            shift(placed, by);
        }
    };
    place(1);
    const bool allowed = !breach_without(worker);
    place(-1);
    return allowed;
}

std::vector<budget_finding>
serving_ledger::findings(const base::pool_name& pool) const
{
    std::vector<budget_finding> all;
    const auto found = impl_->pools.find(pool);
    if (found == impl_->pools.end())
        return all;
    for (const config::budget* each : found->second.budgets)
        all.push_back(assess(found->second, *each));
    return all;
}

std::vector<budget_finding> serving_ledger::findings() const
{
    std::vector<budget_finding> all;
    for (const auto& [name, counts] : impl_->pools)
        for (const config::budget* each : counts.budgets)
            all.push_back(assess(counts, *each));
    return all;
}

std::uint32_t serving_ledger::room_when_whole(const base::pool_name& pool) const
{
    const auto found = impl_->pools.find(pool);
    if (found == impl_->pools.end())
        return 0;
    const pool_counts& counts = found->second;
    std::uint32_t room = counts.total;
    for (const config::budget* each : counts.budgets)
    {
        const std::uint32_t kept =
            each->min_workers + worst_loss(counts, each->survive, true).count;
        room = std::min(room, counts.total > kept ? counts.total - kept : 0);
    }
    return room;
}

std::vector<budget_finding>
budget_checker::evaluate(const fleet_state& state,
                         std::span<const base::worker_id> drains) const
{
    serving_ledger ledger(bundle_, state);
    std::vector<budget_finding> before = ledger.findings();
    for (const base::worker_id& each : drains)
        ledger.remove(each);
    std::vector<budget_finding> after = ledger.findings();
    for (std::size_t index = 0; index < after.size(); ++index)
        after[index].serving = before[index].serving;
    return after;
}

std::optional<budget_finding>
budget_checker::would_break(const fleet_state& state,
                            std::span<const base::worker_id> drains) const
{
    for (budget_finding& each : evaluate(state, drains))
        if (!each.holds())
            return std::move(each);
    return std::nullopt;
}

} // namespace pimentograde::capacity
