#include "slots/simulated_time.hpp"

#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <optional>
#include <thread>

namespace pimentograde::tests
{

namespace
{

using steady_clock = std::chrono::steady_clock;

constexpr std::chrono::hours start_of_time{1};
constexpr std::chrono::microseconds time_of_a_reading{1};

/// Empty in threads with real time.
thread_local std::optional<steady_clock::time_point> simulated_now;

class simulated_scheduler : public boost::fibers::algo::round_robin
{
public:
    explicit simulated_scheduler(std::function<void()> on_stuck)
        : on_stuck_(std::move(on_stuck))
    {
    }

    void
    suspend_until(const steady_clock::time_point& deadline) noexcept override
    {
        if (deadline == (steady_clock::time_point::max)())
        {
            on_stuck_();
            std::abort();
        }
        simulated_now = std::max(*simulated_now, deadline);
    }

    void notify() noexcept override {}

private:
    std::function<void()> on_stuck_;
};

} // namespace

void run_in_simulated_time(const std::function<void()>& body,
                           const std::function<void()>& on_stuck)
{
    std::thread(
        [&]
        {
            simulated_now = steady_clock::time_point(start_of_time);
            boost::fibers::use_scheduling_algorithm<simulated_scheduler>(
                on_stuck);
            body();
        })
        .join();
}

} // namespace pimentograde::tests

// Replaces the definition of the standard library in this test binary, so that
// the timers of fibers follow the simulated clock too.
std::chrono::steady_clock::time_point
std::chrono::_V2::steady_clock::now() noexcept
{
    auto& simulated = pimentograde::tests::simulated_now;
    if (simulated)
        return *simulated += pimentograde::tests::time_of_a_reading;
    timespec value{};
    clock_gettime(CLOCK_MONOTONIC, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}
