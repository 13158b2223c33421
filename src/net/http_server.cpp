#include "net/http_server.hpp"

#include "base/error.hpp"
#include "net/await.hpp"
#include "net/events.hpp"
#include "net/http_status.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <array>
#include <set>
#include <utility>

namespace pimentograde::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

// A response that the client does not read must not hold the fiber for ever.
constexpr std::chrono::seconds write_timeout{10};
// Bounds of what is read of a refused request; the client of one that is larger
// may see the connection reset instead of the response.
constexpr std::chrono::seconds discard_timeout{1};
constexpr std::size_t max_discarded_bytes = 1024 * 1024;
// Pause after accept fails, for example because descriptors ran out.
constexpr std::chrono::milliseconds accept_retry_delay{50};

struct connection
{
    explicit connection(tcp::socket socket) : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    bool idle = true;
};

http_response error_response(unsigned status, std::string_view error,
                             std::string_view detail)
{
    boost::json::object body{{"error", error}, {"detail", detail}};
    return {status, boost::json::serialize(body)};
}

} // namespace

struct http_server::impl : std::enable_shared_from_this<http_server::impl>
{
    impl() : acceptor(this_thread_io()) {}

    tcp::acceptor acceptor;
    endpoint local;
    handler handle;
    http_limits limits;
    base::duration idle_timeout{};
    std::size_t max_connections = 0;
    bool stopping = false;
    bool closing = false;
    std::set<connection*> connections;
    task_group fibers;

    void accept_loop();
    void serve(connection& client);
    bool serve_one(connection& client, beast::flat_buffer& buffer,
                   const std::string& peer);
    bool respond(connection& client, http_response response, bool keep_alive,
                 unsigned version);
    /// Reads what the client still sends of a request that was refused.
    static void discard_rest(connection& client);
    http_response call_handler(const http_request& request);
    void close(bool only_idle);
    void stop_accepting();
};

void http_server::impl::accept_loop()
{
    while (!stopping)
    {
        auto accepted = await_io<std::optional<tcp::socket>>(
            [this](auto done)
            {
                acceptor.async_accept(
                    [done](const boost::system::error_code& failure,
                           tcp::socket socket) mutable
                    { done(failure, std::move(socket)); });
            });
        if (stopping)
            return;
        if (accepted.failure)
        {
            log::write(event_accept_failed,
                       {{"listener", to_string(local)},
                        {"reason", accepted.failure.message()}});
            boost::this_fiber::sleep_for(accept_retry_delay);
            continue;
        }
        if (connections.size() >= max_connections)
            continue; // the socket closes here
        auto client = std::make_shared<connection>(std::move(*accepted.value));
        fibers.spawn([self = this, client] { self->serve(*client); });
    }
}

void http_server::impl::serve(connection& client)
{
    const auto remove = [this](connection* entry)
    {
        connections.erase(entry);
    };
    connections.insert(&client);
    const std::unique_ptr<connection, decltype(remove)> entry(&client, remove);
    boost::system::error_code failure;
    client.stream.socket().set_option(tcp::no_delay(true), failure);
    const auto remote = client.stream.socket().remote_endpoint(failure);
    const std::string peer =
        failure
            ? std::string{"unknown"}
            : to_string(endpoint{remote.address().to_string(), remote.port()});
    beast::flat_buffer buffer;
    while (!stopping && serve_one(client, buffer, peer))
    {
    }
    client.stream.socket().shutdown(tcp::socket::shutdown_send, failure);
}

bool http_server::impl::serve_one(connection& client,
                                  beast::flat_buffer& buffer,
                                  const std::string& peer)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser.body_limit(limits.max_body_bytes);
    client.idle = true;
    client.stream.expires_after(idle_timeout);
    const auto read = await_io(
        [&](auto done)
        { http::async_read(client.stream, buffer, parser, std::move(done)); });
    client.idle = false;
    if (read.failure == http::error::header_limit)
    {
        respond(client,
                error_response(431, "too_large", "header fields too large"),
                false, 11);
        discard_rest(client);
        return false;
    }
    if (read.failure == http::error::body_limit)
    {
        respond(client, error_response(413, "too_large", "request too large"),
                false, 11);
        discard_rest(client);
        return false;
    }
    if (read.failure.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        read.failure != http::error::end_of_stream &&
        read.failure != http::error::partial_message)
    {
        log::write(event_malformed_request,
                   {{"peer", peer}, {"reason", read.failure.message()}});
        respond(client, error_response(400, "invalid", "malformed request"),
                false, 11);
        return false;
    }
    if (read.failure)
        return false;
    auto& message = parser.get();
    http_request request;
    request.method = message.method_string();
    request.target = message.target();
    request.authorization = message[http::field::authorization];
    request.body = std::move(message.body());
    request.peer = peer;
    request.host = message[http::field::host];
    for (const auto& field : message)
        request.headers.emplace_back(field.name_string(), field.value());
    // While the handler runs, no timeout applies to the connection.
    client.stream.expires_never();
    const bool wants_keep_alive = message.keep_alive();
    http_response response = call_handler(request);
    const bool keep_alive = wants_keep_alive && !stopping && !closing;
    return respond(client, std::move(response), keep_alive,
                   message.version()) &&
           keep_alive;
}

// Closing a socket with unread bytes resets the connection, and the client may
// lose the response.
void http_server::impl::discard_rest(connection& client)
{
    boost::system::error_code ignored;
    client.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    client.stream.expires_after(discard_timeout);
    std::array<char, 4096> bytes{};
    std::size_t discarded = 0;
    while (discarded < max_discarded_bytes)
    {
        const auto read = await_io(
            [&](auto done)
            {
                client.stream.async_read_some(
                    asio::buffer(bytes.data(), bytes.size()), std::move(done));
            });
        if (read.failure)
            return;
        discarded += read.value;
    }
}

http_response http_server::impl::call_handler(const http_request& request)
{
    try
    {
        return handle(request);
    }
    catch (const base::error& failure)
    {
        return error_response(status_of(failure.code()),
                              base::to_string(failure.code()),
                              failure.detail());
    }
    catch (const std::exception& failure)
    {
        log::write(event_handler_failed, {{"peer", request.peer},
                                          {"target", request.target},
                                          {"reason", failure.what()}});
        return error_response(500, "internal", "internal error");
    }
}

bool http_server::impl::respond(connection& client, http_response response,
                                bool keep_alive, unsigned version)
{
    http::response<http::string_body> message{
        static_cast<http::status>(response.status), version};
    message.set(http::field::content_type, response.content_type);
    for (const http_field& extra : response.headers)
        message.set(extra.first, extra.second);
    message.keep_alive(keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    client.stream.expires_after(write_timeout);
    const auto written = await_io(
        [&](auto done)
        { http::async_write(client.stream, message, std::move(done)); });
    return !written.failure;
}

void http_server::impl::stop_accepting()
{
    stopping = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
}

void http_server::impl::close(bool only_idle)
{
    for (connection* client : connections)
    {
        if (only_idle && !client->idle)
            continue;
        client->stream.cancel();
        boost::system::error_code ignored;
        client->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
}

http_server::builder& http_server::builder::listen_on(endpoint where)
{
    where_ = std::move(where);
    return *this;
}

http_server::builder& http_server::builder::handle_with(handler function)
{
    handler_ = std::move(function);
    return *this;
}

http_server::builder& http_server::builder::limits(http_limits bounds)
{
    limits_ = bounds;
    return *this;
}

http_server::builder& http_server::builder::idle_timeout(base::duration length)
{
    idle_timeout_ = length;
    return *this;
}

http_server::builder& http_server::builder::max_connections(std::size_t count)
{
    max_connections_ = count;
    return *this;
}

std::unique_ptr<http_server> http_server::builder::build()
{
    auto state = std::make_shared<impl>();
    state->handle = handler_;
    state->limits = limits_;
    state->idle_timeout = idle_timeout_;
    state->max_connections = max_connections_;
    try
    {
        const tcp::endpoint where(asio::ip::make_address(where_.address),
                                  where_.port);
        state->acceptor.open(where.protocol());
        state->acceptor.set_option(tcp::acceptor::reuse_address(true));
        state->acceptor.bind(where);
        state->acceptor.listen();
        const auto bound = state->acceptor.local_endpoint();
        state->local = {bound.address().to_string(), bound.port()};
    }
    catch (const boost::system::system_error& failure)
    {
        throw base::error(base::error_code::unavailable, "listen",
                          to_string(where_), failure.what());
    }
    state->fibers.spawn_restarting("accept connections", [self = state.get()]
                                   { self->accept_loop(); });
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::shared_ptr<impl> state) : impl_(std::move(state))
{
}

http_server::~http_server()
{
    stop_now();
}

const endpoint& http_server::local_endpoint() const
{
    return impl_->local;
}

std::size_t http_server::connection_count() const
{
    return impl_->connections.size();
}

void http_server::close_after_responses()
{
    impl_->closing = true;
}

bool http_server::stop_gracefully(base::time_point deadline)
{
    impl_->stop_accepting();
    impl_->close(true);
    const bool all_ended = impl_->fibers.join_until(deadline);
    if (!all_ended)
        stop_now();
    return all_ended;
}

void http_server::stop_now()
{
    impl_->stop_accepting();
    impl_->close(false);
    impl_->fibers.join();
}

} // namespace pimentograde::net
