#ifndef PIMENTOGRADE_BASE_TIME_HPP
#define PIMENTOGRADE_BASE_TIME_HPP

#include <chrono>
#include <cstdint>
#include <ctime>

namespace pimentograde::base
{

/// Length of time, in nanoseconds.
using duration = std::chrono::nanoseconds;

/// A moment on the steady clock. Not comparable between processes.
using time_point = std::chrono::steady_clock::time_point;

/// A moment on the system clock, for values that are stored or sent.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Reads the steady clock. Deciding functions take the result as an argument.
inline time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

/// Reads the clock that also runs while the machine is suspended. Only for the
/// age of leases that others count in real time.
inline time_point suspend_aware_now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

/// Reads the system clock. Deciding functions take the result as an argument.
inline wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

/// Milliseconds since the epoch.
inline std::int64_t to_millis(wall_time moment)
{
    return moment.time_since_epoch().count();
}

/// Inverse of `to_millis`.
inline wall_time from_millis(std::int64_t millis)
{
    return wall_time{std::chrono::milliseconds{millis}};
}

/// Whole milliseconds of `length`, rounded towards zero.
inline std::int64_t count_millis(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

/// Seconds of `length`.
inline double count_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace pimentograde::base

#endif
