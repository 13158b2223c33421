#include "jobs/tenant_shares.hpp"

#include "pool_fixture.hpp"
#include <doctest/doctest.h>

#include <set>

using namespace pimentograde;
using namespace pimentograde::tests;

namespace
{

tenant_shares make_shares(double weight)
{
    tenant_shares shares;
    const std::vector<tenant_policy> tenants{{"t", weight, {}}};
    shares.set_tenants(tenants);
    return shares;
}

// Jobs within the share of those sent at `rate` per second for `length`.
int count_within(tenant_shares& shares, double rate, base::duration length)
{
    const base::time_point start(100s);
    const double seconds = base::count_seconds(length);
    int within = 0;
    for (int index = 0; index < static_cast<int>(rate * seconds); ++index)
        within += shares.take("t", std::to_string(index),
                              start + index * length /
                                          static_cast<int>(rate * seconds)) ==
                          share_use::within
                      ? 1
                      : 0;
    return within;
}

/// A pool of 8 cores that is full, with the tenants "loud" (empty bucket) and
/// "calm".
struct full_pool : pool_fixture
{
    full_pool() : pool_fixture({describe("w")})
    {
        const std::vector<tenant_policy> tenants{{"loud", 1.0, {}},
                                                 {"calm", 1.0, {}}};
        state.set_tenants(tenants);
        // Six tokens, and one excess job in free capacity.
        for (int index = 0; index < 7; ++index)
        {
            const auto answer = send("first" + std::to_string(index), "loud",
                                     index == 0 ? 2 : 1);
            REQUIRE(answer.outcome == submit_result::kind::accepted);
            const auto orders = plan_and_start();
            REQUIRE_FALSE(orders.empty());
            first = index == 1 ? orders[0] : first;
        }
    }
    start_order first;
    submit_result send(const std::string& id, std::string_view tenant,
                       int tasks = 1)
    {
        auto answer = state.submit(id, make_job({make_step(tasks)}), "queue",
                                   now, wall, tenant);
        store();
        return answer;
    }
};

} // namespace

// Guards against a bucket that refuses what is sent at the weight, or lets
// more than the weight through over a long time.
TEST_CASE("a share is the weight, and a second of it at once")
{
    tenant_shares shares = make_shares(10.0);
    CHECK(count_within(shares, 10.0, 60s) == 600);
    shares = make_shares(10.0);
    const int within = count_within(shares, 70.0, 60s);
    CHECK(within >= 600);
    CHECK(within <= 611);
    shares = make_shares(0.1);
    CHECK(count_within(shares, 20.0, 1s) == 6);
}

// Guards against treating a tenant that the owner does not know yet, or one
// without a weight, as one that may send nothing.
TEST_CASE("jobs without a share to exceed are within it")
{
    tenant_shares shares = make_shares(0.0);
    CHECK(count_within(shares, 100.0, 1s) == 100);
    CHECK(shares.take("other", "a", base::time_point(1s)) == share_use::within);
    CHECK(shares.take("", "a", base::time_point(1s)) == share_use::within);
}

// Guards against full buckets after each change of the configuration, and
// against tokens beyond the depth of a lowered weight.
TEST_CASE("tokens outlast a change of the configuration")
{
    tenant_shares shares = make_shares(10.0);
    CHECK(count_within(shares, 1000.0, 20ms) == 10);
    const std::vector<tenant_policy> tenants{{"t", 10.0, {}}, {"u", 1.0, {}}};
    shares.set_tenants(tenants);
    CHECK(shares.take("t", "x", base::time_point(100s)) == share_use::excess);
}

// Guards against a second token for a job that was refused for the backlog or
// withdrawn, and against returns that take the tokens of new jobs.
TEST_CASE("a refused job that returns counts once")
{
    tenant_shares shares = make_shares(1.0);
    base::time_point now(100s);
    for (const char* id : {"a", "b", "c", "d", "e", "e2"})
        CHECK(shares.take("t", id, now) == share_use::within);
    shares.note_refused("t", "a", false, now);
    CHECK(shares.take("t", "a", now) == share_use::within);
    CHECK(shares.take("t", "f", now) == share_use::excess);
    shares.note_refused("t", "f", true, now);
    // One token is kept for a new job; a bucket that is nearly full is not.
    now += 1100ms;
    CHECK(shares.take("t", "f", now) == share_use::excess);
    CHECK(shares.take("t", "g", now) == share_use::within);
    now += 5800ms;
    CHECK(shares.take("t", "f", now) == share_use::within);
    // Long after its refusal it is a new job.
    now += 60s;
    for (const char* id : {"h", "i", "j", "k", "l", "a"})
        CHECK(shares.take("t", id, now) == share_use::within);
    CHECK(shares.take("t", "m", now) == share_use::excess);
}

// Guards against callers that are refused together and return together.
TEST_CASE("the returns of refused excess jobs are spread")
{
    const base::time_point now(100s);
    for (const auto& [weight, shortest] :
         std::vector<std::pair<double, base::duration>>{
             {0.1, 1s}, {2.0, 1s}, {20.0, 1s}, {2.0, 19s}})
    {
        tenant_shares shares = make_shares(weight);
        while (shares.take("t", "x", now) == share_use::within)
        {
        }
        std::map<std::int64_t, int> returns;
        for (int index = 0; index < 200; ++index)
        {
            const auto delay = shares.return_delay("t", shortest, now);
            CHECK(delay >= 1s);
            CHECK(delay <= 20s);
            ++returns[std::chrono::ceil<std::chrono::seconds>(delay).count()];
        }
        CAPTURE(weight);
        for (const auto& [second, count] : returns)
            CHECK(count <= (shortest > 10s ? 50 : 40));
    }
}

// Guards against excess jobs that queue up, and against refusing a quiet tenant
// for the excess of another one.
TEST_CASE("a full pool refuses excess jobs and accepts jobs within the share")
{
    full_pool pool;
    const auto loud = pool.send("more", "loud");
    CHECK(loud.outcome == submit_result::kind::refused);
    CHECK(loud.is_excess);
    CHECK(loud.admission.exceeds_share);
    CHECK(loud.admission.retry_after >= 1s);
    CHECK(loud.admission.retry_after <= 20s);
    const auto calm = pool.send("calm", "calm");
    CHECK(calm.outcome == submit_result::kind::accepted);
    CHECK_FALSE(calm.is_excess);
}

// Guards against a `Retry-After` that is of no use: the objective of a job that
// returns after it counted from its first submission, so it was refused while
// any work was open.
TEST_CASE("a refused excess job is accepted when it returns to free capacity")
{
    full_pool pool;
    REQUIRE(pool.send("more", "loud").admission.exceeds_share);
    pool.now += 5s;
    pool.report("w", ended(pool.first, end_kind::done));
    REQUIRE(pool.state.backlog() > 0.0);
    CHECK(pool.send("more", "loud").outcome == submit_result::kind::accepted);
}

// Guards against a restored job that is ranked by what an earlier owner
// counted: the new owner begins with full buckets.
TEST_CASE("a restored job counts as within the share")
{
    full_pool pool;
    REQUIRE(pool.state.find_job("first6")->is_excess);
    pool.state.restore(
        decode_record("first6", encode_record(*pool.state.find_job("first6"))),
        pool.now, wall);
    CHECK_FALSE(pool.state.find_job("first6")->is_excess);
}

// Guards against an order in which the excess of one tenant starts before the
// jobs of others, and against late jobs before those in time.
TEST_CASE("jobs within the share go before excess jobs")
{
    job_rank within;
    job_rank excess;
    excess.is_excess = true;
    excess.priority = -1;
    excess.yield = 10.0;
    CHECK(within.goes_before(excess));
    CHECK_FALSE(excess.goes_before(within));
    within.can_meet_objective = false;
    CHECK(excess.goes_before(within));
    excess.is_long_running = true;
    CHECK(excess.goes_before(within));
}

// Guards against a weighted order that counts tenants without jobs, or jobs
// without a tenant.
TEST_CASE("a tenant's part of a pool follows its weight")
{
    weighted_use use;
    use.add("heavy", 3.0, 6000);
    use.add("light", 1.0, 1000);
    use.add("light", 1.0, 2000);
    CHECK_FALSE(use.is_above_part("heavy"));
    CHECK(use.is_above_part("light"));
    CHECK_FALSE(use.is_above_part("absent"));
    CHECK_FALSE(use.is_above_part(""));
}
