#include "base/error.hpp"
#include "standin/port_reservation.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <doctest/doctest.h>

using namespace pimentograde;
using tcp = boost::asio::ip::tcp;

namespace
{

tcp::endpoint address_of(const standin::port_reservation& port)
{
    return {boost::asio::ip::make_address(port.where().address),
            port.where().port};
}

boost::system::error_code listen(tcp::acceptor& socket,
                                 const tcp::endpoint& where, bool reuse)
{
    boost::system::error_code failure;
    socket.open(where.protocol());
    socket.set_option(tcp::acceptor::reuse_address(reuse));
    socket.bind(where, failure);
    if (!failure)
        socket.listen(tcp::acceptor::max_listen_connections, failure);
    return failure;
}

} // namespace

// Guards against a restarted test server whose port another process took in
// between.
TEST_CASE("a reserved port stays free for a server that listens again")
{
    boost::asio::io_context io;
    const standin::port_reservation port;
    for (int start = 0; start < 2; ++start)
    {
        tcp::acceptor server(io);
        CHECK(!listen(server, address_of(port), true));
    }
    tcp::acceptor stranger(io);
    CHECK(listen(stranger, address_of(port), false) ==
          boost::asio::error::address_in_use);
    tcp::socket client(io);
    boost::system::error_code failure;
    client.connect(address_of(port), failure);
    CHECK(failure == boost::asio::error::connection_refused);
}

TEST_CASE("a port on which a server listens cannot be reserved")
{
    const standin::port_reservation port;
    boost::asio::io_context io;
    tcp::acceptor server(io);
    REQUIRE(!listen(server, address_of(port), true));
    CHECK_THROWS_AS(standin::port_reservation(port.where()), base::error);
}
