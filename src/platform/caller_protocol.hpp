#ifndef PIMENTOGRADE_PLATFORM_CALLER_PROTOCOL_HPP
#define PIMENTOGRADE_PLATFORM_CALLER_PROTOCOL_HPP

#include "base/time.hpp"
#include "jobs/pool_state.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::platform
{

/// How long the caller waits for the answer; empty when it does not say.
std::optional<base::duration> caller_time_left(const net::http_request& call);

/// Bodies of answers to callers.
std::string write_status(jobs::reported_status status);
std::string write_pending(std::int64_t count);
std::string write_reason(std::string_view reason);

} // namespace pimentograde::platform

#endif
