#ifndef PIMENTOGRADE_PEER_RPC_DISPATCHER_HPP
#define PIMENTOGRADE_PEER_RPC_DISPATCHER_HPP

#include "peer/identity.hpp"

#include <jsoncpp/json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pimentograde::peer
{

/// Circumstances of one incoming call.
struct call_context
{
    peer_identity from;
    /// Whether the caller's connection still stands. A handler that waited
    /// checks this before it gives something away.
    std::function<bool()> connected;
};

using method_handler =
    std::function<Json::Value(const call_context&, const Json::Value&)>;
using method_table = std::map<std::string, method_handler>;

/// Answers JSON-RPC requests of one connection through libjsonrpccpp's server.
/// Holds no state of a request, so that several fibers may be inside at once.
class rpc_dispatcher
{
public:
    /// `methods` has to outlive the dispatcher.
    rpc_dispatcher(const method_table& methods, call_context context);
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher&) = delete;
    rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

    /// Returns the response; empty for a notification. A malformed request, an
    /// unknown method and an exception of the handler become error responses.
    std::string respond(const std::string& request);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::peer

#endif
