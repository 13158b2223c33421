#include "records/write_budget.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::records
{

namespace
{

// An idle member may write this many times at once; larger bursts of several
// members together would exceed what the store handles.
constexpr double burst_writes = 8;
constexpr double lowest_rate = 0.5;

} // namespace

write_budget::write_budget(std::function<double()> writes_per_second)
    : writes_per_second_(std::move(writes_per_second))
{
}

base::duration write_budget::take(base::time_point now)
{
    const double rate = std::max(writes_per_second_(), lowest_rate);
    const auto interval = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(1 / rate));
    const auto burst = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(burst_writes / rate));
    next_ = std::max(next_, now - burst) + interval;
    return std::max(base::duration{0}, next_ - now);
}

} // namespace pimentograde::records
