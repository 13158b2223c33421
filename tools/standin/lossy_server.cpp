#include "standin/lossy_server.hpp"

#include "base/error.hpp"
#include "net/await.hpp"
#include "net/http_status.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "standin/port_reservation.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace pimentograde::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t max_request_bytes = std::size_t{8} * 1024 * 1024;

std::size_t cut(std::size_t size, double share)
{
    const auto kept =
        static_cast<std::size_t>(static_cast<double>(size) * share);
    return size == 0 ? 0 : std::min(kept, size - 1);
}

std::string to_bytes(reply answer)
{
    if (answer.how == delivery::raw)
        return std::move(answer.response.body);
    if (answer.how == delivery::short_body)
        answer.response.body.resize(
            cut(answer.response.body.size(), answer.sent_share));
    http::response<http::string_body> message{
        static_cast<http::status>(answer.response.status), 11};
    message.set(http::field::content_type, answer.response.content_type);
    message.body() = std::move(answer.response.body);
    // Unlike prepare_payload, this permits a body with status 204, which a
    // faulty peer may send.
    message.content_length(message.body().size());
    std::ostringstream text;
    text << message;
    std::string bytes = text.str();
    if (answer.how == delivery::truncated)
        bytes.resize(cut(bytes.size(), answer.sent_share));
    return bytes;
}

} // namespace

net::http_response error_response(unsigned status, std::string_view error,
                                  std::string_view detail)
{
    const boost::json::object body{{"error", error}, {"detail", detail}};
    return {status, boost::json::serialize(body)};
}

struct lossy_server::impl
{
    explicit impl(const net::endpoint& where) : port(where), local(port.where())
    {
    }

    port_reservation port;
    net::endpoint local;
    handler handle;
    std::size_t max_connections = 0;
    std::shared_ptr<tcp::acceptor> acceptor;
    std::set<std::shared_ptr<tcp::socket>> connections;
    /// Connections over the limit, which are also in `connections`.
    std::size_t refused_connections = 0;
    net::task_group fibers;

    void listen();
    void accept_loop(const std::shared_ptr<tcp::acceptor>& listener);
    void serve(const std::shared_ptr<tcp::socket>& client, bool refused);
    bool serve_one(tcp::socket& client, boost::beast::flat_buffer& buffer,
                   bool refused);
    reply call_handler(const net::http_request& request);
};

void lossy_server::impl::listen()
{
    const tcp::endpoint where(asio::ip::make_address(local.address),
                              local.port);
    auto opened = std::make_shared<tcp::acceptor>(net::this_thread_io());
    try
    {
        opened->open(where.protocol());
        opened->set_option(tcp::acceptor::reuse_address(true));
        opened->bind(where);
        opened->listen();
    }
    catch (const boost::system::system_error& failure)
    {
        throw base::error(base::error_code::unavailable, "listen",
                          to_string(local), failure.what());
    }
    acceptor = opened;
    fibers.spawn([this, opened] { accept_loop(opened); });
}

void lossy_server::impl::accept_loop(
    const std::shared_ptr<tcp::acceptor>& listener)
{
    while (listener->is_open())
    {
        auto accepted = net::await_io<std::optional<tcp::socket>>(
            [&](auto done)
            {
                listener->async_accept(
                    [done](const boost::system::error_code& failure,
                           tcp::socket socket) mutable
                    { done(failure, std::move(socket)); });
            });
        if (accepted.failure || !listener->is_open())
            continue;
        const bool refused =
            connections.size() - refused_connections >= max_connections;
        auto client = std::make_shared<tcp::socket>(std::move(*accepted.value));
        connections.insert(client);
        refused_connections += refused ? 1 : 0;
        fibers.spawn([this, client, refused] { serve(client, refused); });
    }
}

void lossy_server::impl::serve(const std::shared_ptr<tcp::socket>& client,
                               bool refused)
{
    boost::system::error_code failure;
    client->set_option(tcp::no_delay(true), failure);
    boost::beast::flat_buffer buffer;
    while (client->is_open() && serve_one(*client, buffer, refused))
    {
    }
    client->shutdown(tcp::socket::shutdown_send, failure);
    client->close(failure);
    connections.erase(client);
    refused_connections -= refused ? 1 : 0;
}

bool lossy_server::impl::serve_one(tcp::socket& client,
                                   boost::beast::flat_buffer& buffer,
                                   bool refused)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(max_request_bytes);
    const auto read = net::await_io(
        [&](auto done)
        { http::async_read(client, buffer, parser, std::move(done)); });
    if (read.failure)
        return false;
    auto& message = parser.get();
    net::http_request request;
    request.method = message.method_string();
    request.target = message.target();
    request.authorization = message[http::field::authorization];
    request.body = std::move(message.body());
    reply answer =
        refused ? reply{error_response(503, "refused", "too many connections")}
                : call_handler(request);
    const bool keep =
        answer.how == delivery::complete && !refused && message.keep_alive();
    if (answer.how == delivery::lost || !client.is_open())
        return false;
    const std::string bytes = to_bytes(std::move(answer));
    const auto written = net::await_io(
        [&](auto done)
        { asio::async_write(client, asio::buffer(bytes), std::move(done)); });
    return !written.failure && keep;
}

reply lossy_server::impl::call_handler(const net::http_request& request)
{
    try
    {
        return handle(request);
    }
    catch (const base::error& failure)
    {
        return {error_response(net::status_of(failure.code()),
                               base::to_string(failure.code()),
                               failure.detail())};
    }
    catch (const std::exception& failure)
    {
        return {error_response(500, "internal", failure.what())};
    }
}

lossy_server::builder& lossy_server::builder::listen_on(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

lossy_server::builder& lossy_server::builder::handle_with(handler function)
{
    handler_ = std::move(function);
    return *this;
}

lossy_server::builder& lossy_server::builder::max_connections(std::size_t count)
{
    max_connections_ = count;
    return *this;
}

std::unique_ptr<lossy_server> lossy_server::builder::build()
{
    auto state = std::make_unique<impl>(where_);
    state->handle = handler_;
    state->max_connections = max_connections_;
    state->listen();
    return std::unique_ptr<lossy_server>(new lossy_server(std::move(state)));
}

lossy_server::lossy_server(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

lossy_server::~lossy_server()
{
    close();
    join();
}

const net::endpoint& lossy_server::local_endpoint() const
{
    return impl_->local;
}

std::size_t lossy_server::connection_count() const
{
    return impl_->connections.size() - impl_->refused_connections;
}

bool lossy_server::is_open() const
{
    return impl_->acceptor->is_open();
}

bool lossy_server::open()
{
    if (is_open())
        return true;
    try
    {
        impl_->listen();
    }
    catch (const base::error&)
    {
        return false;
    }
    return true;
}

void lossy_server::close()
{
    boost::system::error_code ignored;
    impl_->acceptor->close(ignored);
    // Closing cancels the reads; the fibers then remove their connections.
    for (const auto& client : impl_->connections)
        client->close(ignored);
}

void lossy_server::join()
{
    impl_->fibers.join();
}

} // namespace pimentograde::standin
