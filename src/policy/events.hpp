#ifndef PIMENTOGRADE_POLICY_EVENTS_HPP
#define PIMENTOGRADE_POLICY_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::policy
{

// Written by the owner of the decision functions, which do no I/O.
inline constexpr log::event event_worker_ejected{
    1501, log::severity::warning, "worker ejected after failures"};
inline constexpr log::event event_worker_readmitted{
    1502, log::severity::info, "ejected worker passed a probe"};
inline constexpr log::event event_loan_overdue{
    1503, log::severity::warning, "lent slot not back within the bound"};

} // namespace pimentograde::policy

#endif
