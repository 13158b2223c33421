#ifndef PIMENTOGRADE_MEMBERSHIP_EVENTS_HPP
#define PIMENTOGRADE_MEMBERSHIP_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::membership
{

inline constexpr log::event event_member_joined{1801, log::severity::info,
                                                "member joined"};
inline constexpr log::event event_member_suspected{1802, log::severity::warning,
                                                   "member suspected"};
inline constexpr log::event event_member_dropped{1803, log::severity::warning,
                                                 "member dropped"};
inline constexpr log::event event_member_left{1804, log::severity::info,
                                              "member left as planned"};
inline constexpr log::event event_member_recovered{
    1805, log::severity::info, "suspected member answers again"};
inline constexpr log::event event_process_paused{1806, log::severity::warning,
                                                 "this process was paused"};
inline constexpr log::event event_registration_failed{
    1807, log::severity::warning, "registration in the store failed"};
inline constexpr log::event event_registration_restored{
    1808, log::severity::info, "registration in the store restored"};

} // namespace pimentograde::membership

#endif
