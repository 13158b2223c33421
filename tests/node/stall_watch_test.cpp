#include "net/io_scheduler.hpp"
#include "node/stall_watch.hpp"

#include <thread>

using namespace pimentograde;
using namespace pimentograde::node_tests;
using namespace std::chrono_literals;

// Guards against a stalled thread whose results are taken for the product's.
TEST_CASE("a result of a stalled thread is not used")
{
    net::this_thread_io();
    int attempts = 0;
    const int result =
        play_without_stalls(100ms,
                            [&]
                            {
                                boost::this_fiber::sleep_for(20ms);
                                if (++attempts == 1)
                                    std::this_thread::sleep_for(400ms);
                                boost::this_fiber::sleep_for(20ms);
                                return attempts;
                            });
    CHECK(result >= 2);
}

// Guards against slow code of the product that is excused as a slow machine.
TEST_CASE("a thread that computes is not stalled")
{
    net::this_thread_io();
    const base::time_point begin = base::steady_now();
    const base::duration used_before = stall_watch::used_time();
    base::duration longest{};
    {
        const stall_watch watch;
        boost::this_fiber::sleep_for(20ms);
        while (stall_watch::used_time() - used_before < 300ms)
        {
        }
        boost::this_fiber::sleep_for(20ms);
        longest = watch.longest();
    }
    // All time in which the thread did not run, wanted or not.
    CHECK(longest <= base::steady_now() - begin -
                         (stall_watch::used_time() - used_before));
}
