#include "pools/collect_delay.hpp"

#include <algorithm>

namespace pimentograde::pools
{

namespace
{

// Standard sites have 8 to 12 workers per pool, the large one about 100.
// Between the two bounds the delay grows linearly.
constexpr double small_pool_workers = 16.0;
constexpr double large_pool_workers = 100.0;

} // namespace

base::duration collect_delay::at(std::size_t workers) const
{
    const double share =
        std::clamp((static_cast<double>(workers) - small_pool_workers) /
                       (large_pool_workers - small_pool_workers),
                   0.0, 1.0);
    return for_small_pool + std::chrono::duration_cast<base::duration>(
                                std::chrono::duration<double, std::nano>(
                                    for_large_pool - for_small_pool) *
                                share);
}

} // namespace pimentograde::pools
