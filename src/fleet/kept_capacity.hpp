#ifndef PIMENTOGRADE_FLEET_KEPT_CAPACITY_HPP
#define PIMENTOGRADE_FLEET_KEPT_CAPACITY_HPP

#include "base/time.hpp"

namespace pimentograde::fleet
{

/// How many cores all pools together keep out of standby, from their recent
/// demand. Pools have their peaks one after another, so together they need far
/// less than the sum of their peaks; machines above that may go to standby.
class kept_capacity
{
public:
    /// `needed` is the number of cores that keep up with the work of all pools;
    /// `total_cores` counts the cores of all machines.
    void note(double needed, double total_cores, base::time_point now);

    /// Returns all cores until the first burst.
    [[nodiscard]] double cores() const;

private:
    double peak_ = 0.0;
    double total_ = 0.0;
    bool has_seen_burst_ = false;
    base::time_point noted_at_{};
    base::time_point peak_at_{};
};

} // namespace pimentograde::fleet

#endif
