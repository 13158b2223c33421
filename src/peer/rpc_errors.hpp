#ifndef PIMENTOGRADE_PEER_RPC_ERRORS_HPP
#define PIMENTOGRADE_PEER_RPC_ERRORS_HPP

#include "base/error.hpp"
#include "peer/rpc_codec.hpp"

#include <string_view>

namespace pimentograde::peer
{

/// JSON-RPC code of every `base::error`; its data names the error code.
inline constexpr int application_error = -32000;

/// Data of a JSON-RPC error response.
Json::Value error_data(const base::error& failure);
/// A complete JSON-RPC error response.
std::string error_response(std::uint64_t id, const base::error& failure);
/// The exception for an error response. A response that cannot be understood
/// becomes `cut_off`: the peer may have acted.
base::error to_error(const rpc_reply& reply, std::string_view method,
                     std::string_view peer);

} // namespace pimentograde::peer

#endif
