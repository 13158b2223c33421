#ifndef PIMENTOGRADE_POLICY_BACKOFF_HPP
#define PIMENTOGRADE_POLICY_BACKOFF_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <optional>

namespace pimentograde::policy
{

struct backoff_settings
{
    base::duration initial = std::chrono::milliseconds{20};
    base::duration upper = std::chrono::seconds{2};
};

/// Delays between the attempts of one piece of work: exponential with full
/// jitter, so that callers that failed together do not return together.
class backoff
{
public:
    explicit backoff(backoff_settings settings = {});

    /// The delay before the next attempt, uniform in [0, initial * 2^n) and
    /// below `upper`; nothing when the attempt would start at or after the
    /// deadline.
    std::optional<base::duration> next(base::time_point now,
                                       base::time_point deadline,
                                       base::random_source& random);

private:
    backoff_settings settings_;
    base::duration bound_;
};

} // namespace pimentograde::policy

#endif
