#ifndef PIMENTOGRADE_PEER_STORE_MESSAGES_HPP
#define PIMENTOGRADE_PEER_STORE_MESSAGES_HPP

#include "base/time.hpp"

#include <jsoncpp/json/json.h>

#include <string>

namespace pimentograde::peer
{

/// The store's response to a relayed call.
struct relayed_response
{
    /// False if the peer has not sent the call, since the store does not serve
    /// it either; the other fields say nothing then.
    bool is_sent = false;
    std::uint32_t status = 0;
    std::string body;

    [[nodiscard]] Json::Value to_json() const;
    static relayed_response from_json(const Json::Value& source);
};

/// A call to the platform's store for an instance that the store refuses. The
/// texts are those of the store's own protocol, unchanged.
struct relay_store_call
{
    static constexpr const char* method = "relay_store_call";
    using reply_type = relayed_response;

    std::string verb;
    std::string target;
    std::string body;
    /// The peer does not send the call later than this.
    base::duration time_left{};

    [[nodiscard]] Json::Value to_json() const;
    static relay_store_call from_json(const Json::Value& source);
};

} // namespace pimentograde::peer

#endif
