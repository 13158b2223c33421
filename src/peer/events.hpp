#ifndef PIMENTOGRADE_PEER_EVENTS_HPP
#define PIMENTOGRADE_PEER_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::peer
{

inline constexpr log::event event_peer_accept_failed{
    1401, log::severity::warning, "accepting a member connection failed"};
inline constexpr log::event event_handshake_refused{
    1402, log::severity::warning, "unauthenticated peer refused"};
inline constexpr log::event event_malformed_message{
    1403, log::severity::warning, "malformed member message"};
inline constexpr log::event event_call_failed{
    1404, log::severity::error, "member call failed unexpectedly"};
inline constexpr log::event event_too_many_calls{
    1405, log::severity::warning, "too many calls on a member connection"};
inline constexpr log::event event_peer_connected{1406, log::severity::debug,
                                                 "connected to member"};
inline constexpr log::event event_peer_disconnected{
    1407, log::severity::debug, "connection to member lost"};

} // namespace pimentograde::peer

#endif
