#ifndef PIMENTOGRADE_ENTRY_EVENTS_HPP
#define PIMENTOGRADE_ENTRY_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::entry
{

inline constexpr log::event event_started{2101, log::severity::info,
                                          "entry instance started"};
inline constexpr log::event event_stopping{2102, log::severity::info,
                                           "planned stop begins"};
inline constexpr log::event event_stopped{2103, log::severity::info,
                                          "entry instance stopped"};
inline constexpr log::event event_caller_refused{
    2104, log::severity::warning, "caller without a valid token refused"};
inline constexpr log::event event_operator_refused{2105, log::severity::warning,
                                                   "operator request refused"};
inline constexpr log::event event_bundle_adopted{2106, log::severity::info,
                                                 "bundle in force"};
inline constexpr log::event event_fleet_adopted{2107, log::severity::debug,
                                                "fleet state adopted"};
inline constexpr log::event event_overloaded{2108, log::severity::warning,
                                             "too many requests in progress"};
inline constexpr log::event event_stop_incomplete{
    2109, log::severity::error, "work in progress at the end of the stop"};
inline constexpr log::event event_document_invalid{
    2110, log::severity::error, "document in the store is invalid"};
inline constexpr log::event event_settings_kept{
    2111, log::severity::info, "SIGHUP has no effect on the settings"};

} // namespace pimentograde::entry

#endif
