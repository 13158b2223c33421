#include "jobs/arrival_rate.hpp"

#include <cmath>

namespace pimentograde::jobs
{

namespace
{

// Bursts last several seconds. A shorter window mistakes a single large job for
// a burst; a longer one detects a burst too late to move machines, which takes
// 1.5 s.
constexpr double window_seconds = 0.7;

} // namespace

void arrival_rate::add_work(double work, base::time_point now)
{
    rate_ = rate_at(now) + work / window_seconds;
    updated_at_ = now;
}

double arrival_rate::rate_at(base::time_point now) const
{
    return rate_ *
           std::exp(-base::count_seconds(now - updated_at_) / window_seconds);
}

} // namespace pimentograde::jobs
