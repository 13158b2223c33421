#ifndef PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_RELAY_HPP
#define PIMENTOGRADE_TOOLS_PLATFORM_STANDIN_RELAY_HPP

#include "net/endpoint.hpp"
#include "net/task_group.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace pimentograde::platform_standin
{

/// Passes connections on to a server on loopback, in the calling thread's
/// fibers, and impairs them.
class relay
{
public:
    explicit relay(net::endpoint server);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    [[nodiscard]] const net::endpoint& local_endpoint() const;
    /// Closes all connections.
    void cut();

    /// What is sent to the server, or by it, waits while set, as on a link that
    /// loses packets; it is passed on later, also if the sender has gone.
    bool holds_requests = false;
    bool holds_answers = false;
    /// New connections are closed at once.
    bool refuses = false;

private:
    using tcp = boost::asio::ip::tcp;
    struct connection;

    void accept_loop();
    void serve(const std::shared_ptr<connection>& entry);
    void pass(tcp::socket& from, tcp::socket& to, const bool& holds);

    net::endpoint server_;
    net::endpoint local_;
    tcp::acceptor acceptor_;
    std::set<connection*> connections_;
    bool is_stopping_ = false;
    net::task_group fibers_;
};

} // namespace pimentograde::platform_standin

#endif
