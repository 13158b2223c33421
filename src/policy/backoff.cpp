#include "policy/backoff.hpp"

#include <algorithm>

namespace pimentograde::policy
{

backoff::backoff(backoff_settings settings)
    : settings_(settings), bound_(std::min(settings.initial, settings.upper))
{
}

std::optional<base::duration> backoff::next(base::time_point now,
                                            base::time_point deadline,
                                            base::random_source& random)
{
    const auto delay = random.jitter(bound_);
    bound_ = bound_ > settings_.upper / 2 ? settings_.upper : bound_ * 2;
    if (now >= deadline || delay >= deadline - now)
        return std::nullopt;
    return delay;
}

} // namespace pimentograde::policy
