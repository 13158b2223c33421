#include "policy/retry_budget.hpp"

#include <algorithm>

namespace pimentograde::policy
{

namespace
{

// In binary floating point, 0.1 added ten times is slightly less than 1.
constexpr double rounding_tolerance = 1e-9;

} // namespace

retry_budget::retry_budget(double capacity) : capacity_(capacity) {}

void retry_budget::set_ratio(const base::department_name& department,
                             double ratio)
{
    buckets_[department].ratio = std::max(ratio, 0.0);
}

void retry_budget::record_first_attempt(const base::department_name& department)
{
    auto& state = buckets_[department];
    state.tokens = std::min(state.tokens + state.ratio, capacity_);
}

bool retry_budget::try_retry(const base::department_name& department)
{
    auto& state = buckets_[department];
    if (state.tokens + rounding_tolerance < 1)
        return false;
    state.tokens = std::max(state.tokens - 1, 0.0);
    return true;
}

void retry_budget::refund(const base::department_name& department)
{
    auto& state = buckets_[department];
    state.tokens = std::min(state.tokens + 1, capacity_);
}

double retry_budget::tokens(const base::department_name& department) const
{
    const auto found = buckets_.find(department);
    return found == buckets_.end() ? 0 : found->second.tokens;
}

} // namespace pimentograde::policy
