#ifndef PIMENTOGRADE_NET_HTTP_STATUS_HPP
#define PIMENTOGRADE_NET_HTTP_STATUS_HPP

#include "base/error.hpp"

#include <optional>

namespace pimentograde::net
{

/// HTTP status of an error response.
unsigned status_of(base::error_code code);

/// Error of a response's status; empty when the status tells nothing about
/// whether the server acted, such as 500.
std::optional<base::error_code> error_code_of(unsigned status);

} // namespace pimentograde::net

#endif
