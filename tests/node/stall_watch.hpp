#ifndef PIMENTOGRADE_TESTS_NODE_STALL_WATCH_HPP
#define PIMENTOGRADE_TESTS_NODE_STALL_WATCH_HPP

#include "base/time.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <ctime>

namespace pimentograde::node_tests
{

/// Measures for how long the machine did not run this thread although it had
/// work, as beside other load. Processor time that the thread used does not
/// count, so that slow code is not taken for a slow machine.
class stall_watch
{
public:
    stall_watch()
    {
        net::this_thread_io();
        fibers_.spawn([this] { run(); });
    }
    ~stall_watch()
    {
        is_over_ = true;
        fibers_.join();
    }
    stall_watch(const stall_watch&) = delete;
    stall_watch& operator=(const stall_watch&) = delete;

    [[nodiscard]] base::duration longest() const { return longest_; }
    /// Processor time of this thread.
    static base::duration used_time()
    {
        timespec value{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
        return std::chrono::seconds(value.tv_sec) +
               std::chrono::nanoseconds(value.tv_nsec);
    }

private:
    static constexpr base::duration interval = std::chrono::milliseconds{5};

    void run()
    {
        while (!is_over_)
        {
            const base::time_point due = base::steady_now() + interval;
            const base::duration used_before = used_time();
            boost::this_fiber::sleep_until(due);
            longest_ = std::max(longest_, base::steady_now() - due -
                                              (used_time() - used_before));
        }
    }

    base::duration longest_{};
    bool is_over_ = false;
    net::task_group fibers_;
};

/// Calls `play` until the thread was never stalled for longer than `limit`, and
/// returns that result. For tests whose course depends on a time that a stall
/// uses up. Fails when the machine does not run the thread in any attempt.
template <class Play>
auto play_without_stalls(base::duration limit, const Play& play)
{
    constexpr int max_attempts = 6;
    for (int attempt = 1;; ++attempt)
    {
        const stall_watch watch;
        auto result = play();
        if (watch.longest() <= limit)
            return result;
        MESSAGE("attempt " << attempt << ": stalled for "
                           << base::count_millis(watch.longest()) << " ms");
        REQUIRE(attempt < max_attempts);
    }
}

} // namespace pimentograde::node_tests

#endif
