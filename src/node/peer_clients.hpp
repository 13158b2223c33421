#ifndef PIMENTOGRADE_NODE_PEER_CLIENTS_HPP
#define PIMENTOGRADE_NODE_PEER_CLIENTS_HPP

#include "net/endpoint.hpp"
#include "node/session.hpp"
#include "peer/peer_client.hpp"

#include <map>
#include <memory>

namespace pimentograde::node
{

/// This instance's connections to its peers, by address. Clients stay valid, as
/// calls on them may be under way.
class peer_clients
{
public:
    explicit peer_clients(const session& members) : session_(members) {}

    peer::peer_client& at(const net::endpoint& address);

private:
    const session& session_;
    std::map<net::endpoint, std::unique_ptr<peer::peer_client>> clients_;
};

} // namespace pimentograde::node

#endif
