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

void arrival_rate::note(double work, base::time_point now)
{
    rate_ = at(now) + work / window_seconds;
    noted_at_ = now;
}

double arrival_rate::at(base::time_point now) const
{
    return rate_ *
           std::exp(-base::count_seconds(now - noted_at_) / window_seconds);
}

} // namespace pimentograde::jobs
