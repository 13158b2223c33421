#ifndef PIMENTOGRADE_DISPATCH_FLEET_EVENTS_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::dispatch
{

inline constexpr log::event event_planner_active{
    2150, log::severity::info, "this member acquired the planner lease"};
inline constexpr log::event event_fleet_store_down{
    2151, log::severity::warning,
    "store unavailable; no new drains, moves or waves until it recovers"};
inline constexpr log::event event_fleet_store_back{
    2152, log::severity::info, "store available again; planning resumes"};
inline constexpr log::event event_worker_call_failed{
    2153, log::severity::info,
    "call to a worker failed; retrying in the next step"};
inline constexpr log::event event_no_worker_answers{
    2154, log::severity::warning,
    "no worker responds to this member; releasing the planner lease"};
inline constexpr log::event event_instance_list_down{
    2155, log::severity::info,
    "instance list unavailable; using worker reports only"};
inline constexpr log::event event_fleet_state_invalid{
    2156, log::severity::error,
    "stored fleet state is invalid; planning is suspended"};
inline constexpr log::event event_fleet_step_failed{
    2157, log::severity::warning,
    "planner step failed; retrying in the next step"};

} // namespace pimentograde::dispatch

#endif
