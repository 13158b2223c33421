#ifndef PIMENTOGRADE_CAPACITY_EVENTS_HPP
#define PIMENTOGRADE_CAPACITY_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::capacity
{

inline constexpr log::event event_wave_paused{1601, log::severity::warning,
                                              "maintenance wave paused"};
inline constexpr log::event event_wave_resumed{1602, log::severity::info,
                                               "maintenance wave resumed"};
inline constexpr log::event event_wave_started{
    1603, log::severity::info, "pass of a maintenance wave started"};
inline constexpr log::event event_move_started{
    1604, log::severity::info, "move of a worker to another pool started"};
inline constexpr log::event event_budget_broken{1605, log::severity::error,
                                                "availability budget broken"};
inline constexpr log::event event_worker_down{1606, log::severity::warning,
                                              "worker down"};
inline constexpr log::event event_worker_serving{
    1607, log::severity::info, "worker passed probation and serves"};

} // namespace pimentograde::capacity

#endif
