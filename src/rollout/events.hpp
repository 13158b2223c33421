#ifndef PIMENTOGRADE_ROLLOUT_EVENTS_HPP
#define PIMENTOGRADE_ROLLOUT_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::rollout
{

inline constexpr log::event event_document_adopted{1901, log::severity::info,
                                                   "document adopted"};
inline constexpr log::event event_document_refused{1902, log::severity::error,
                                                   "document refused"};
inline constexpr log::event event_watch_failed{1903, log::severity::warning,
                                               "watching the store failed"};
inline constexpr log::event event_watch_restored{
    1904, log::severity::info, "watching the store works again"};
inline constexpr log::event event_signed_off{1905, log::severity::info,
                                             "bundle signed off"};
inline constexpr log::event event_sign_off_lost{1906, log::severity::info,
                                                "sign-off lost to another"};
inline constexpr log::event event_sign_off_unknown{
    1907, log::severity::warning, "outcome of a sign-off not known yet"};
inline constexpr log::event event_resuming{
    1908, log::severity::warning, "no new work until documents are checked"};
inline constexpr log::event event_resumed{1909, log::severity::info,
                                          "documents checked, taking work"};
inline constexpr log::event event_out_of_contact{
    1910, log::severity::error, "no contact to store and members"};

} // namespace pimentograde::rollout

#endif
