#include "capacity/make_bundle.hpp"
#include "load/capacity_benchmark.hpp"
#include "load/capacity_wave_run.hpp"

#include <boost/json/parse.hpp>

#include <doctest/doctest.h>

#include <set>
#include <sstream>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

config::bundle firm_bundle(std::size_t zones)
{
    auto bundle = tests::make_bundle(5, 10, zones);
    bundle.deployment = std::to_string(zones) + " zones";
    tests::add_budgets(bundle, 6, config::failure_domain::zone);
    tests::add_wave(bundle, 2, 24h * 7);
    return bundle;
}

} // namespace

// Guards against a strategy that is chosen on paper but with whose buffer the
// wave planner breaks a budget or cannot finish a wave.
TEST_CASE("the chosen buffer carries a wave with a lost rack")
{
    for (const std::size_t zones : {3, 4})
    {
        const auto bundle = firm_bundle(zones);
        const auto plan = capacity::plan_buffer(bundle);
        for (const auto& option : plan.options)
        {
            const auto sized = load::sized_bundle(bundle, option);
            for (std::uint64_t seed = 0; seed < 5; ++seed)
            {
                const auto run = load::run_wave(sized, seed, true);
                CAPTURE(zones);
                CAPTURE(capacity::to_string(option.strategy));
                CHECK(run.broken_budgets == 0);
                CHECK(run.maintained == run.workers);
            }
        }
    }
}

// Guards against lines that the measuring script cannot read.
TEST_CASE("the benchmark writes one JSON object a line")
{
    std::ostringstream out;
    load::run_capacity_benchmark(out, firm_bundle(3), 1);
    std::istringstream lines(out.str());
    std::string line;
    std::set<std::string> names;
    while (std::getline(lines, line))
    {
        const auto value = boost::json::parse(line);
        const auto& object = value.as_object();
        CHECK(object.size() == 5);
        CHECK(object.at("value").is_double());
        names.insert(std::string(object.at("name").as_string()));
    }
    for (const char* name :
         {"buffer_cost_instances", "buffer_cost_ratio", "moves_per_hour",
          "broken_budgets", "planner_step_cpu_400_workers",
          "fleet_state_size_400_workers"})
        CHECK(names.contains(name));
    MESSAGE(out.str());
    out.str("");
    load::run_capacity_benchmark(out, firm_bundle(4), 1);
    MESSAGE(out.str());
}
