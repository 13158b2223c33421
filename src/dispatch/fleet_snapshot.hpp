#ifndef PIMENTOGRADE_DISPATCH_FLEET_SNAPSHOT_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_SNAPSHOT_HPP

#include "capacity/fleet_state.hpp"
#include "capacity/wave_planner.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>

namespace pimentograde::dispatch
{

/// Status of a fleet service, for its snapshot.
struct fleet_report
{
    bool planner = false;
    std::string lease_holder;
    bool store_available = true;
    std::string store_error;
    std::uint64_t steps = 0;
    /// Writes that failed because another writer changed the state first.
    std::uint64_t conflicts = 0;
    std::size_t workers_answering = 0;
    /// Whether the last plan found a violated availability budget.
    bool budget_broken = false;
};

/// If `bundle` is null, the waves and budgets are omitted.
boost::json::object make_snapshot(const fleet_report& report,
                                  const capacity::fleet_state& state,
                                  const config::bundle* bundle,
                                  const capacity::wave_settings& settings,
                                  base::wall_time now);

} // namespace pimentograde::dispatch

#endif
