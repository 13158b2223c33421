#ifndef PIMENTOGRADE_POOLS_OWNERSHIP_TIMES_HPP
#define PIMENTOGRADE_POOLS_OWNERSHIP_TIMES_HPP

#include "base/time.hpp"

#include <algorithm>
#include <cstdint>

/// How long an owner of a pool may act without the store, and for how long the
/// next one allows for it. On a common time line:
/// - The earlier owner sends its last renewal at 0. Its lease at the store
///   counts from the renewal's arrival, so its role is free at `role_lease` at
///   the earliest.
/// - It sends its last order, or extension, before `max_ordering_time`.
/// - The next owner loads the pool after its claim, and waits for
///   `unheard_worker_lease` from then on for workers that it has not heard.
namespace pimentograde::pools
{

/// Lease of an instance at the store, under which it holds its roles. It allows
/// for store responses that take 250 ms and for one lost renewal.
inline constexpr std::chrono::milliseconds role_lease{2500};
/// Orders may be sent for this long after the last renewal was sent, so that a
/// store outage does not stop accepted work.
inline constexpr std::chrono::milliseconds max_ordering_time{6000};
/// An earlier owner that is cut off from the store may send orders for this
/// long after its role has become free.
inline constexpr std::chrono::milliseconds max_orders_after_takeover{3500};
static_assert(max_orders_after_takeover >= max_ordering_time - role_lease);

/// Longer leases keep the tasks of a worker that is gone from running again
/// while their callers wait, and late extensions add to that.
inline constexpr std::chrono::milliseconds max_extension{6000};
/// The worker ignores a start order that arrives later than this.
inline constexpr std::chrono::milliseconds order_validity{1500};

/// A worker's clock may be slow by one part in this many.
inline constexpr int clock_lag_divisor = 50;
/// A lease lasts longer on a slow clock, and calls take time.
inline constexpr double max_clock_factor = 1.03;
inline constexpr std::chrono::milliseconds lapse_slack{150};
static_assert(max_clock_factor * (clock_lag_divisor - 1) >= clock_lag_divisor);

/// How long a lease of `length` on a worker's clock may last here.
constexpr base::duration longest_lease(base::duration length)
{
    return std::chrono::duration_cast<base::duration>(length *
                                                      max_clock_factor) +
           lapse_slack;
}

/// The length of the leases by which an owner extends the runs of a worker.
constexpr base::duration extension_length(base::duration longest)
{
    return std::min<base::duration>(longest, max_extension);
}
/// The same for the lease that a start order gives.
constexpr base::duration start_length(base::duration longest)
{
    return std::min<base::duration>(longest, order_validity);
}

/// How long runs may last on a worker of earlier owners that its owner has not
/// heard since it loaded the pool. `longest` is the longest lease that workers
/// grant: extensions are shortened to it.
constexpr base::duration unheard_worker_lease(base::duration longest)
{
    return max_orders_after_takeover + longest_lease(extension_length(longest));
}
static_assert(unheard_worker_lease(max_extension) >=
              max_ordering_time - role_lease +
                  longest_lease(std::max(max_extension, order_validity)));

/// What a worker's clock says at least when `age` has passed since it said
/// `clock_ms`. A time that counts from here ends in time on a slow clock, also
/// if the call that names it is under way for long.
inline std::int64_t earliest_clock(std::int64_t clock_ms, base::duration age)
{
    return clock_ms + base::count_millis(age - age / clock_lag_divisor);
}

/// A clock that was read longer ago is read anew, so that orders do not seem
/// late to a worker whose clock is exact.
inline constexpr std::chrono::seconds max_clock_age{15};
static_assert(max_clock_age / clock_lag_divisor <= order_validity / 4);

} // namespace pimentograde::pools

#endif
