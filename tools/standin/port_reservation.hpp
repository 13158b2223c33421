#ifndef PIMENTOGRADE_TOOLS_STANDIN_PORT_RESERVATION_HPP
#define PIMENTOGRADE_TOOLS_STANDIN_PORT_RESERVATION_HPP

#include "net/endpoint.hpp"

#include <memory>

namespace pimentograde::standin
{

/// Keeps a loopback port for servers that listen on it one after another. The
/// system gives it to no other socket meanwhile, neither for listening on any
/// port nor for outgoing connections.
class port_reservation
{
public:
    /// Port 0 takes a free one. Throws `base::error` if the port is in use.
    explicit port_reservation(const net::endpoint& where = {"127.0.0.1", 0});
    ~port_reservation();

    const net::endpoint& where() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::standin

#endif
