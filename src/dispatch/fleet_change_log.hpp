#ifndef PIMENTOGRADE_DISPATCH_FLEET_CHANGE_LOG_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_CHANGE_LOG_HPP

#include "capacity/fleet_change.hpp"

namespace pimentograde::dispatch
{

/// Logs the event for a change that was written to the store. Some kinds of
/// change have no event.
void log_change(const capacity::fleet_change& change);

} // namespace pimentograde::dispatch

#endif
