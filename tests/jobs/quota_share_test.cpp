#include "jobs/pool_fixture.hpp"
#include "jobs/quota_share.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace std::chrono_literals;

namespace
{

constexpr const char* tenant = "t";
const resource_amount core{1000, 0, 0};

tenant_table with_cap(std::int64_t cores)
{
    return {{tenant, {tenant, 1.0, {cores * 1000, 0, 0}}}};
}

resource_amount cores(std::int64_t count)
{
    return {count * 1000, 0, 0};
}

/// One pool's part of a cap that is long known.
struct settled_share
{
    quota_share share{"here"};
    tenant_usage usage;
    base::time_point now{100s};
    int tasks = 0;

    explicit settled_share(std::int64_t cap, quota_record record = {})
    {
        share.set_tenants(with_cap(cap));
        share.decide(now, usage);
        now += 10s;
        store(std::move(record));
        share.decide(now, usage);
    }
    void store(quota_record record, std::int64_t revision = 1)
    {
        share.note_stored(tenant, revision, std::move(record), now);
    }
    void use(std::int64_t count)
    {
        for (; count > 0; --count)
            usage.begin_run("w", {{"j", 0, 0, tasks++}, tenant, core});
    }
    void wait(int count)
    {
        share.begin_plan(cores(100));
        if (count > 0)
            share.note_held_back(tenant, core, count);
    }
    quota_actions decide() { return share.decide(now, usage); }
    [[nodiscard]] bool may_start(const resource_amount& need = core,
                                 int count = 1) const
    {
        return share.may_start(tenant, usage, need, count);
    }
};

} // namespace

// Guards against starts on a grant that nobody has read.
TEST_CASE("nothing of a tenant starts before its grant is known")
{
    quota_share share("here");
    const tenant_usage usage;
    CHECK(share.may_start(tenant, usage, core, 1));
    share.set_tenants(with_cap(10));
    CHECK_FALSE(share.may_start(tenant, usage, core, 1));
    CHECK(share.may_start("another", usage, core, 1));
    const auto actions = share.decide(base::time_point(100s), usage);
    CHECK(actions.reads == std::vector<std::string>{tenant});
    CHECK(actions.writes.empty());
}

// Guards against a write for each task of a burst.
TEST_CASE("a grant is raised with headroom, and counts once it is stored")
{
    settled_share pool(20);
    pool.wait(4);
    const auto actions = pool.decide();
    REQUIRE(actions.writes.size() == 1);
    CHECK(actions.writes[0].grant_after.cpu_millis == 5250);
    CHECK_FALSE(pool.may_start());
    CHECK(pool.decide().writes.empty());
    pool.store(actions.writes[0].record, 2);
    CHECK(pool.may_start(core, 4));
    pool.use(5);
    CHECK_FALSE(pool.may_start());
}

// Guards against grants whose sum exceeds the cap, and against a pool that is
// short and says it to nobody.
TEST_CASE("a grant takes no more than the free part, and the rest is asked for")
{
    quota_record record;
    record.grants.emplace("there", cores(9));
    settled_share pool(10, record);
    pool.wait(4);
    const auto actions = pool.decide();
    REQUIRE(actions.writes.size() == 1);
    CHECK(actions.writes[0].grant_after == cores(1));
    CHECK(actions.writes[0].record.wanted.at("here") == cores(4));
}

// Guards against idle grants that starve another pool, and against giving up
// what running tasks use.
TEST_CASE("a pool gives up what it does not use when another one is short")
{
    quota_record record;
    record.grants.emplace("here", cores(10));
    record.wanted.emplace("there", cores(6));
    settled_share pool(10);
    pool.use(3);
    pool.now += 1s;
    pool.wait(0);
    pool.store(record, 2);
    const auto actions = pool.decide();
    REQUIRE(actions.writes.size() == 1);
    CHECK(actions.writes[0].grant_after == cores(3));
    // The reduction is in force before it is sent.
    CHECK_FALSE(pool.may_start());
}

// Guards against constant writes while demand alternates and the cap is free.
TEST_CASE("a grant that is idle stays while most of the cap is free")
{
    quota_record record;
    record.grants.emplace("here", cores(5));
    settled_share pool(20, record);
    pool.now += 2s;
    CHECK(pool.decide().writes.empty());
    pool.now += 4s;
    const auto actions = pool.decide();
    REQUIRE(actions.writes.size() == 1);
    CHECK(actions.writes[0].record.grants.empty());
}

// Guards against a reduction without an answer that takes effect after the pool
// has gone back to its earlier grant.
TEST_CASE("a reduction without an answer holds until its revision is replaced")
{
    quota_record record;
    record.grants.emplace("here", cores(10));
    record.wanted.emplace("there", cores(6));
    settled_share pool(10);
    pool.now += 1s;
    pool.store(record, 2);
    REQUIRE(pool.decide().writes.size() == 1);
    pool.share.note_unanswered(tenant, pool.now);
    pool.now += 1s;
    pool.store(record, 2);
    CHECK_FALSE(pool.may_start());
    // The next write settles it, whatever it says.
    record.wanted.clear();
    pool.wait(10);
    REQUIRE(pool.decide().writes.size() == 1);
    pool.store(record, 3);
    CHECK(pool.may_start());
}

// Guards against tasks that never start since they need more than the rest of
// the cap; only the pool that holds most of it may exceed it by one.
TEST_CASE("a task that is larger than the rest of the cap starts in one pool")
{
    quota_record record;
    record.grants.emplace("here", cores(4));
    settled_share most(4, record);
    most.use(2);
    CHECK(most.may_start(cores(3)));
    most.use(3);
    CHECK_FALSE(most.may_start());

    record.grants["here"] = cores(2);
    record.grants["there"] = cores(2);
    settled_share half(4, record);
    CHECK_FALSE(half.may_start(cores(3)));
}

// Guards against several pools that each start up to their share of a lowered
// cap while others still run more than theirs.
TEST_CASE("under a lowered cap a pool starts only what all grants leave")
{
    quota_record record;
    record.grants.emplace("here", cores(6));
    record.grants.emplace("there", cores(4));
    settled_share pool(10, record);
    CHECK(pool.may_start(core, 6));
    pool.share.set_tenants(with_cap(8));
    CHECK(pool.share.limit_of(tenant) == cores(4));
    pool.store(record, 1);
    CHECK(pool.share.limit_of(tenant) == cores(4));
    pool.share.set_tenants({});
    CHECK_FALSE(pool.share.is_active());
    CHECK(pool.may_start(core, 100));
}

// Guards against a new owner that starts beside tasks of which only the workers
// of the earlier one know.
TEST_CASE("workers that are not heard count up to the grant")
{
    quota_record record;
    record.grants.emplace("here", cores(10));
    settled_share pool(20, record);
    pool.usage.hide("w1", cores(8), pool.now + 5s);
    CHECK(pool.may_start(core, 2));
    CHECK_FALSE(pool.may_start(core, 3));
    pool.usage.hide("w2", cores(8), pool.now + 5s);
    CHECK_FALSE(pool.may_start());
    pool.usage.note_heard("w1");
    pool.usage.expire(pool.now + 5s);
    CHECK(pool.may_start(core, 10));
}

// Guards against a limit on the resource that a tenant's cap leaves open.
TEST_CASE("a cap limits only the resources that it names")
{
    quota_record record;
    record.grants.emplace("here", cores(4));
    settled_share pool(10, record);
    CHECK(pool.may_start({1000, 1'000'000, 8}, 4));
}

// Guards against stored grants that another version cannot read.
TEST_CASE("grants are stored and read unchanged")
{
    quota_record record;
    record.grants.emplace("a/b", resource_amount{1500, 20, 3});
    record.wanted.emplace("c", cores(2));
    CHECK(decode_quota(encode_quota(record)) == record);
    CHECK(decode_quota(R"({"grants":{},"more":1})") == quota_record{});
    CHECK_THROWS(decode_quota("[]"));
    CHECK_THROWS(decode_quota(R"({"grants":{"a":[1,2]}})"));
    CHECK_THROWS(decode_quota(R"({"grants":{"a":[-1,2,3]}})"));
}

// Guards against a tenant at its grant that holds back the jobs behind it, and
// against a gang that starts in part.
TEST_CASE("a tenant at its grant holds back only its own jobs")
{
    tests::pool_fixture pool({tests::describe("w0")});
    pool.state.set_tenants(std::vector{tenant_policy{tenant, 1.0, cores(6)}});
    quota_record record;
    record.grants.emplace("pool", cores(2));
    pool.state.quota().note_stored(tenant, 1, record, pool.now);
    const auto submit =
        [&](const std::string& id, bool is_gang, std::string_view of)
    {
        auto part = tests::make_step(3);
        part.is_gang = is_gang;
        pool.state.submit(id, tests::make_job({part}), "queue", pool.now,
                          tests::wall, of);
        pool.store();
    };
    submit("a", true, tenant);
    submit("b", false, tenant);
    submit("c", false, "");
    const auto orders = pool.plan_and_start();
    CHECK(orders.size() == 5);
    for (const auto& order : orders)
        CHECK(order.task.job != "a");
    CHECK(pool.state.usage().used_by(tenant).cpu_millis == 2000);
    // What waits is asked for: the gang and the third task, as far as there is
    // room.
    const auto actions =
        pool.state.quota().decide(pool.now, pool.state.usage());
    REQUIRE(actions.writes.size() == 1);
    CHECK(actions.writes[0].grant_after.cpu_millis > 4000);
}

// Guards against a new owner that does not count the workers which the roster
// names and which it has not heard: an earlier owner's tasks of the tenant may
// run there, and its late orders may still arrive after their leases.
TEST_CASE("a new owner counts the workers of the roster until it hears them")
{
    tests::pool_fixture pool({tests::describe("w1")});
    pool.state.set_tenants(std::vector{tenant_policy{tenant, 1.0, cores(20)}});
    quota_record record;
    record.grants.emplace("pool", cores(6));
    pool.state.quota().note_stored(tenant, 1, record, pool.now);
    pool.state.inherit_worker({tests::describe("w0"), true}, pool.now + 2s,
                              pool.now);
    pool.state.submit("a", tests::make_job({tests::make_step(2)}), "queue",
                      pool.now, tests::wall, tenant);
    pool.store();
    CHECK(pool.plan().empty());
    pool.now += 13s;
    CHECK(pool.plan().empty());
    SUBCASE("it is heard")
    {
        pool.report("w0", {});
        CHECK(pool.plan().size() == 2);
    }
    SUBCASE("no order can arrive any more")
    {
        pool.now += 1s;
        CHECK(pool.plan().size() == 2);
    }
}

// The bound of 5 us for the quota's part of a start, with many tenants, pools
// and workers.
TEST_CASE("the quota's part of a start costs less than 5 us")
{
    constexpr int rounds = 20'000;
    for (const auto& [tenants, workers] :
         {std::pair{20, 60}, {20, 400}, {210, 60}, {210, 400}})
    {
        quota_share share("p0");
        tenant_usage usage;
        tenant_table table;
        for (int index = 0; index < tenants; ++index)
        {
            const std::string name = "tenant-" + std::to_string(index);
            table.emplace(name, tenant_policy{name, 1.0, cores(100'000)});
        }
        share.set_tenants(table);
        const base::time_point now{100s};
        quota_record record;
        for (int index = 0; index < 280; ++index)
            record.grants.emplace("p" + std::to_string(index), cores(200));
        for (const auto& [name, policy] : table)
            share.note_stored(name, 1, record, now);
        const auto place_of = [&](int index)
        {
            return tenant_place{
                {"0123456789abcdef0123456789abcdef", 0, 0, index},
                "tenant-" + std::to_string(index % tenants),
                core};
        };
        const auto worker_of = [workers = workers](int index)
        {
            return "worker-" + std::to_string(index % workers);
        };
        for (int index = 0; index < workers * 8; ++index)
            usage.begin_run(worker_of(index), place_of(index));
        const auto begin = base::steady_now();
        int allowed = 0;
        for (int index = workers * 8; index < workers * 8 + rounds; ++index)
        {
            const tenant_place place = place_of(index);
            const std::string worker = worker_of(index);
            allowed += share.may_start(place.tenant, usage, core, 1) ? 1 : 0;
            usage.begin_run(worker, place);
            usage.end_run(worker, place.task);
        }
        const double start_us =
            base::count_seconds(base::steady_now() - begin) * 1e6 / rounds;
        const auto planned = base::steady_now();
        share.begin_plan(cores(100));
        usage.expire(now);
        const auto actions = share.decide(now, usage);
        const double plan_us =
            base::count_seconds(base::steady_now() - planned) * 1e6;
        // All pools are short of all tenants' caps.
        for (const auto& [pool, grant] : record.grants)
            record.wanted.emplace(pool, cores(400));
        for (const auto& [name, policy] : table)
        {
            share.note_stored(name, 2, record, now);
            share.note_held_back(name, core, 100);
        }
        const auto begun = base::steady_now();
        const auto contested = share.decide(now, usage);
        const double contested_us =
            base::count_seconds(base::steady_now() - begun) * 1e6;
        MESSAGE("all pools short: " << contested_us << " us, writes "
                                    << contested.writes.size());
        record.wanted.clear();
        MESSAGE(tenants << " tenants, " << workers << " workers: " << start_us
                        << " us a start, " << plan_us << " us a plan, allowed "
                        << allowed << ", reads " << actions.reads.size());
        CHECK(allowed > 0);
        CHECK(start_us < 5.0);
    }
}
