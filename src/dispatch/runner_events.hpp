#ifndef PIMENTOGRADE_DISPATCH_RUNNER_EVENTS_HPP
#define PIMENTOGRADE_DISPATCH_RUNNER_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::dispatch
{

inline constexpr log::event event_outcome_unknown{
    2001, log::severity::warning,
    "outcome of recorded work is unknown; not running it again"};
inline constexpr log::event event_job_gave_up{
    2002, log::severity::warning, "job ended without running successfully"};
inline constexpr log::event event_job_settled{2003, log::severity::info,
                                              "job settled by an operator"};
inline constexpr log::event event_shard_unreadable{
    2004, log::severity::info,
    "record shard could not be read; its jobs wait for the next scan"};

} // namespace pimentograde::dispatch

#endif
