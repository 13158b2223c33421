#ifndef PIMENTOGRADE_POLICY_BACKOFF_HPP
#define PIMENTOGRADE_POLICY_BACKOFF_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <optional>

namespace pimentograde::policy
{

struct backoff_settings
{
    base::duration initial_delay = std::chrono::milliseconds{20};
    base::duration max_delay = std::chrono::seconds{2};
};

/// Exponential backoff with full jitter between the attempts of one operation.
/// The jitter keeps callers that failed at the same time from retrying at the
/// same time.
class backoff
{
public:
    explicit backoff(backoff_settings settings = {});

    /// Returns the delay before the next attempt: uniform in
    /// [0, initial_delay * 2^n) and below `max_delay`. Returns nullopt if the
    /// attempt would start at or after the deadline.
    std::optional<base::duration> next(base::time_point now,
                                       base::time_point deadline,
                                       base::random_source& random);

private:
    backoff_settings settings_;
    base::duration delay_bound_;
};

} // namespace pimentograde::policy

#endif
