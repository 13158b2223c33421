#include "node/peer_clients.hpp"

namespace pimentograde::node
{

peer::peer_client& peer_clients::at(const net::endpoint& address)
{
    auto& client = clients_[address];
    if (!client)
        client = peer::peer_client::builder{}
                     .connect_to(address)
                     .authenticate_as({{base::member_id(session_.own().name),
                                        session_.own().incarnation},
                                       session_.peer_secret()})
                     .build();
    return *client;
}

} // namespace pimentograde::node
