#include "policy/backoff.hpp"

#include <algorithm>

namespace pimentograde::policy
{

backoff::backoff(backoff_settings settings)
    : settings_(settings),
      delay_bound_(std::min(settings.initial_delay, settings.max_delay))
{
}

std::optional<base::duration> backoff::next(base::time_point now,
                                            base::time_point deadline,
                                            base::random_source& random)
{
    const auto delay = random.jitter(delay_bound_);
    delay_bound_ = delay_bound_ > settings_.max_delay / 2 ? settings_.max_delay
                                                          : delay_bound_ * 2;
    if (now >= deadline || delay >= deadline - now)
        return std::nullopt;
    return delay;
}

} // namespace pimentograde::policy
