#include "load/capacity_wave_run.hpp"

#include "base/random_source.hpp"
#include "capacity/budget_checker.hpp"
#include "capacity/fleet_change.hpp"
#include "capacity/wave_planner.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace pimentograde::load
{

namespace
{

using capacity::change_kind;
using capacity::fleet_change;
using capacity::worker_state;

constexpr std::size_t workers_per_rack = 4;
constexpr std::uint32_t max_parallel = 4;
constexpr std::chrono::seconds step_length{5};
constexpr std::chrono::minutes stage_limit{1};
constexpr std::chrono::minutes rack_outage{10};
constexpr int longest_run = 20000; // steps
constexpr std::string_view wave_name = "benchmark";
constexpr base::wall_time start{std::chrono::milliseconds{1796360000000}};

void add_workers(config::bundle& sized, const config::worker& model,
                 const base::pool_name& pool, std::uint32_t count,
                 std::size_t offset)
{
    const std::size_t zones = std::max<std::size_t>(sized.zones.size(), 1);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        const std::size_t number = sized.workers.size();
        config::worker worker = model;
        worker.id = base::worker_id("b" + std::to_string(number));
        worker.pool = pool;
        worker.zone = sized.zones[(index + offset) % zones];
        const auto in_zone = static_cast<std::size_t>(
            std::count_if(sized.workers.begin(), sized.workers.end(),
                          [&](const config::worker& each)
                          { return each.zone == worker.zone; }));
        worker.rack =
            base::rack_name("r" + std::to_string(in_zone / workers_per_rack));
        sized.workers.push_back(std::move(worker));
    }
}

class wave_run
{
public:
    wave_run(const config::bundle& bundle, std::uint64_t seed, bool budgeted)
        : bundle_(bundle), random_(seed), budgeted_(budgeted), state_(begin())
    {
    }

    wave_run_result run()
    {
        result_.workers = static_cast<std::uint32_t>(state_.workers.size());
        for (int step = 0; step < longest_run; ++step)
        {
            now_ += step_length;
            progress();
            decide();
            lose_rack();
            note_broken();
            if (maintained() == result_.workers && lost_.empty())
                break;
        }
        result_.maintained = maintained();
        result_.broken_budgets = static_cast<std::uint32_t>(broken_.size());
        return result_;
    }

private:
    capacity::fleet_state begin()
    {
        auto state = capacity::initial_state(bundle_, now_);
        fleet_change change;
        change.kind = change_kind::start_wave;
        change.wave = wave_name;
        capacity::apply_change(state, change, now_);
        return state;
    }

    [[nodiscard]] std::uint32_t maintained() const
    {
        return static_cast<std::uint32_t>(std::count_if(
            state_.workers.begin(), state_.workers.end(),
            [](const auto& item) { return item.second.maintained >= start; }));
    }

    void apply(const base::worker_id& worker, change_kind kind)
    {
        fleet_change change;
        change.kind = kind;
        change.worker = worker;
        change.incarnation = ++incarnation_;
        capacity::apply_change(state_, change, now_);
        next_at_[worker] = now_ + stage_length();
    }

    std::chrono::milliseconds stage_length()
    {
        return std::chrono::floor<std::chrono::milliseconds>(
            random_.jitter(stage_limit));
    }

    void progress()
    {
        for (const config::worker& each : bundle_.workers)
        {
            const auto state = state_.workers.at(each.id).state;
            if (now_ < next_at_[each.id])
                continue;
            if (state == worker_state::draining)
                apply(each.id, change_kind::confirm_drained);
            else if (state == worker_state::moving)
                apply(each.id, change_kind::admit_move);
            else if (state == worker_state::rebooting)
                apply(each.id, change_kind::confirm_rebooted);
            else if (state == worker_state::probation)
                apply(each.id, change_kind::confirm_healthy);
            else if (state == worker_state::down)
            {
                apply(each.id, change_kind::mark_returned);
                lost_.erase(each.id);
            }
        }
    }

    [[nodiscard]] std::vector<fleet_change> choose() const
    {
        if (budgeted_)
            return capacity::wave_planner(bundle_).plan(state_, now_).changes;
        std::vector<fleet_change> changes;
        std::uint32_t out = 0;
        for (const auto& [id, status] : state_.workers)
            out += status.wave.empty() ? 0 : 1;
        for (const auto& [id, status] : state_.workers)
        {
            if (out >= max_parallel)
                break;
            if (status.state != worker_state::serving ||
                status.maintained >= start)
                continue;
            fleet_change change;
            change.kind = change_kind::start_drain;
            change.worker = id;
            change.wave = wave_name;
            changes.push_back(std::move(change));
            ++out;
        }
        return changes;
    }

    void decide()
    {
        for (const fleet_change& each : choose())
        {
            capacity::apply_change(state_, each, now_);
            if (each.kind != change_kind::start_drain)
                continue;
            next_at_[each.worker] = now_ + stage_length();
            result_.cover_moves += each.pool.empty() ? 0 : 1;
        }
    }

    void lose_rack()
    {
        if (rack_lost_ || maintained() < result_.workers / 2)
            return;
        const auto out = std::find_if(
            state_.workers.begin(), state_.workers.end(),
            [](const auto& item)
            { return item.second.state == worker_state::rebooting; });
        if (out == state_.workers.end())
            return;
        rack_lost_ = true;
        const auto& origin = *std::find_if(
            bundle_.workers.begin(), bundle_.workers.end(),
            [&](const config::worker& each) { return each.id == out->first; });
        // The rack next to the one under maintenance is the worse loss.
        const config::worker* victim = &origin;
        for (const config::worker& each : bundle_.workers)
            if ((each.zone != origin.zone || each.rack != origin.rack) &&
                each.pool == origin.pool)
                victim = &each;
        for (const config::worker& each : bundle_.workers)
        {
            if (each.zone != victim->zone || each.rack != victim->rack)
                continue;
            apply(each.id, change_kind::mark_down);
            next_at_[each.id] = now_ + rack_outage;
            lost_.insert(each.id);
        }
    }

    void note_broken()
    {
        for (const auto& each :
             capacity::budget_checker(bundle_).evaluate(state_))
            if (each.broken_now())
                broken_.emplace(each.budget.department, each.budget.pool);
    }

    const config::bundle& bundle_;
    base::random_source random_;
    bool budgeted_;
    base::wall_time now_ = start;
    capacity::fleet_state state_;
    std::map<base::worker_id, base::wall_time> next_at_;
    std::set<base::worker_id> lost_;
    std::set<std::pair<base::department_name, base::pool_name>> broken_;
    bool rack_lost_ = false;
    std::uint64_t incarnation_ = 0;
    wave_run_result result_;
};

} // namespace

config::bundle sized_bundle(const config::bundle& bundle,
                            const capacity::buffer_option& option)
{
    config::bundle sized = bundle;
    if (bundle.workers.empty() || bundle.zones.empty())
        return sized;
    sized.workers.clear();
    const config::worker& model = bundle.workers.front();
    config::wave wave;
    wave.name = wave_name;
    wave.max_parallel = max_parallel;
    for (std::size_t pool = 0; pool < sized.pools.size(); ++pool)
    {
        sized.pools[pool].spare = false;
        add_workers(sized, model, sized.pools[pool].name,
                    option.pool_workers[pool], pool);
        wave.pools.push_back(sized.pools[pool].name);
    }
    if (option.shared_workers > 0)
    {
        const base::pool_name shared("benchmark-shared");
        sized.pools.push_back({shared, true});
        for (const std::uint32_t zone : option.shared_zones)
            add_workers(sized, model, shared, 1, zone);
        const auto placed =
            static_cast<std::uint32_t>(option.shared_zones.size());
        add_workers(sized, model, shared, option.shared_workers - placed, 0);
        wave.pools.push_back(shared);
    }
    sized.waves = {wave};
    return sized;
}

wave_run_result run_wave(const config::bundle& bundle, std::uint64_t seed,
                         bool budgeted)
{
    return wave_run(bundle, seed, budgeted).run();
}

} // namespace pimentograde::load
