#ifndef PIMENTOGRADE_PROVIDER_EVENTS_HPP
#define PIMENTOGRADE_PROVIDER_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::provider
{

inline constexpr log::event event_malformed_response{
    1201, log::severity::warning, "malformed response of the platform"};

} // namespace pimentograde::provider

#endif
