#include "fleet/kept_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace pimentograde::fleet
{

namespace
{

// How long the peak is kept in full: bursts last some seconds, with pauses
// between them.
constexpr std::chrono::seconds peak_hold_time{8};
// Time constant of the exponential decay after the hold time.
constexpr double peak_decay_seconds = 4.0;
// Demand of at least this share of all cores counts as a burst.
constexpr double burst_share = 0.2;
// Headroom above the peak, for a larger burst that arrives before machines
// return from standby.
constexpr double peak_headroom_factor = 1.35;
// Share of all cores that never goes to standby.
constexpr double min_share = 0.5;

} // namespace

void kept_capacity::note(double needed, double total_cores,
                         base::time_point now)
{
    if (now - peak_at_ > peak_hold_time)
        peak_ *= std::exp(-base::count_seconds(now - noted_at_) /
                          peak_decay_seconds);
    noted_at_ = now;
    total_ = total_cores;
    has_seen_burst_ = has_seen_burst_ || (total_cores > 0.0 &&
                                          needed >= burst_share * total_cores);
    if (needed < peak_)
        return;
    peak_ = needed;
    peak_at_ = now;
}

double kept_capacity::cores() const
{
    return has_seen_burst_
               ? std::max(peak_headroom_factor * peak_, min_share * total_)
               : total_;
}

} // namespace pimentograde::fleet
