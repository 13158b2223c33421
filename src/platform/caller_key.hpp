#ifndef PIMENTOGRADE_PLATFORM_CALLER_KEY_HPP
#define PIMENTOGRADE_PLATFORM_CALLER_KEY_HPP

#include "net/http_message.hpp"

#include <string_view>

namespace pimentograde::platform
{

/// The key that a call carries in the header `Authorization: Token KEY`.
struct caller_key
{
    enum class kind
    {
        present,
        missing,
        /// A scheme other than `Token`.
        other_scheme,
        /// The scheme without a key.
        empty,
        /// The header is there more than once.
        repeated,
        /// Bytes other than visible ASCII and the one space after the scheme.
        malformed
    };
    kind outcome = kind::missing;
    /// If present; a view into the call's headers.
    std::string_view text;
};

caller_key read_key(const net::http_request& call);

/// Word for logs and metrics.
std::string_view to_string(caller_key::kind outcome);

} // namespace pimentograde::platform

#endif
