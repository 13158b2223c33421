// Previews of where a job would go, without submitting it.

#include "jobs/pool_fixture.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace pimentograde::tests;

namespace
{

worker_description on_rack(const std::string& id, const std::string& rack)
{
    worker_description worker = describe(id);
    worker.labels = {"a", rack};
    return worker;
}

} // namespace

// Guards against a preview that tells operators something else than what the
// planner does with the same job.
TEST_CASE("the previewed worker is the one that the planner chooses")
{
    pool_fixture pool({on_rack("w0", "r1"), on_rack("w1", "r2")});
    step_spec part = make_step(1);
    part.data_rack = "r2";
    const job_spec spec = make_job({part});
    const job_preview preview =
        pool.state.preview(spec, "queue", {}, pool.now, wall);
    REQUIRE(preview.steps.size() == 1);
    CHECK(preview.admission.is_accepted);
    CHECK(preview.steps[0].worker == "w1");
    CHECK(preview.steps[0].rack == "r2");
    CHECK(preview.steps[0].reason == "on the rack of its data");
    CHECK(pool.state.job_count() == 0);
    pool.submit("j", spec);
    const auto orders = pool.plan();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].worker == preview.steps[0].worker);
}

TEST_CASE("a preview tells why no worker fits and which step waits")
{
    pool_fixture pool({on_rack("w0", "r1")});
    step_spec labelled = make_step(1);
    labelled.required_label = "gpu";
    step_spec large = make_step(1, 1'000'000);
    step_spec later = make_step(1);
    later.after = {0};
    const job_preview preview = pool.state.preview(
        make_job({labelled, large, later}), "queue", {}, pool.now, wall);
    REQUIRE(preview.steps.size() == 3);
    CHECK(preview.steps[0].reason == "no worker fits: 1 without the label");
    CHECK(preview.steps[1].reason == "no worker fits: 1 no room");
    CHECK(preview.steps[2].reason == "starts after step 0");
}

// Guards against a preview that reserves room or uses up a tenant's share.
TEST_CASE("previews change nothing")
{
    pool_fixture pool({on_rack("w0", "r1")});
    pool.state.set_tenants(
        std::vector<tenant_policy>{{"t", 0.001, resource_amount{}}});
    const job_spec spec = make_job({make_step(3)});
    for (int round = 0; round < 50; ++round)
    {
        const job_preview preview =
            pool.state.preview(spec, "queue", "t", pool.now, wall);
        CHECK(preview.admission.is_accepted);
        CHECK(preview.steps[0].starting == 3);
    }
}
