#ifndef PIMENTOGRADE_DISPATCH_SLOT_EVENTS_HPP
#define PIMENTOGRADE_DISPATCH_SLOT_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::dispatch
{

inline constexpr log::event event_broker_unreachable{
    2051, log::severity::warning,
    "pool broker unreachable; choosing workers without a broker"};
inline constexpr log::event event_brokership_moved{
    2052, log::severity::info,
    "pool has a new broker; waiting requests redirected"};
inline constexpr log::event event_release_lost{
    2053, log::severity::warning,
    "returning a slot to its broker failed; giving up"};
inline constexpr log::event event_worker_leaving{
    2054, log::severity::info, "worker is leaving; sending it no new work"};

} // namespace pimentograde::dispatch

#endif
