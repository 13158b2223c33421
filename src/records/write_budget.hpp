#ifndef PIMENTOGRADE_RECORDS_WRITE_BUDGET_HPP
#define PIMENTOGRADE_RECORDS_WRITE_BUDGET_HPP

#include "base/time.hpp"

#include <functional>

namespace pimentograde::records
{

/// Spreads the writes of one member over time. Turns are handed out in the
/// order of the calls, so that no shard starves.
class write_budget
{
public:
    /// `writes_per_second` is read at each turn, since it depends on the
    /// number of live members.
    explicit write_budget(std::function<double()> writes_per_second);

    /// Takes the next turn; returns how long to wait for it.
    base::duration take(base::time_point now);

private:
    std::function<double()> writes_per_second_;
    base::time_point next_{};
};

/// Writes a second of all members together; the store handles several hundred
/// and serves documents and members as well.
inline constexpr double total_writes_per_second = 300;

} // namespace pimentograde::records

#endif
