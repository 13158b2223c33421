#include "capacity/buffer_planner.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace pimentograde::capacity
{

namespace
{

std::uint32_t ceil_div(std::uint32_t value, std::uint32_t parts)
{
    return (value + parts - 1) / std::max(parts, 1U);
}

std::uint32_t ceil_workers(double workers)
{
    // The margin keeps rounding errors from adding a worker.
    constexpr double margin = 1e-9;
    return static_cast<std::uint32_t>(
        std::ceil(std::max(workers - margin, 0.0)));
}

struct pool_need
{
    std::vector<config::budget> budgets;
    std::uint32_t min_workers = 0;
    /// Workers in the bundle.
    std::uint32_t present = 0;
    /// Least workers with which each budget survives its failure.
    std::uint32_t surviving = 0;
};

class buffer_planning
{
public:
    buffer_planning(const config::bundle& bundle,
                    const buffer_settings& settings)
        : bundle_(bundle), settings_(settings)
    {
        std::set<std::pair<base::zone_name, base::rack_name>> racks;
        std::set<base::zone_name> zones(bundle.zones.begin(),
                                        bundle.zones.end());
        for (const config::worker& each : bundle.workers)
        {
            racks.emplace(each.zone, each.rack);
            zones.insert(each.zone);
        }
        racks_ = std::max<std::uint32_t>(
            static_cast<std::uint32_t>(racks.size()), 1);
        zones_ = std::max<std::uint32_t>(
            static_cast<std::uint32_t>(zones.size()), 1);
        for (const config::pool& each : bundle.pools)
            pools_.push_back(make_need(each.name));
        maintained_ = !bundle.waves.empty();
        budgeted_ = std::any_of(pools_.begin(), pools_.end(),
                                [](const pool_need& each)
                                { return each.min_workers > 0; });
        compute_demand();
    }

    buffer_plan run()
    {
        buffer_plan plan;
        for (const pool_need& each : pools_)
        {
            plan.base_workers += each.min_workers;
            plan.failure_bound += each.surviving - each.min_workers;
        }
        plan.in_bundle = static_cast<std::int64_t>(bundle_.workers.size()) -
                         plan.base_workers;
        plan.maintenance_bound = maintained_ && budgeted_ ? 1 : 0;
        plan.covered_bursts = covered_bursts_;
        const std::uint32_t least = least_fleet();
        plan.burst_bound =
            least > plan.base_workers ? least - plan.base_workers : 0;
        plan.lower_bound = std::max(plan.failure_bound + plan.maintenance_bound,
                                    plan.burst_bound);
        for (const buffer_strategy each : all_buffer_strategies)
            plan.options.push_back(make_option(each, plan));
        plan.chosen = choose(plan);
        return plan;
    }

private:
    pool_need make_need(const base::pool_name& name) const
    {
        pool_need need;
        for (const config::budget& each : bundle_.budgets)
            if (each.pool == name)
            {
                need.budgets.push_back(each);
                need.min_workers = std::max(need.min_workers, each.min_workers);
            }
        need.present = static_cast<std::uint32_t>(std::count_if(
            bundle_.workers.begin(), bundle_.workers.end(),
            [&](const config::worker& each) { return each.pool == name; }));
        need.surviving = need.min_workers;
        while (!survives(need, need.surviving, 0))
            ++need.surviving;
        return need;
    }

    [[nodiscard]] std::uint32_t loss(config::failure_domain domain,
                                     std::uint32_t workers) const
    {
        if (domain == config::failure_domain::none)
            return 0;
        return ceil_div(
            workers, domain == config::failure_domain::rack ? racks_ : zones_);
    }

    /// Whether all budgets hold with `workers`, of which `drained` are out in
    /// other domains than the one that fails.
    [[nodiscard]] bool survives(const pool_need& need, std::uint32_t workers,
                                std::uint32_t drained) const
    {
        return std::all_of(need.budgets.begin(), need.budgets.end(),
                           [&](const config::budget& each)
                           {
                               return workers >=
                                      each.min_workers + drained +
                                          loss(each.survive, workers);
                           });
    }

    [[nodiscard]] config::failure_domain
    worst_domain(const std::vector<config::budget>& budgets) const
    {
        auto worst = config::failure_domain::none;
        for (const config::budget& each : budgets)
            worst = std::max(worst, each.survive);
        return worst;
    }

    void compute_demand()
    {
        queues_ = static_cast<std::uint32_t>(std::count_if(
            pools_.begin(), pools_.end(),
            [](const pool_need& each) { return each.present > 0; }));
        for (const pool_need& each : pools_)
            mean_ += settings_.bursts.mean_share * each.present;
        mean_ /= std::max(queues_, 1U);
        const double share = settings_.bursts.burst_share();
        double covered = burst_probability(queues_, 0, share);
        while (covered < settings_.covered_share && covered_bursts_ < queues_)
            covered += burst_probability(queues_, ++covered_bursts_, share);
        fleet_domain_ = worst_domain(bundle_.budgets);
    }

    [[nodiscard]] double demand(std::uint32_t bursts) const
    {
        return mean_ * demand_in_means(settings_.bursts, queues_,
                                       std::min(bursts, queues_));
    }

    /// Least workers in all whose slots hold the stated bursts.
    [[nodiscard]] std::uint32_t least_fleet() const
    {
        const std::uint32_t out = maintained_ ? 1 : 0;
        std::uint32_t fleet = out + ceil_workers(demand(covered_bursts_));
        const double in_failure = demand(settings_.bursts_in_failure);
        while (fleet <
               out + loss(fleet_domain_, fleet) + ceil_workers(in_failure))
            ++fleet;
        return fleet;
    }

    [[nodiscard]] double burst_of(const pool_need& need) const
    {
        return settings_.bursts.high * settings_.bursts.mean_share *
               need.present;
    }

    /// Least workers with which a pool needs no help in a drain.
    [[nodiscard]] std::uint32_t with_drain(const pool_need& need) const
    {
        std::uint32_t workers = need.surviving;
        while (maintained_ && !survives(need, workers, 1))
            ++workers;
        return workers;
    }

    [[nodiscard]] std::uint32_t alone(const pool_need& need) const
    {
        const std::uint32_t burst =
            ceil_workers(burst_of(need)) + (maintained_ ? 1 : 0);
        std::uint32_t workers = std::max(with_drain(need), burst);
        while (workers < burst + loss(worst_domain(need.budgets), workers))
            ++workers;
        return workers;
    }

    /// Workers that the demand needs beyond the pools' own, when the `bursts`
    /// pools that overflow most are in a burst. One worker of each pool is out
    /// for maintenance, and in a failure its worst domain as well.
    [[nodiscard]] double overflow(const std::vector<std::uint32_t>& pools,
                                  std::uint32_t bursts, bool failure) const
    {
        std::vector<double> extra;
        double sum = 0;
        for (std::size_t index = 0; index < pools.size(); ++index)
        {
            const std::uint32_t out =
                (failure ? loss(fleet_domain_, pools[index]) : 0) +
                (maintained_ ? 1 : 0);
            const double left = pools[index] - std::min(out, pools[index]);
            const double burst = burst_of(pools_[index]);
            const double quiet =
                burst * settings_.bursts.low / settings_.bursts.high;
            const double quiet_excess = std::max(quiet - left, 0.0);
            sum += quiet_excess;
            extra.push_back(std::max(burst - left, 0.0) - quiet_excess);
        }
        std::sort(extra.rbegin(), extra.rend());
        extra.resize(std::min<std::size_t>(bursts, extra.size()));
        return std::accumulate(extra.begin(), extra.end(), sum);
    }

    [[nodiscard]] std::uint32_t
    shared_pool(const std::vector<std::uint32_t>& pools) const
    {
        std::uint32_t shared =
            ceil_workers(overflow(pools, covered_bursts_, false));
        const double in_failure =
            overflow(pools, settings_.bursts_in_failure, true);
        while (shared < loss(fleet_domain_, shared) + ceil_workers(in_failure))
            ++shared;
        return shared;
    }

    /// Shared spares with which each pool, holding `surviving` workers, can
    /// drain each of its workers in turn. A spare helps only from a zone (or
    /// rack) in which it does not become part of the worst further failure.
    /// Exact up to two spares, else one in each domain.
    void add_maintenance_spares(buffer_option& option) const
    {
        // A rack and a zone with the same index have no worker in common.
        option.shared_zones = spares_among(zones_, false);
        option.shared_workers = static_cast<std::uint32_t>(
            option.shared_zones.size() + spares_among(racks_, true).size());
        option.moves_per_hour = moves_per_hour(option.shared_workers);
    }

    [[nodiscard]] std::vector<std::uint32_t> spares_among(std::uint32_t domains,
                                                          bool racks) const
    {
        std::vector<pool_domain> open;
        for (std::size_t pool = 0; pool < pools_.size(); ++pool)
            for (std::uint32_t domain = 0; domain < domains; ++domain)
                if (uses_racks(pool) == racks && count_in(pool, domain) > 0 &&
                    !drain_allowed(pool, domain, {}))
                    open.emplace_back(pool, domain);
        if (open.empty())
            return {};
        for (std::uint32_t first = 0; first < domains; ++first)
            if (all_helped(open, {first}))
                return {first};
        for (std::uint32_t first = 0; first < domains; ++first)
            for (std::uint32_t second = first; second < domains; ++second)
                if (all_helped(open, {first, second}))
                    return {first, second};
        // One in each domain always helps: it replaces the drained worker.
        std::set<std::uint32_t> needed;
        for (const auto& [pool, domain] : open)
            needed.insert(domain);
        return {needed.begin(), needed.end()};
    }

    using pool_domain = std::pair<std::size_t, std::uint32_t>;

    /// Whether all of `spares`, or one of them, make room for each drain.
    [[nodiscard]] bool
    all_helped(const std::vector<pool_domain>& open,
               const std::vector<std::uint32_t>& spares) const
    {
        return std::all_of(
            open.begin(), open.end(),
            [&](const pool_domain& each)
            {
                return drain_allowed(each.first, each.second, spares) ||
                       std::any_of(spares.begin(), spares.end(),
                                   [&](std::uint32_t spare) {
                                       return drain_allowed(
                                           each.first, each.second, {spare});
                                   });
            });
    }

    [[nodiscard]] bool uses_racks(std::size_t pool) const
    {
        return worst_domain(pools_[pool].budgets) ==
               config::failure_domain::rack;
    }

    [[nodiscard]] std::uint32_t domains_of(std::size_t pool) const
    {
        return uses_racks(pool) ? racks_ : zones_;
    }

    /// Workers of a pool in one of its domains when spread evenly.
    [[nodiscard]] std::uint32_t count_in(std::size_t pool,
                                         std::uint32_t domain) const
    {
        const std::uint32_t domains = domains_of(pool);
        const std::uint32_t workers = pools_[pool].surviving;
        const auto offset = static_cast<std::uint32_t>(pool) % domains;
        const std::uint32_t position = (domain + domains - offset) % domains;
        return workers / domains + (position < workers % domains ? 1 : 0);
    }

    /// Whether a worker in `domain` may be drained with one more worker in each
    /// of the domains `spares`.
    [[nodiscard]] bool
    drain_allowed(std::size_t pool, std::uint32_t domain,
                  const std::vector<std::uint32_t>& spares) const
    {
        const pool_need& need = pools_[pool];
        const std::uint32_t domains = domains_of(pool);
        std::uint32_t total = 0;
        std::uint32_t largest = 0;
        const auto added = [&](std::uint32_t at)
        {
            return static_cast<std::uint32_t>(
                std::count(spares.begin(), spares.end(), at));
        };
        for (std::uint32_t each = 0; each < domains; ++each)
        {
            const std::uint32_t count =
                count_in(pool, each) + added(each) - (each == domain ? 1 : 0);
            total += count;
            largest = std::max(largest, count);
        }
        return std::all_of(
            need.budgets.begin(), need.budgets.end(),
            [&](const config::budget& each)
            {
                const bool none = each.survive == config::failure_domain::none;
                return total >= each.min_workers + (none ? 0 : largest);
            });
    }

    buffer_option make_option(buffer_strategy strategy,
                              const buffer_plan& plan) const
    {
        buffer_option option;
        option.strategy = strategy;
        for (const pool_need& each : pools_)
            option.pool_workers.push_back(
                strategy == buffer_strategy::fixed_spares ? alone(each)
                : strategy == buffer_strategy::moving     ? each.surviving
                                                          : with_drain(each));
        if (strategy == buffer_strategy::shared_spare)
            option.shared_workers = shared_pool(option.pool_workers);
        if (strategy == buffer_strategy::moving && maintained_)
            add_maintenance_spares(option);
        std::uint32_t total = option.shared_workers;
        for (const std::uint32_t each : option.pool_workers)
            total += each;
        const bool lends = strategy == buffer_strategy::lending ||
                           strategy == buffer_strategy::moving;
        if (lends && total < least_fleet())
        {
            option.shared_workers += least_fleet() - total;
            total = least_fleet();
        }
        option.instances = total - plan.base_workers;
        if (plan.lower_bound > 0)
            option.ratio = static_cast<double>(option.instances) /
                           static_cast<double>(plan.lower_bound);
        return option;
    }

    /// Each spare visits each pool once in a pass of the wave.
    [[nodiscard]] double moves_per_hour(std::uint32_t spares) const
    {
        base::duration period = settings_.default_period;
        for (const config::wave& each : bundle_.waves)
            if (each.period > base::duration{})
                period = std::min(period, each.period);
        constexpr double seconds_per_hour = 3600;
        return static_cast<double>(spares) *
               static_cast<double>(pools_.size()) * seconds_per_hour /
               base::count_seconds(period);
    }

    [[nodiscard]] buffer_strategy choose(const buffer_plan& plan) const
    {
        const auto least = std::min_element(
            plan.options.begin(), plan.options.end(),
            [](const buffer_option& left, const buffer_option& right)
            { return left.instances < right.instances; });
        // When none meets the target, only those that cost least are equal.
        const double limit = std::max(settings_.target_ratio, least->ratio);
        const auto score = [&](const buffer_option& of)
        {
            return bundle_.weights.buffer_cost * of.ratio +
                   bundle_.weights.moves * of.moves_per_hour;
        };
        const buffer_option* best = &*least;
        for (const buffer_option& each : plan.options)
            if (each.ratio <= limit && score(each) < score(*best))
                best = &each;
        return best->strategy;
    }

    const config::bundle& bundle_;
    const buffer_settings& settings_;
    std::uint32_t racks_ = 1;
    std::uint32_t zones_ = 1;
    std::vector<pool_need> pools_;
    bool maintained_ = false;
    bool budgeted_ = false;
    std::uint32_t queues_ = 0;
    /// Mean demand of one queue, in workers.
    double mean_ = 0;
    std::uint32_t covered_bursts_ = 0;
    config::failure_domain fleet_domain_ = config::failure_domain::none;
};

} // namespace

double burst_probability(std::uint32_t queues, std::uint32_t bursting,
                         double burst_share)
{
    if (bursting > queues)
        return 0;
    double ways = 1;
    for (std::uint32_t each = 0; each < bursting; ++each)
        ways *= static_cast<double>(queues - each) / (each + 1);
    return ways * std::pow(burst_share, bursting) *
           std::pow(1 - burst_share, queues - bursting);
}

double demand_in_means(const burst_profile& profile, std::uint32_t queues,
                       std::uint32_t bursting)
{
    return profile.high * bursting + profile.low * (queues - bursting);
}

std::string_view to_string(buffer_strategy strategy)
{
    switch (strategy)
    {
    case buffer_strategy::fixed_spares:
        return "fixed_spares";
    case buffer_strategy::shared_spare:
        return "shared_spare";
    case buffer_strategy::lending:
        return "lending";
    case buffer_strategy::moving:
        break;
    }
    return "moving";
}

buffer_plan plan_buffer(const config::bundle& bundle,
                        const buffer_settings& settings)
{
    return buffer_planning(bundle, settings).run();
}

} // namespace pimentograde::capacity
