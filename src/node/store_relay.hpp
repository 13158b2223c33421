#ifndef PIMENTOGRADE_NODE_STORE_RELAY_HPP
#define PIMENTOGRADE_NODE_STORE_RELAY_HPP

#include "metrics/registry.hpp"
#include "node/peer_clients.hpp"
#include "node/relay_choice.hpp"
#include "node/session.hpp"
#include "peer/peer_server.hpp"
#include "peer/store_messages.hpp"
#include "platform/store_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::node
{

/// Sends store calls through a peer while the store refuses this instance, and
/// sends such calls for peers. A call's semantics stay the store's: without an
/// answer its effect is unknown, and a late one changes nothing whose condition
/// no longer holds.
class store_relay
{
public:
    store_relay(const session& members, metrics::registry& metrics,
                std::uint64_t seed);

    /// Whether store calls go through a peer now.
    [[nodiscard]] bool is_active(base::time_point now) const
    {
        return choice_.prefers_peer(now);
    }
    /// A direct call of this instance has ended.
    void note_direct(store_outcome outcome, base::time_point now);
    /// Sends a call through a peer. Throws `base::error` with `refused` if the
    /// store serves neither this instance nor a peer; nothing was done then.
    platform::raw_store_response send(const platform::raw_store_call& call,
                                      base::time_point deadline);
    /// Adds the handler for peers' calls, which go to `store` directly.
    void add_handlers(peer::peer_server::builder& server,
                      platform::store_client& store);

private:
    /// Empty if the peer has not sent the call. Throws `base::error` if the
    /// effect is unknown.
    std::optional<platform::raw_store_response>
    send_through(const std::string& peer, const platform::raw_store_call& call,
                 base::time_point deadline);
    void count(std::string_view outcome);

    const session& session_;
    metrics::registry& metrics_;
    relay_choice choice_;
    peer_clients clients_;
};

} // namespace pimentograde::node

#endif
