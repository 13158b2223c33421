#ifndef PIMENTOGRADE_PEER_RPC_CODEC_HPP
#define PIMENTOGRADE_PEER_RPC_CODEC_HPP

// Included by the one C++14 translation unit: nothing newer may appear here.

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <functional>
#include <string>

namespace pimentograde
{
namespace peer
{

/// Outcome of one JSON-RPC call.
struct rpc_reply
{
    bool succeeded;
    Json::Value result;
    /// JSON-RPC error code and data when not succeeded.
    int code;
    Json::Value data;
};

/// Sends a request and returns the response with the same id.
typedef std::function<std::string(const std::string&)> rpc_exchange;

/// Performs one call through libjsonrpccpp's client. The library numbers every
/// request 1, so the id is replaced before sending. Exceptions of `exchange`
/// pass through.
rpc_reply call_method(const rpc_exchange& exchange, std::uint64_t id,
                      const std::string& method, const Json::Value& params);

} // namespace peer
} // namespace pimentograde

#endif
