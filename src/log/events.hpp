#ifndef PIMENTOGRADE_LOG_EVENTS_HPP
#define PIMENTOGRADE_LOG_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::log
{

inline constexpr log::event event_lines_dropped{1001, severity::warning,
                                                "log lines dropped"};

} // namespace pimentograde::log

#endif
