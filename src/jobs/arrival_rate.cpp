#include "jobs/arrival_rate.hpp"

#include <cmath>

namespace pimentograde::jobs
{

namespace
{

// Turns last some seconds: a shorter window takes single large jobs for one, a
// longer one sees it too late to bring machines, which takes 1.5 s.
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
