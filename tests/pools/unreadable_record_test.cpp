// A job whose record the owner of its pool cannot read.

#include "pools/contested_pool.hpp"
#include "pools/job_writer.hpp"
#include "pools/owned_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against a job that runs a second time: its record could not be read,
// so the same request was taken for a new job and replaced the record.
TEST_CASE("a job whose record cannot be read is not taken anew")
{
    const std::string key = pools::record_prefix("pool") + id_a;
    const std::string record = R"({"queue":"queue","status":0,"progress":7})";
    owned_pool all(std::vector<std::string>{"w0"}, 50ms, 1500ms,
                   {{key, record}});
    CHECK_FALSE(all.submit_one_task());
    CHECK(all.submit_one_task(id_b));
    REQUIRE(eventually([&] { return all.is_completed(id_b); }, 3s));
    CHECK(all.starts() == 0);
    CHECK(all.platform.store.value_of(key) == record);
    using kind = pools::job_answer::kind;
    CHECK(all.owner->status(id_a).outcome == kind::unavailable);
    CHECK(all.owner->cancel(id_a, base::steady_now() + 1s).outcome ==
          kind::unavailable);
}

// Guards against a task that runs again after its end: an owner that could not
// read the record, for example of an earlier version, stopped its run as one of
// an unknown job and acknowledged the end.
TEST_CASE("the runs of a job whose record cannot be read are kept")
{
    contested_pool pool;
    auto& worker = pool.add_worker("w1", 1200ms);
    claimant& first = pool.take_over({"w1"});
    REQUIRE(eventually([&] { return first.accepts_starts("w1"); }));
    REQUIRE(first.submit(id_a, 1));
    REQUIRE(eventually([&] { return worker.running_count() == 1; }));
    first.owner->quiesce();
    const std::string key = pools::record_prefix("pool") + id_a;
    const std::string record = pool.platform.store.value_of(key);
    pool.platform.store.put(key, R"({"queue":"queue","status":0})");
    claimant& second = pool.take_over({"w1"});
    const auto heard = [&]
    {
        const auto found = second.owner->state().workers().find("w1");
        return found != second.owner->state().workers().end() &&
               found->second.knowledge.has_reported();
    };
    REQUIRE(eventually(heard, 3s));
    REQUIRE(eventually([&] { return worker.running_count() == 0; }, 3s));
    boost::this_fiber::sleep_for(700ms);
    CHECK_FALSE(second.owner->release_worker("w1", 2500ms));
    second.owner->quiesce();
    pool.platform.store.put(key, record);
    claimant& third = pool.take_over({"w1"});
    CHECK(eventually([&] { return third.is_completed(id_a); }, 5s));
    CHECK(pool.platform.starts_of(id_a + ".0.0.0") == 1);
}
