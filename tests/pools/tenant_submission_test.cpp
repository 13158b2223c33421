// Submissions of tenants at a pool's owner: answers and counters.

#include "pools/owned_pool.hpp"
#include "pools/tenant_counters.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against a number of time series that grows with the tenants.
TEST_CASE("tenants beyond the first 64 are counted together")
{
    metrics::registry registry;
    pools::tenant_counters counters(&registry);
    std::vector<jobs::tenant_policy> tenants;
    for (int index = 0; index < 100; ++index)
        tenants.push_back({"t" + std::to_string(100 + index), 1.0, {}});
    counters.set_tenants(tenants);
    counters.set_tenants(std::vector<jobs::tenant_policy>{{"new", 1.0, {}}});
    for (const auto& entry : tenants)
        counters.note_accepted(entry.name, true);
    counters.note_refused("new", false);
    counters.note_accepted("", true);
    const auto value = [&](const char* name, const char* tenant)
    {
        return registry.get_counter(name, metrics::label("tenant", tenant))
            .value();
    };
    CHECK(value("pimentograde_tenant_accepted_total", "t163") == 1);
    CHECK(value("pimentograde_tenant_excess_total", "t163") == 1);
    CHECK(value("pimentograde_tenant_accepted_total", "other") == 36);
    CHECK(value("pimentograde_tenant_refused_total", "other") == 1);
    CHECK(registry.expose().find("t164") == std::string::npos);
    pools::tenant_counters nowhere(nullptr);
    nowhere.set_tenants(tenants);
    nowhere.note_accepted("t100", true);
}

// Guards against an owner whose refusals do not say that the tenant's own load
// is the reason, and against refusing other tenants with it.
TEST_CASE("an owner refuses the excess of one tenant and tells why")
{
    const std::vector<std::string> ids{"w1"};
    owned_pool pool(ids, 3s);
    const std::vector<jobs::tenant_policy> tenants{{"loud", 0.1, {}},
                                                   {"calm", 0.1, {}}};
    pool.owner->set_tenants(tenants);
    const auto submit = [&](int number, std::string_view tenant)
    {
        jobs::job_spec spec;
        spec.payload = "s";
        spec.steps.resize(1);
        spec.steps[0].need = {1000, 10, 0};
        spec.steps[0].estimate = 50ms;
        std::string id = std::to_string(number);
        id.insert(0, 16 - id.size(), '0');
        return pool.owner->submit(id, spec, "queue", base::steady_now() + 2s,
                                  pools::admission::all_jobs, tenant);
    };
    pools::submission_answer answer;
    int accepted = 0;
    for (; accepted < 100; ++accepted)
    {
        answer = submit(accepted, "loud");
        if (answer.outcome != pools::submission_answer::kind::accepted)
            break;
    }
    CHECK(accepted >= 6);
    CHECK(answer.outcome == pools::submission_answer::kind::refused);
    CHECK(answer.reason == "the tenant exceeds its share");
    CHECK(answer.retry_after >= 1s);
    CHECK(submit(200, "calm").outcome ==
          pools::submission_answer::kind::accepted);
    const auto value = [&](const char* name, const char* tenant)
    {
        return pool.counters.get_counter(name, metrics::label("tenant", tenant))
            .value();
    };
    CHECK(value("pimentograde_tenant_refused_total", "loud") == 1);
    CHECK(value("pimentograde_tenant_accepted_total", "loud") ==
          static_cast<std::uint64_t>(accepted));
    CHECK(value("pimentograde_tenant_excess_total", "loud") ==
          static_cast<std::uint64_t>(accepted - 6 + 1));
    CHECK(value("pimentograde_tenant_accepted_total", "calm") == 1);
}
