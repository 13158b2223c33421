#ifndef PIMENTOGRADE_JOBS_ARRIVAL_RATE_HPP
#define PIMENTOGRADE_JOBS_ARRIVAL_RATE_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// Rate of submitted work: a moving average with exponential decay. Detects the
/// start of a burst before a backlog has built up.
class arrival_rate
{
public:
    /// `work` in core-seconds.
    void add_work(double work, base::time_point now);
    /// Core-seconds per second: the number of cores needed to keep up.
    [[nodiscard]] double rate_at(base::time_point now) const;

private:
    double rate_ = 0.0;
    base::time_point updated_at_{};
};

} // namespace pimentograde::jobs

#endif
