#include "load/capacity_benchmark.hpp"

#include "capacity/buffer_planner.hpp"
#include "capacity/fleet_change.hpp"
#include "capacity/fleet_codec.hpp"
#include "capacity/fleet_observer.hpp"
#include "capacity/wave_planner.hpp"
#include "load/capacity_wave_run.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <ctime>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::load
{

namespace
{

class reporter
{
public:
    reporter(std::ostream& out, std::string deployment)
        : out_(out), deployment_(std::move(deployment))
    {
    }

    void write(std::string_view name, double value, std::string_view unit,
               std::string_view baseline = {}) const
    {
        boost::json::object line;
        line["name"] = name;
        line["value"] = value;
        line["unit"] = unit;
        line["deployment"] = deployment_;
        line["baseline"] = baseline;
        out_ << boost::json::serialize(line) << '\n';
    }

private:
    std::ostream& out_;
    std::string deployment_;
};

void report_strategies(const reporter& report, const config::bundle& bundle,
                       std::uint64_t seed)
{
    const capacity::buffer_plan plan = capacity::plan_buffer(bundle);
    report.write("buffer_lower_bound", plan.lower_bound, "workers");
    report.write("buffer_in_bundle", static_cast<double>(plan.in_bundle),
                 "workers");
    for (const capacity::buffer_option& option : plan.options)
    {
        const std::string_view name = capacity::to_string(option.strategy);
        const std::string_view baseline =
            option.strategy == plan.chosen ? std::string_view{} : name;
        report.write("buffer_cost_instances", option.instances, "workers",
                     baseline);
        report.write("buffer_cost_ratio", option.ratio, "ratio", baseline);
        report.write("moves_per_hour", option.moves_per_hour, "1/h", baseline);
        const wave_run_result wave =
            run_wave(sized_bundle(bundle, option), seed, true);
        report.write("broken_budgets", wave.broken_budgets, "budgets",
                     baseline);
        report.write("wave_unmaintained", wave.workers - wave.maintained,
                     "workers", baseline);
        report.write("wave_cover_moves", wave.cover_moves, "moves", baseline);
        if (option.strategy != plan.chosen)
            continue;
        const wave_run_result simple =
            run_wave(sized_bundle(bundle, option), seed, false);
        report.write("broken_budgets", simple.broken_budgets, "budgets",
                     "max_parallel_only");
    }
}

/// As many copies of the deployment's pools as `workers` need.
config::bundle grown_bundle(const config::bundle& bundle, std::size_t workers)
{
    config::bundle grown = bundle;
    grown.pools.clear();
    grown.workers.clear();
    grown.budgets.clear();
    for (std::size_t copy = 0; grown.workers.size() < workers; ++copy)
    {
        const std::string suffix = "-" + std::to_string(copy);
        const auto rename = [&](const base::pool_name& pool)
        {
            return base::pool_name(pool.str() + suffix);
        };
        for (config::pool pool : bundle.pools)
        {
            pool.name = rename(pool.name);
            grown.pools.push_back(std::move(pool));
        }
        for (config::budget budget : bundle.budgets)
        {
            budget.pool = rename(budget.pool);
            grown.budgets.push_back(std::move(budget));
        }
        for (config::worker worker : bundle.workers)
        {
            if (grown.workers.size() == workers)
                break;
            worker.id = base::worker_id(worker.id.str() + suffix);
            worker.pool = rename(worker.pool);
            worker.rack = base::rack_name(worker.rack.str() + suffix);
            grown.workers.push_back(std::move(worker));
        }
    }
    for (config::wave& wave : grown.waves)
    {
        wave.pools.clear();
        for (const config::pool& pool : grown.pools)
            wave.pools.push_back(pool.name);
    }
    return grown;
}

std::vector<capacity::worker_sighting>
healthy_round(const config::bundle& bundle)
{
    std::vector<capacity::worker_sighting> round;
    for (const config::worker& each : bundle.workers)
    {
        capacity::worker_sighting seen;
        seen.worker = each.id;
        seen.reported = true;
        seen.incarnation = 1;
        round.push_back(std::move(seen));
    }
    return round;
}

/// Seconds of processor time of one call, as a mean over many.
template <class Call>
double cpu_seconds(Call call)
{
    constexpr int rounds = 50;
    const std::clock_t before = std::clock();
    for (int index = 0; index < rounds; ++index)
        call();
    return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / rounds;
}

struct step_cost
{
    /// Decisions of one planner step in a running wave, without I/O.
    double step_seconds = 0;
    double encode_seconds = 0;
    double decode_seconds = 0;
    std::size_t state_bytes = 0;
};

step_cost measure_step(const config::bundle& bundle)
{
    base::wall_time now{std::chrono::milliseconds{1796360000000}};
    auto state = capacity::initial_state(bundle, now);
    for (auto& [name, status] : state.waves)
        status.immediate = true;
    // The size that the document has once each worker was maintained.
    for (auto& [id, status] : state.workers)
        status.maintained = now - std::chrono::hours{1};
    const auto round = healthy_round(bundle);
    capacity::fleet_observer observer;
    const capacity::wave_planner planner(bundle);
    step_cost cost;
    cost.step_seconds = cpu_seconds(
        [&]
        {
            now += std::chrono::milliseconds{500};
            capacity::fleet_state next = state;
            capacity::reconcile(next, bundle, now);
            for (const auto& change : observer.observe(next, round, now))
                capacity::apply_change(next, change, now);
            for (const auto& change : planner.plan(next, now).changes)
                capacity::apply_change(next, change, now);
        });
    std::string text;
    cost.encode_seconds = cpu_seconds([&] { text = capacity::encode(state); });
    cost.decode_seconds = cpu_seconds([&] { state = capacity::decode(text); });
    cost.state_bytes = text.size();
    return cost;
}

void report_slopes(const reporter& report, const config::bundle& bundle)
{
    constexpr double microseconds = 1e6;
    if (bundle.workers.empty())
        return;
    for (const std::size_t workers : {50, 200, 400})
    {
        const config::bundle grown = grown_bundle(bundle, workers);
        const std::string suffix = "_" + std::to_string(workers) + "_workers";
        const step_cost cost = measure_step(grown);
        report.write("planner_step_cpu" + suffix,
                     cost.step_seconds * microseconds, "us");
        report.write("fleet_state_encode_cpu" + suffix,
                     cost.encode_seconds * microseconds, "us");
        report.write("fleet_state_decode_cpu" + suffix,
                     cost.decode_seconds * microseconds, "us");
        report.write("fleet_state_size" + suffix,
                     static_cast<double>(cost.state_bytes), "bytes");
    }
}

} // namespace

void run_capacity_benchmark(std::ostream& out, const config::bundle& bundle,
                            std::uint64_t seed)
{
    const reporter report(out, bundle.deployment);
    report_strategies(report, bundle, seed);
    report_slopes(report, bundle);
}

} // namespace pimentograde::load
