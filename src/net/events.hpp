#ifndef PIMENTOGRADE_NET_EVENTS_HPP
#define PIMENTOGRADE_NET_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::net
{

inline constexpr log::event event_accept_failed{
    1101, log::severity::warning, "accepting a connection failed"};
inline constexpr log::event event_malformed_request{
    1102, log::severity::info, "malformed request refused"};
inline constexpr log::event event_handler_failed{1103, log::severity::error,
                                                 "request handler failed"};
inline constexpr log::event event_task_failed{
    1104, log::severity::error, "a task ended with an unexpected error"};

} // namespace pimentograde::net

#endif
