// Submissions that nobody can decide on, since neither the pool's owner nor the
// store answers. An earlier call with the same job may have handed it in.

#include "node/cluster.hpp"
#include "node/forwarded_jobs.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against a refusal of a job that has been accepted or may have been,
// and against an unknown outcome for one that nobody can have handed in.
TEST_CASE("only jobs that no instance has forwarded are refused unasked")
{
    cluster all(3);
    const std::size_t owner = all.owner();
    REQUIRE(owner < 3);
    const entry& forwarder = *all.entries[(owner + 1) % 3];
    const entry& asked = *all.entries[(owner + 2) % 3];
    REQUIRE(all.client.submit(forwarder, id_a, lasting) == 200);
    // The pool has no owner for as long as the last write takes.
    all.platform.store.faults.commit_delay = 1500ms;
    net::task_group stopping;
    stopping.spawn([&] { all.entries[owner]->instance->stop(); });
    boost::this_fiber::sleep_for(200ms);
    all.platform.store.faults.answer_delay = 600ms;
    CHECK(all.client.submit(asked, id_a, lasting) == 504);
    CHECK(all.client.submit(forwarder, id_a, lasting) == 200);
    const base::time_point begin = base::steady_now();
    CHECK(all.client.submit(asked, id_b, one_task) == 503);
    CHECK(base::steady_now() - begin < 400ms);
    all.platform.store.faults.answer_delay = {};
    all.platform.store.faults.commit_delay = {};
    stopping.join();
    all.entries[owner].reset();
    CHECK(eventually(
        [&] { return all.client.submit(asked, id_a, lasting) == 200; }));
    // The earlier owner may have ended before it has started the task.
    const auto starts = [&]
    {
        return all.platform.starts_of(id_a + ".0.0.0");
    };
    CHECK(eventually([&] { return starts() > 0; }));
    boost::this_fiber::sleep_for(300ms);
    CHECK(starts() == 1);
}

// Guards against a refusal of a job that an instance has forwarded which does
// not answer any more.
TEST_CASE("a job that a silent instance may have forwarded is not refused")
{
    cluster all(0);
    const std::string address =
        "127.0.0.1:" + std::to_string(test_ports::of_this_process().reserve(1));
    all.platform.store.put("pimentograde/member/gone",
                           R"({"zone":"z","cores":1,"address":")" + address +
                               "\"}");
    all.platform.store.put("pimentograde/role/pool/pool",
                           R"({"node":"gone","incarnation":1,"address":")" +
                               address + "\"}");
    all.entries.push_back(std::make_unique<entry>(all.platform, "e0"));
    const entry& only = *all.entries[0];
    REQUIRE(eventually([&] { return only.instance->is_ready(); }));
    REQUIRE(eventually(
        [&] { return all.client.submit(only, id_a, one_task) == 503; }));
    // Its record cannot be read.
    const std::string odd = "00000000000000cc";
    all.platform.store.put("pimentograde-jobs/pool/" + odd, "?");
    CHECK(all.client.submit(only, odd, one_task) == 504);
    all.platform.store.faults.is_silent = true;
    CHECK(all.client.submit(only, id_b, one_task) == 504);
    all.platform.store.faults.is_silent = false;
}

TEST_CASE("an instance knows what it has forwarded, and since when")
{
    using node::forwarded_jobs;
    const base::time_point start{1h};
    const base::time_point later = start + forwarded_jobs::retention;
    CHECK(forwarded_jobs(false, start).is_complete(start));
    forwarded_jobs known(true, start);
    CHECK_FALSE(known.is_complete(later - 1ms));
    CHECK(known.is_complete(later));
    known.note_forwarded("pool", id_a, later);
    known.note_forwarded("pool", id_a, later + 1s);
    CHECK_FALSE(known.contains("other", id_a, later));
    // One of the two calls may still have handed the job in.
    known.note_refused("pool", id_a);
    CHECK(known.contains("pool", id_a, later + 1s));
    known.note_refused("pool", id_a);
    CHECK_FALSE(known.contains("pool", id_a, later + 1s));
    known.note_forwarded("pool", id_b, later);
    CHECK_FALSE(known.is_accepted("pool", id_b, "t", later));
    known.note_accepted("pool", id_b, "t");
    CHECK(known.is_accepted("pool", id_b, "t", later));
    CHECK_FALSE(known.is_accepted("pool", id_b, "other", later));
    CHECK_FALSE(
        known.contains("pool", id_b, later + forwarded_jobs::retention + 1ms));
    known.note_member_left("other", 7, later);
    CHECK_FALSE(known.is_complete(later + 1s));
    // Another process of that instance remembers nothing.
    known.note_member_present("other", 8);
    CHECK_FALSE(known.is_complete(later + 1s));
    known.note_member_present("other", 7);
    CHECK(known.is_complete(later + 1s));
    known.note_member_left("other", 7, later);
    CHECK(known.is_complete(later + forwarded_jobs::retention));
}

// Guards against a job that is taken for a new one, since the instance has
// forwarded more jobs than it can remember.
TEST_CASE("an instance knows when it has forgotten forwarded jobs")
{
    using node::forwarded_jobs;
    const base::time_point start{1h};
    forwarded_jobs known(false, start);
    for (std::size_t index = 0; index < forwarded_jobs::max_jobs; ++index)
        known.note_forwarded("pool", std::to_string(index), start);
    CHECK(known.is_complete(start));
    known.note_forwarded("pool", id_a, start);
    CHECK_FALSE(known.contains("pool", id_a, start));
    CHECK_FALSE(known.is_complete(start));
}
