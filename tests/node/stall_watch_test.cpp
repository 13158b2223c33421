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
                                    std::this_thread::sleep_for(300ms);
                                boost::this_fiber::sleep_for(20ms);
                                return attempts;
                            });
    CHECK(result >= 2);
}

// Guards against slow code of the product that is excused as a slow machine.
TEST_CASE("a thread that computes is not stalled")
{
    net::this_thread_io();
    const bool was_excused = play_without_stalls(
        150ms,
        []
        {
            const stall_watch watch;
            boost::this_fiber::sleep_for(20ms);
            const std::clock_t begin = std::clock();
            while (std::clock() - begin < CLOCKS_PER_SEC * 3 / 10)
            {
            }
            boost::this_fiber::sleep_for(20ms);
            return watch.longest() > 250ms;
        });
    CHECK_FALSE(was_excused);
}
