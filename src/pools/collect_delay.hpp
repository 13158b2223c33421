#ifndef PIMENTOGRADE_POOLS_COLLECT_DELAY_HPP
#define PIMENTOGRADE_POOLS_COLLECT_DELAY_HPP

#include "base/time.hpp"

#include <cstddef>

namespace pimentograde::pools
{

/// How long a pool owner batches changes before it acts on them. A small pool
/// uses a short delay, since it adds to the latency that callers see. A large
/// pool uses a longer one, since handling each change alone would take most of
/// the owner's processor time.
struct collect_delay
{
    base::duration for_small_pool{};
    base::duration for_large_pool{};

    [[nodiscard]] base::duration at(std::size_t workers) const;
};

} // namespace pimentograde::pools

#endif
