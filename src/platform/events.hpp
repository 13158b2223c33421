#ifndef PIMENTOGRADE_PLATFORM_EVENTS_HPP
#define PIMENTOGRADE_PLATFORM_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::platform
{

inline constexpr log::event event_foreign_entry{
    3101, log::severity::warning, "unusable entry in the store ignored"};
inline constexpr log::event event_machine_unreadable{
    3102, log::severity::warning, "unreadable machine listed as down"};

} // namespace pimentograde::platform

#endif
