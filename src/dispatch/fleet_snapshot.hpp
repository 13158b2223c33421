#ifndef PIMENTOGRADE_DISPATCH_FLEET_SNAPSHOT_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_SNAPSHOT_HPP

#include "capacity/fleet_state.hpp"
#include "capacity/wave_planner.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pimentograde::dispatch
{

/// What a fleet service tells about itself.
struct fleet_report
{
    bool planner = false;
    std::string lease_holder;
    bool store_available = true;
    std::string store_error;
    std::uint64_t steps = 0;
    /// Writes that lost against another writer.
    std::uint64_t conflicts = 0;
    std::size_t workers_answering = 0;
    std::vector<capacity::wave_progress> waves;
    std::vector<std::string> broken_budgets;
};

boost::json::object make_snapshot(const fleet_report& report,
                                  const capacity::fleet_state& state);

} // namespace pimentograde::dispatch

#endif
