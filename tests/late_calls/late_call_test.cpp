// Late calls that the owner of a pool does not wait for, see KNOWN-RED.txt.

#include "pools/late_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::late_tests;

// Guards against a task that is started elsewhere while its silent worker keeps
// its run: a poll has extended the lease there later than its owner believes.
TEST_CASE("a run whose lease a late poll has extended is not started again")
{
    late_pool all(4s, 4s);
    auto& worker = all.platform.worker("w1");
    all.submit();
    REQUIRE(eventually([&] { return worker.running_count() == 1; }, 3s));
    const auto began = base::steady_now();
    // The owner polls, and knows the worker's clock.
    boost::this_fiber::sleep_for(300ms);
    worker.late.next_polls = 1;
    worker.late.from = worker.late.to = 2500ms;
    worker.late.is_time_counted_anew = true;
    REQUIRE(eventually([&] { return worker.late_count == 1; }, 3s));
    worker.is_silent = true;
    all.add_worker("w2");
    all.list_workers();
    all.check_until_completed(began + 6s);
}

// Guards against the same if the poll is the first one that extends the lease
// and gets no answer in its pool.
TEST_CASE("a run whose lease the first late extension has extended is not "
          "started again")
{
    late_pool all(4s, 4s);
    auto& worker = all.platform.worker("w1");
    all.submit();
    REQUIRE(eventually([&] { return worker.running_count() == 1; }, 3s));
    const auto began = base::steady_now();
    // The owner extends the lease, which it does again before that ends.
    boost::this_fiber::sleep_for(300ms);
    worker.late.next_extensions = 1;
    worker.late.from = worker.late.to = 2300ms;
    worker.late.is_time_counted_anew = true;
    REQUIRE(eventually([&] { return worker.late_count == 1; }, 3s));
    worker.is_silent = true;
    all.add_worker("w2");
    all.list_workers();
    all.check_until_completed(began + 6s);
}

// Guards against a second start at the same worker beside an order that may
// still arrive: the worker starts again after the end, and carries out the
// first order before anyone has asked it.
TEST_CASE("a late start does not arrive after the end of a later run at its "
          "worker")
{
    late_pool all;
    const auto ordered = all.submit_late(5s, false);
    auto& worker = all.platform.worker("w1");
    const auto is_acknowledged = [&]
    {
        worker.refresh();
        return !worker.records.empty() && worker.records[0].acknowledged;
    };
    // An owner that waits for the order starts nothing here.
    eventually(is_acknowledged, 3500ms);
    worker.is_silent = true;
    worker.restart();
    all.check_until_completed(ordered + 5300ms);
}
