// A pool owner whose orders take effect late, at workers that are silent or
// start again meanwhile.

#include "pools/late_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::late_tests;

// Guards against a task that is started elsewhere when the lease of its silent
// worker has lapsed, while its start order may still arrive there.
TEST_CASE("a late start at a silent worker is not carried out after an end")
{
    late_pool all;
    const auto ordered = all.submit_late(3500ms, true);
    all.platform.worker("w1").is_silent = true;
    all.add_worker("w2");
    all.list_workers();
    all.check_until_completed(ordered + 3800ms);
}

// Guards against the same when the worker starts again behind its silence: on
// its new clock the order's time is not over.
TEST_CASE("a late start at the next incarnation is not carried out after an "
          "end")
{
    late_pool all;
    const auto ordered = all.submit_late(3500ms, false);
    all.platform.worker("w1").is_silent = true;
    all.add_worker("w2");
    all.list_workers();
    boost::this_fiber::sleep_for(1s);
    all.platform.worker("w1").restart();
    all.check_until_completed(ordered + 3800ms);
}

// Guards against a task that is started elsewhere because the connection of its
// start order was cut: the order takes effect at the worker's next incarnation,
// which knows nothing of the stop.
TEST_CASE("a start whose connection was cut is not carried out after an end")
{
    late_pool all;
    auto& worker = all.platform.worker("w1");
    worker.late.cut = 100;
    const auto ordered = all.submit_late(3500ms, false);
    REQUIRE(eventually([&] { return worker.stops == 1; }, 3s));
    // The entry of the worker is missing for a while.
    all.listed.clear();
    all.add_worker("w2");
    all.list_workers();
    REQUIRE(eventually(
        [&]
        {
            const auto* job = all.owner->state().find_job(id_a);
            return !job->steps[0].tasks[0].active;
        },
        2s));
    worker.restart();
    worker.is_silent = true;
    all.listed.emplace_back("w1");
    all.check_until_completed(ordered + 3800ms);
}

// Guards against a next owner that starts the task elsewhere once the lease
// that was left of the silent worker has lapsed.
TEST_CASE("a late start outlives an owner that ends in order")
{
    late_pool all;
    const auto ordered = all.submit_late(4500ms, false);
    all.platform.worker("w1").is_silent = true;
    all.platform.worker("w1").restart();
    all.add_worker("w2");
    boost::this_fiber::sleep_for(600ms);
    all.hand_over();
    all.check_until_completed(ordered + 4800ms);
}

// Guards against a roster that names no start without an answer once its owner
// has given up the silent worker.
TEST_CASE("a late start outlives an owner that has seen the lease lapse")
{
    late_pool all;
    const auto ordered = all.submit_late(4500ms, false);
    all.platform.worker("w1").is_silent = true;
    all.platform.worker("w1").restart();
    boost::this_fiber::sleep_for(2700ms);
    all.add_worker("w2");
    all.hand_over();
    all.check_until_completed(ordered + 4800ms);
}

// Guards against a next owner that knows nothing of the start, and waits for no
// longer than the lease of the silent worker may last.
TEST_CASE("a late start outlives an owner that is killed")
{
    late_pool all;
    const auto ordered = all.submit_late(10'500ms, false);
    all.platform.worker("w1").is_silent = true;
    all.platform.worker("w1").restart();
    all.add_worker("w2");
    boost::this_fiber::sleep_for(600ms);
    all.kill_owner();
    all.check_until_completed(ordered + 10'800ms);
}

// Guards against an end that the next incarnation of a worker forgets unread,
// because a poll that acknowledges an end of the previous one takes effect
// late.
TEST_CASE("a late acknowledgement does not reach ends of the next incarnation")
{
    late_pool all;
    auto& worker = all.platform.worker("w1");
    worker.late.next_acknowledgements = 1;
    worker.late.from = worker.late.to = 3s;
    all.submit();
    REQUIRE(eventually([&] { return worker.late_count == 1; }, 3s));
    const auto sent = base::steady_now();
    worker.restart();
    all.list_workers();
    boost::this_fiber::sleep_for(2300ms);
    all.submit(id_b);
    // An owner that waits for the poll starts nothing here. Otherwise the
    // worker's answers are lost from the start on until the poll has taken
    // effect.
    eventually([&] { return worker.running_count() == 1; }, 2s);
    auto& way = all.platform.way_to("w1");
    way.holds_answers = worker.running_count() == 1;
    eventually([&] { return worker.late_pending == 0; }, 4s);
    boost::this_fiber::sleep_for(100ms);
    if (way.holds_answers)
        way.cut();
    way.holds_answers = false;
    all.check_until_completed(sent, id_b);
}

// Guards against the same when the poll was sent before a start that takes
// effect late, too, and both reach the next incarnation.
TEST_CASE("an acknowledgement sent before a late start hides no end of it")
{
    constexpr auto poll_delay = 6s;
    for (const int cut_percentage : {0, 100})
    {
        CAPTURE(cut_percentage);
        late_pool all;
        auto& worker = all.platform.worker("w1");
        worker.late.next_acknowledgements = 1;
        worker.late.from = worker.late.to = poll_delay;
        worker.late.cut = cut_percentage;
        all.submit();
        REQUIRE(eventually([&] { return worker.late_count == 1; }, 3s));
        const auto arrives_at = base::steady_now() + poll_delay;
        REQUIRE(eventually([&] { return all.accepts_starts("w1"); }, 4s));
        // The end must not lapse before the poll arrives.
        worker.late.cut = 0;
        worker.late.next_starts = 1;
        worker.late.from = worker.late.to =
            arrives_at - base::steady_now() - 700ms;
        all.submit(id_b);
        REQUIRE(eventually([&] { return worker.late_count == 2; }, 500ms));
        worker.is_silent = true;
        worker.restart();
        all.check_until_completed(arrives_at + 300ms, id_b);
        CHECK(all.platform.completions_of(id_b + ".0.0.0") == 1);
    }
}
