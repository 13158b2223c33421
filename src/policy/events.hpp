#ifndef PIMENTOGRADE_POLICY_EVENTS_HPP
#define PIMENTOGRADE_POLICY_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::policy
{

// Logged by the callers of this library, which does no I/O itself.
inline constexpr log::event event_worker_ejected{
    1501, log::severity::warning,
    "worker ejected because too many of its recent tasks failed"};
inline constexpr log::event event_worker_readmitted{
    1502, log::severity::info,
    "probe task succeeded; ejected worker readmitted"};
inline constexpr log::event event_loan_overdue{
    1503, log::severity::warning,
    "lent slot not returned within the maximum loan time"};

} // namespace pimentograde::policy

#endif
