#include "pools/removal_schedule.hpp"

#include <algorithm>

namespace pimentograde::pools
{

std::size_t removal_schedule::take(std::size_t expired, base::time_point now)
{
    next_check_ = now + check_interval;
    const std::size_t full = expired / records_per_transaction;
    if (full == 0 && now - removed_at_ < max_wait)
        return 0;
    removed_at_ = now;
    const std::size_t transactions =
        std::clamp<std::size_t>(full, 1, max_transactions);
    return std::min(expired, transactions * records_per_transaction);
}

} // namespace pimentograde::pools
