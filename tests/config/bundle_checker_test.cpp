#include "base/error.hpp"
#include "config/bundle_checker.hpp"
#include "config/bundle_parser.hpp"
#include "config/example_text.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

using namespace pimentograde;
using config::bundle;

namespace
{

struct broken_case
{
    const char* path;
    std::function<void(bundle&)> change;
};

const std::vector<broken_case>& broken_cases()
{
    static const std::vector<broken_case> cases{
        {"weights",
         [](bundle& b)
         {
             b.weights.moves += 0.1;
         }},
        {"zones[1]",
         [](bundle& b)
         {
             b.zones[1] = b.zones[0];
         }},
        {"departments[1].name",
         [](bundle& b)
         {
             b.departments[1].name = b.departments[0].name;
         }},
        {"departments[0].quota_slots",
         [](bundle& b)
         {
             b.departments[0].quota_slots = 401;
         }},
        {"departments[0].quota_slots",
         [](bundle& b)
         {
             b.departments[0].quota_slots = 0;
         }},
        {"departments[1].callers[0].token_sha256",
         [](bundle& b)
         {
             b.departments[1].callers[0].token_sha256 =
                 b.departments[0].callers[0].token_sha256;
         }},
        {"operators[2].token_sha256",
         [](bundle& b)
         {
             b.operators[2].token_sha256 =
                 b.departments[0].callers[0].token_sha256;
         }},
        {"pools",
         [](bundle& b)
         {
             for (auto& entry : b.pools)
                 entry.spare = false;
         }},
        {"pools",
         [](bundle& b)
         {
             b.pools[0].spare = true;
         }},
        {"pools[5]",
         [](bundle& b)
         {
             b.pools.push_back({base::pool_name("empty"), false});
         }},
        {"queues[0].pool",
         [](bundle& b)
         {
             b.queues[0].pool = base::pool_name("none");
         }},
        {"queues[0].department",
         [](bundle& b)
         {
             b.queues[0].department = base::department_name("none");
         }},
        {"queues[1].name",
         [](bundle& b)
         {
             b.queues[1].name = b.queues[0].name;
         }},
        {"workers[50].id",
         [](bundle& b)
         {
             b.workers.push_back(b.workers[0]);
             b.workers.back().pool = b.workers[1].pool;
             b.workers.back().address.port = 30000;
         }},
        {"workers[1].address",
         [](bundle& b)
         {
             b.workers[1].address = b.workers[0].address;
         }},
        {"workers[1].rack",
         [](bundle& b)
         {
             b.workers[1].rack = b.workers[0].rack;
         }},
        {"workers[1].zone",
         [](bundle& b)
         {
             b.workers[1].zone = base::zone_name("none");
             b.workers[1].rack = base::rack_name("none-r1");
         }},
        {"workers[1].slots",
         [](bundle& b)
         {
             b.workers[1].slots = 65;
         }},
        {"workers[1].size",
         [](bundle& b)
         {
             b.workers[1].size.cores = 0;
         }},
        {"budgets[0].min_workers",
         [](bundle& b)
         {
             b.budgets[0].min_workers = 7;
         }},
        {"budgets[0].pool",
         [](bundle& b)
         {
             b.budgets[0].pool = base::pool_name("none");
         }},
        {"budgets[1]",
         [](bundle& b)
         {
             b.budgets[1] = b.budgets[0];
         }},
        {"waves[0].period_s",
         [](bundle& b)
         {
             b.waves[0].period = config::worker_maintenance_time * 24;
         }},
        {"waves[0].pools[1]",
         [](bundle& b)
         {
             b.waves[0].pools[1] = b.waves[0].pools[0];
         }},
        {"operators",
         [](bundle& b)
         {
             b.operators.erase(b.operators.begin());
         }},
        {"operators",
         [](bundle& b)
         {
             b.operators[1].role = config::operator_role::author;
         }},
        {"operators[1].name",
         [](bundle& b)
         {
             b.operators[1].name = b.operators[0].name;
         }},
    };
    return cases;
}

bool reports(const bundle& value, std::string_view path)
{
    for (const auto& entry : config::check_bundle(value))
        if (entry.path == path)
            return true;
    return false;
}

} // namespace

TEST_CASE("each kind of inconsistency is reported at its path")
{
    const bundle good = config::load_bundle(example_text("cancha-quetzal"));
    for (std::size_t i = 0; i < broken_cases().size(); ++i)
    {
        CAPTURE(i);
        CAPTURE(broken_cases()[i].path);
        bundle broken = good;
        broken_cases()[i].change(broken);
        CHECK(reports(broken, broken_cases()[i].path));
    }
}

// Guards against faults that hide each other.
TEST_CASE("several inconsistencies are reported together")
{
    const bundle good = config::load_bundle(example_text("cancha-quetzal"));
    bundle broken = good;
    broken.weights.moves = 1;
    broken.queues[0].pool = base::pool_name("none");
    broken.budgets[0].min_workers = 7;
    broken.operators[1].role = config::operator_role::viewer;
    CHECK(config::check_bundle(broken).size() == 4);
}

// A budget is met exactly when enough workers remain after the loss of any
// one failure domain, counted here domain by domain.
TEST_CASE("the budget check agrees with the loss of each domain")
{
    const bundle good = config::load_bundle(example_text("kowhai"));
    CHECK(rc::check(
        "budgets",
        [&]
        {
            bundle value = good;
            config::budget& entry = value.budgets[0];
            entry.min_workers = *rc::gen::inRange<std::uint32_t>(0, 13);
            entry.survive = *rc::gen::element(config::failure_domain::none,
                                              config::failure_domain::rack,
                                              config::failure_domain::zone);
            entry.pool = (*rc::gen::elementOf(value.pools)).name;
            bool met = true;
            for (const config::worker& lost : value.workers)
            {
                std::uint32_t left = 0;
                for (const config::worker& w : value.workers)
                {
                    const bool gone =
                        (entry.survive == config::failure_domain::rack &&
                         w.rack == lost.rack) ||
                        (entry.survive == config::failure_domain::zone &&
                         w.zone == lost.zone);
                    left += w.pool == entry.pool && !gone ? 1 : 0;
                }
                met = met && left >= entry.min_workers;
            }
            RC_ASSERT(reports(value, "budgets[0].min_workers") != met);
        }));
}

TEST_CASE("loading an inconsistent bundle throws with every fault")
{
    bundle broken = config::load_bundle(example_text("kowhai"));
    broken.weights.moves = 1;
    broken.queues[0].pool = base::pool_name("none");
    std::string text;
    try
    {
        config::load_bundle(config::to_json(broken));
    }
    catch (const base::error& failure)
    {
        text = failure.what();
    }
    CHECK(text.find("weights: ") != std::string::npos);
    CHECK(text.find("queues[0].pool: ") != std::string::npos);
}
