#ifndef PIMENTOGRADE_ROLLOUT_PACING_HPP
#define PIMENTOGRADE_ROLLOUT_PACING_HPP

#include "base/time.hpp"

#include <functional>

namespace pimentograde::rollout
{

/// Clock and sleep of a loop that retries until a deadline; tests replace them
/// by simulated time.
struct pacing
{
    std::function<base::time_point()> now;
    std::function<void(base::duration)> sleep;
};

/// The steady clock and the fiber's sleep.
pacing real_pacing();

/// Time for one call to the store.
inline constexpr std::chrono::seconds store_call_limit{1};

} // namespace pimentograde::rollout

#endif
