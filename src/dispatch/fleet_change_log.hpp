#ifndef PIMENTOGRADE_DISPATCH_FLEET_CHANGE_LOG_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_CHANGE_LOG_HPP

#include "capacity/fleet_change.hpp"

namespace pimentograde::dispatch
{

/// Logs the event of a change that was written, if it has one.
void log_change(const capacity::fleet_change& change);

} // namespace pimentograde::dispatch

#endif
