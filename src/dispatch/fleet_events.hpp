#ifndef PIMENTOGRADE_DISPATCH_FLEET_EVENTS_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::dispatch
{

inline constexpr log::event event_planner_active{
    2150, log::severity::info, "this member holds the planner lease"};
inline constexpr log::event event_fleet_store_down{
    2151, log::severity::warning,
    "store unavailable: no new drains, moves or waves"};
inline constexpr log::event event_fleet_store_back{
    2152, log::severity::info, "store available again: planning continues"};
inline constexpr log::event event_worker_call_failed{
    2153, log::severity::info, "call to a worker failed and will be repeated"};
inline constexpr log::event event_no_worker_answers{
    2154, log::severity::warning,
    "no worker answers this member; planner lease given up"};
inline constexpr log::event event_instance_list_down{
    2155, log::severity::info, "instance list unavailable"};
inline constexpr log::event event_fleet_state_invalid{
    2156, log::severity::error, "stored fleet state cannot be read"};
inline constexpr log::event event_fleet_step_failed{
    2157, log::severity::warning, "a planner step failed and will be repeated"};

} // namespace pimentograde::dispatch

#endif
