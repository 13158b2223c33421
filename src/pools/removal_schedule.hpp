#ifndef PIMENTOGRADE_POOLS_REMOVAL_SCHEDULE_HPP
#define PIMENTOGRADE_POOLS_REMOVAL_SCHEDULE_HPP

#include "base/time.hpp"

#include <cstddef>

namespace pimentograde::pools
{

/// When the records of ended jobs are removed, and how many: in full
/// transactions as soon as enough have expired, so that removals keep up with
/// the jobs that end and cost few calls; the others from time to time.
class removal_schedule
{
public:
    /// Whether to count the expired records now.
    [[nodiscard]] bool is_due(base::time_point now) const
    {
        return now >= next_check_;
    }
    /// Returns how many of the `expired` records to remove now.
    std::size_t take(std::size_t expired, base::time_point now);

    /// A transaction holds at most 32 entries: the condition on the ownership,
    /// plus a key for each record.
    static constexpr std::size_t records_per_transaction = 31;
    /// Bounds the burst when the records that an owner has taken over expire.
    static constexpr std::size_t max_transactions = 8;
    static constexpr std::chrono::seconds check_interval{2};
    /// The longest time for which expired records wait for a full transaction.
    static constexpr std::chrono::seconds max_wait{10};

private:
    base::time_point next_check_{};
    base::time_point removed_at_{};
};

} // namespace pimentograde::pools

#endif
