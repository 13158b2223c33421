#include "capacity/buffer_planner.hpp"
#include "capacity/make_bundle.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;
using capacity::buffer_strategy;
using doctest::Approx;

namespace
{

config::bundle firm_bundle(std::size_t zones, std::uint32_t min_workers,
                           config::failure_domain survive)
{
    auto bundle = tests::make_bundle(5, 10, zones);
    tests::add_budgets(bundle, min_workers, survive);
    tests::add_wave(bundle, 2, 24h * 7);
    return bundle;
}

const capacity::buffer_option& option_of(const capacity::buffer_plan& plan,
                                         buffer_strategy strategy)
{
    return plan.options.at(static_cast<std::size_t>(strategy));
}

} // namespace

// Guards against burst figures that drift from the design page.
TEST_CASE("the burst figures are those of the design page")
{
    const capacity::burst_profile profile;
    CHECK(profile.burst_share() == Approx(0.19).epsilon(0.02));
    CHECK(capacity::demand_in_means(profile, 5, 1) == Approx(5.2));
    const double p = 0.19;
    CHECK(capacity::burst_probability(5, 0, p) == Approx(0.3487).epsilon(1e-3));
    CHECK(capacity::burst_probability(5, 1, p) == Approx(0.4089).epsilon(1e-3));
    CHECK(capacity::burst_probability(5, 2, p) == Approx(0.1919).epsilon(1e-3));
    double sum = 0;
    double mean = 0;
    for (std::uint32_t bursting = 0; bursting <= 5; ++bursting)
    {
        const double share =
            capacity::burst_probability(5, bursting, profile.burst_share());
        sum += share;
        mean += share * capacity::demand_in_means(profile, 5, bursting);
    }
    CHECK(sum == Approx(1));
    CHECK(mean == Approx(5));
}

// The worked example of docs/buffer.md.
TEST_CASE("the lower bound of both deployments is that of docs/buffer.md")
{
    const auto three =
        capacity::plan_buffer(firm_bundle(3, 6, config::failure_domain::zone));
    CHECK(three.base_workers == 30);
    CHECK(three.failure_bound == 15);
    CHECK(three.maintenance_bound == 1);
    CHECK(three.covered_bursts == 3);
    CHECK(three.lower_bound == 16);
    CHECK(three.in_bundle == 20);
    const auto four =
        capacity::plan_buffer(firm_bundle(4, 6, config::failure_domain::zone));
    CHECK(four.failure_bound == 10);
    CHECK(four.lower_bound == 11);
}

// Guards against a choice that costs more than another strategy, or that is
// below what is possible.
TEST_CASE("no strategy is below the lower bound and none beats the chosen one")
{
    CHECK(rc::check(
        "strategies are ordered by what they may do",
        []
        {
            auto bundle = tests::make_bundle(*rc::gen::inRange(1, 8),
                                             *rc::gen::inRange(6, 13),
                                             *rc::gen::inRange(2, 7));
            tests::add_budgets(bundle, *rc::gen::inRange(1, 8),
                               *rc::gen::element(config::failure_domain::none,
                                                 config::failure_domain::rack,
                                                 config::failure_domain::zone));
            if (*rc::gen::arbitrary<bool>())
                tests::add_wave(bundle, 2, 24h);
            const auto plan = capacity::plan_buffer(bundle);
            std::uint32_t least = UINT32_MAX;
            for (const auto& each : plan.options)
            {
                RC_ASSERT(each.instances >= plan.lower_bound);
                least = std::min(least, each.instances);
            }
            const auto& chosen = option_of(plan, plan.chosen);
            RC_ASSERT(chosen.instances == least || chosen.ratio <= 1.15);
            RC_ASSERT(option_of(plan, buffer_strategy::lending).instances <=
                      option_of(plan, buffer_strategy::fixed_spares).instances);
        }));
}

// Guards against weights that are read but have no effect.
TEST_CASE("the weights choose between strategies that meet the target")
{
    auto bundle = firm_bundle(3, 6, config::failure_domain::none);
    bundle.waves.front().period = 1h;
    capacity::buffer_settings any_ratio;
    any_ratio.target_ratio = 10;
    bundle.weights = {0.5, 0, 0.5};
    const auto calm = capacity::plan_buffer(bundle, any_ratio);
    CHECK(calm.chosen == buffer_strategy::lending);
    bundle.weights = {1, 0, 0};
    const auto frugal = capacity::plan_buffer(bundle, any_ratio);
    CHECK(option_of(frugal, frugal.chosen).instances <=
          option_of(calm, calm.chosen).instances);
}
