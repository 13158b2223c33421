#include "standin/port_reservation.hpp"

#include "base/error.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pimentograde::standin
{

using tcp = boost::asio::ip::tcp;

struct port_reservation::impl
{
    boost::asio::io_context io;
    tcp::acceptor socket{io};
    net::endpoint where;
};

port_reservation::port_reservation(const net::endpoint& where)
    : impl_(std::make_unique<impl>())
{
    try
    {
        const tcp::endpoint address(
            boost::asio::ip::make_address(where.address), where.port);
        impl_->socket.open(address.protocol());
        // Lets the servers bind the port beside this socket, which never
        // listens.
        impl_->socket.set_option(tcp::acceptor::reuse_address(true));
        impl_->socket.bind(address);
        impl_->where = {where.address, impl_->socket.local_endpoint().port()};
    }
    catch (const boost::system::system_error& failure)
    {
        throw base::error(base::error_code::unavailable, "reserve port",
                          net::to_string(where), failure.what());
    }
}

port_reservation::~port_reservation() = default;

const net::endpoint& port_reservation::where() const
{
    return impl_->where;
}

} // namespace pimentograde::standin
