#include "config/bundle_checker.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>

namespace pimentograde::config
{

namespace
{

constexpr double weight_tolerance = 1e-6;

std::string at(std::string_view list, std::size_t index,
               std::string_view field = {})
{
    std::string path(list);
    path.append("[").append(std::to_string(index)).append("]");
    if (!field.empty())
        path.append(".").append(field);
    return path;
}

class checker
{
public:
    explicit checker(const bundle& value) : value_(value)
    {
        for (const auto& entry : value.zones)
            zones_.insert(entry);
        for (const auto& entry : value.departments)
            departments_.insert(entry.name);
        for (const auto& entry : value.pools)
            pools_.insert(entry.name);
        for (const auto& entry : value.workers)
        {
            ++pool_workers_[entry.pool];
            total_slots_ += entry.slots;
        }
    }

    fault_list run()
    {
        check_weights();
        check_zones();
        check_departments();
        check_pools();
        check_queues();
        check_workers();
        check_racks();
        check_budgets();
        check_waves();
        check_operators();
        return std::move(faults_);
    }

private:
    void fault(std::string path, std::string text)
    {
        faults_.push_back({std::move(path), std::move(text)});
    }

    template <class Name>
    void reference(const std::set<Name>& known, const Name& name,
                   const std::string& path, std::string_view kind)
    {
        if (!known.contains(name))
            fault(path, "no " + std::string(kind) + " named " + name.str());
    }

    template <class Seen, class Name>
    void unique(Seen& seen, const Name& name, const std::string& path)
    {
        if (!seen.insert(name).second)
            fault(path, "duplicate");
    }

    void check_weights();
    void check_zones();
    void check_departments();
    void check_pools();
    void check_queues();
    void check_workers();
    void check_racks();
    void check_budgets();
    void check_waves();
    void check_operators();
    [[nodiscard]] std::uint32_t worst_loss(const budget& entry) const;

    const bundle& value_;
    fault_list faults_;
    std::set<base::zone_name> zones_;
    std::set<base::department_name> departments_;
    std::set<base::pool_name> pools_;
    std::map<base::pool_name, std::uint32_t> pool_workers_;
    std::uint64_t total_slots_ = 0;
    std::set<std::string> tokens_;
};

void checker::check_weights()
{
    const measure_weights& weights = value_.weights;
    const double sum =
        weights.buffer_cost + weights.rollout_time + weights.moves;
    if (std::abs(sum - 1) > weight_tolerance)
        fault("weights", "must sum to 1, not " + std::to_string(sum));
}

void checker::check_zones()
{
    std::set<base::zone_name> seen;
    if (value_.zones.empty())
        fault("zones", "must not be empty");
    for (std::size_t i = 0; i < value_.zones.size(); ++i)
        unique(seen, value_.zones[i], at("zones", i));
}

void checker::check_departments()
{
    std::set<base::department_name> seen;
    if (value_.departments.empty())
        fault("departments", "must not be empty");
    for (std::size_t i = 0; i < value_.departments.size(); ++i)
    {
        const department& entry = value_.departments[i];
        unique(seen, entry.name, at("departments", i, "name"));
        if (entry.quota_slots == 0)
            fault(at("departments", i, "quota_slots"),
                  "must be at least 1; with 0 nothing could run");
        if (entry.quota_slots > total_slots_)
            fault(at("departments", i, "quota_slots"),
                  "above the " + std::to_string(total_slots_) +
                      " slots of all workers");
        std::set<base::caller_name> callers;
        for (std::size_t k = 0; k < entry.callers.size(); ++k)
        {
            const std::string path = at(at("departments", i, "callers"), k);
            unique(callers, entry.callers[k].name, path + ".name");
            unique(tokens_, entry.callers[k].token_sha256,
                   path + ".token_sha256");
        }
    }
}

void checker::check_pools()
{
    std::set<base::pool_name> seen;
    std::size_t spares = 0;
    for (std::size_t i = 0; i < value_.pools.size(); ++i)
    {
        const pool& entry = value_.pools[i];
        unique(seen, entry.name, at("pools", i, "name"));
        spares += entry.spare ? 1 : 0;
        if (!pool_workers_.contains(entry.name))
            fault(at("pools", i), "has no workers");
    }
    if (spares != 1)
        fault("pools",
              "exactly one must be spare, not " + std::to_string(spares));
}

void checker::check_queues()
{
    std::set<base::queue_name> seen;
    for (std::size_t i = 0; i < value_.queues.size(); ++i)
    {
        const queue& entry = value_.queues[i];
        unique(seen, entry.name, at("queues", i, "name"));
        reference(departments_, entry.department, at("queues", i, "department"),
                  "department");
        reference(pools_, entry.pool, at("queues", i, "pool"), "pool");
    }
}

void checker::check_workers()
{
    std::map<base::worker_id, base::pool_name> seen;
    std::set<net::endpoint> addresses;
    for (std::size_t i = 0; i < value_.workers.size(); ++i)
    {
        const worker& entry = value_.workers[i];
        const auto [known, added] = seen.emplace(entry.id, entry.pool);
        if (!added && known->second != entry.pool)
            fault(at("workers", i, "id"),
                  "already in pool " + known->second.str());
        else if (!added)
            fault(at("workers", i, "id"), "duplicate");
        unique(addresses, entry.address, at("workers", i, "address"));
        reference(pools_, entry.pool, at("workers", i, "pool"), "pool");
        reference(zones_, entry.zone, at("workers", i, "zone"), "zone");
        if (entry.slots > entry.connections)
            fault(at("workers", i, "slots"), "above the worker's connections");
        if (entry.size.cores <= 0 || entry.size.memory_mb == 0)
            fault(at("workers", i, "size"),
                  "must have cores and memory above 0");
    }
}

void checker::check_racks()
{
    std::map<base::rack_name, base::zone_name> zone_of;
    for (std::size_t i = 0; i < value_.workers.size(); ++i)
    {
        const worker& entry = value_.workers[i];
        const auto [known, added] = zone_of.emplace(entry.rack, entry.zone);
        if (!added && known->second != entry.zone)
            fault(at("workers", i, "rack"),
                  "already in zone " + known->second.str());
    }
}

// Workers of the budget's pool in its largest failure domain.
std::uint32_t checker::worst_loss(const budget& entry) const
{
    std::map<std::string, std::uint32_t> members;
    std::uint32_t worst = 0;
    for (const worker& candidate : value_.workers)
    {
        if (candidate.pool != entry.pool ||
            entry.survive == failure_domain::none)
            continue;
        const std::string& domain = entry.survive == failure_domain::rack
                                        ? candidate.rack.str()
                                        : candidate.zone.str();
        worst = std::max(worst, ++members[domain]);
    }
    return worst;
}

void checker::check_budgets()
{
    std::set<std::pair<base::department_name, base::pool_name>> seen;
    for (std::size_t i = 0; i < value_.budgets.size(); ++i)
    {
        const budget& entry = value_.budgets[i];
        unique(seen, std::pair(entry.department, entry.pool), at("budgets", i));
        reference(departments_, entry.department,
                  at("budgets", i, "department"), "department");
        reference(pools_, entry.pool, at("budgets", i, "pool"), "pool");
        const auto members = pool_workers_.find(entry.pool);
        if (members == pool_workers_.end())
            continue;
        const std::uint32_t left = members->second - worst_loss(entry);
        if (left < entry.min_workers)
            fault(at("budgets", i, "min_workers"),
                  "cannot be met: " + std::to_string(left) + " of " +
                      std::to_string(members->second) +
                      " workers are left after the loss");
    }
}

void checker::check_waves()
{
    std::set<std::string> seen;
    std::map<base::pool_name, std::string> wave_of;
    for (std::size_t i = 0; i < value_.waves.size(); ++i)
    {
        const wave& entry = value_.waves[i];
        unique(seen, entry.name, at("waves", i, "name"));
        if (entry.pools.empty())
            fault(at("waves", i, "pools"), "must not be empty");
        std::uint64_t members = 0;
        for (std::size_t k = 0; k < entry.pools.size(); ++k)
        {
            const std::string path = at(at("waves", i, "pools"), k);
            reference(pools_, entry.pools[k], path, "pool");
            if (!wave_of.emplace(entry.pools[k], entry.name).second)
                fault(path, "already in wave " + wave_of[entry.pools[k]]);
            const auto found = pool_workers_.find(entry.pools[k]);
            members += found == pool_workers_.end() ? 0 : found->second;
        }
        const std::uint64_t parallel = std::max(entry.max_parallel, 1U);
        const std::uint64_t rounds = (members + parallel - 1) / parallel;
        if (worker_maintenance_time * rounds > entry.period)
            fault(at("waves", i, "period_s"),
                  "too short: " + std::to_string(rounds) + " rounds of " +
                      std::to_string(worker_maintenance_time.count()) + " s");
    }
}

void checker::check_operators()
{
    std::set<std::string> seen;
    bool author = false;
    bool reviewer = false;
    for (std::size_t i = 0; i < value_.operators.size(); ++i)
    {
        const operator_entry& entry = value_.operators[i];
        unique(seen, entry.name, at("operators", i, "name"));
        unique(tokens_, entry.token_sha256, at("operators", i, "token_sha256"));
        author = author || entry.role == operator_role::author;
        reviewer = reviewer || entry.role == operator_role::reviewer;
    }
    // Without both, no further bundle could ever be signed off.
    if (!author)
        fault("operators", "needs an author");
    if (!reviewer)
        fault("operators", "needs a reviewer besides the author");
}

} // namespace

fault_list check_bundle(const bundle& value)
{
    return checker(value).run();
}

} // namespace pimentograde::config
