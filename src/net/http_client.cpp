#include "net/http_client.hpp"

#include "base/error.hpp"
#include "net/await.hpp"
#include "net/io_scheduler.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace pimentograde::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
// With the executor's real type: the one of `beast::tcp_stream` is type-erased
// and copied for each operation.
using tcp_stream = beast::basic_stream<tcp, asio::io_context::executor_type>;

namespace
{

// Servers close idle connections after 60 s; a shorter time here avoids
// sending on a connection that is just being closed.
constexpr std::chrono::seconds max_idle_time{20};

struct idle_connection
{
    std::unique_ptr<tcp_stream> stream;
    base::time_point since;
};

} // namespace

struct http_client::impl
{
    std::size_t max_idle = 0;
    http_limits limits;
    std::map<endpoint, std::vector<idle_connection>> idle;
    std::set<tcp_stream*> busy;

    std::unique_ptr<tcp_stream> take_idle(const endpoint& where,
                                          base::time_point now);
    /// Connections that went silent do so together: after a timeout the idle
    /// ones to the same peer are not used again.
    void drop_idle(const endpoint& where,
                   const boost::system::error_code& failure);
    void keep(const endpoint& where, std::unique_ptr<tcp_stream> stream,
              base::time_point now);
};

namespace
{

// A server that closed the connection, or sent data unasked, leaves something
// to read on an idle connection.
bool is_reusable(tcp_stream::socket_type& socket)
{
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

std::unique_ptr<tcp_stream>
connect(const endpoint& where, base::time_point deadline, std::string_view step)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(where.address, failure);
    if (failure)
        throw base::error(base::error_code::invalid, std::string(step),
                          to_string(where), "not an IP address");
    auto stream = std::make_unique<tcp_stream>(this_thread_io());
    stream->expires_at(deadline);
    const auto connected = await_io<int>(
        [&](auto done)
        {
            stream->async_connect(tcp::endpoint(address, where.port),
                                  std::move(done));
        });
    if (connected.failure)
        throw base::error(base::error_code::unavailable, std::string(step),
                          to_string(where), connected.failure.message());
    stream->socket().set_option(tcp::no_delay(true), failure);
    return stream;
}

http::request<http::string_body> to_message(const endpoint& where,
                                            const http_request& request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host,
                request.host.empty() ? to_string(where) : request.host);
    for (const http_field& extra : request.headers)
        message.set(extra.first, extra.second);
    if (!request.authorization.empty())
        message.set(http::field::authorization, request.authorization);
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

// Registers a connection as in use while it exists.
class busy_guard
{
public:
    busy_guard(std::set<tcp_stream*>& busy, tcp_stream& stream)
        : busy_(busy), stream_(stream)
    {
        busy_.insert(&stream_);
    }
    ~busy_guard() { busy_.erase(&stream_); }
    busy_guard(const busy_guard&) = delete;
    busy_guard& operator=(const busy_guard&) = delete;

private:
    std::set<tcp_stream*>& busy_;
    tcp_stream& stream_;
};

base::error exchange_error(const boost::system::error_code& failure,
                           const endpoint& where, std::string_view step)
{
    const bool timed_out = failure == beast::error::timeout;
    return {timed_out ? base::error_code::timeout : base::error_code::cut_off,
            std::string(step), to_string(where), failure.message()};
}

} // namespace

std::unique_ptr<tcp_stream> http_client::impl::take_idle(const endpoint& where,
                                                         base::time_point now)
{
    const auto found = idle.find(where);
    if (found == idle.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty())
    {
        idle_connection last = std::move(connections.back());
        connections.pop_back();
        if (now - last.since < max_idle_time &&
            is_reusable(last.stream->socket()))
            return std::move(last.stream);
    }
    idle.erase(found);
    return nullptr;
}

void http_client::impl::drop_idle(const endpoint& where,
                                  const boost::system::error_code& failure)
{
    if (failure == beast::error::timeout)
        idle.erase(where);
}

void http_client::impl::keep(const endpoint& where,
                             std::unique_ptr<tcp_stream> stream,
                             base::time_point now)
{
    auto& connections = idle[where];
    if (connections.size() >= max_idle)
        return;
    stream->expires_never();
    connections.push_back({std::move(stream), now});
}

http_client::builder& http_client::builder::max_idle(std::size_t count)
{
    max_idle_ = count;
    return *this;
}

http_client::builder& http_client::builder::limits(http_limits bounds)
{
    limits_ = bounds;
    return *this;
}

std::unique_ptr<http_client> http_client::builder::build()
{
    auto state = std::make_unique<impl>();
    state->max_idle = max_idle_;
    state->limits = limits_;
    return std::unique_ptr<http_client>(new http_client(std::move(state)));
}

http_client::http_client(std::unique_ptr<impl> state) : impl_(std::move(state))
{
}

http_client::~http_client() = default;

void http_client::cancel()
{
    for (tcp_stream* stream : impl_->busy)
        stream->cancel();
}

http_response http_client::send(const endpoint& where,
                                const http_request& request,
                                base::time_point deadline,
                                std::string_view step)
{
    const base::time_point now = base::steady_now();
    if (deadline <= now)
        throw base::error(base::error_code::unavailable, std::string(step),
                          to_string(where), "deadline passed before sending");
    auto stream = impl_->take_idle(where, now);
    if (!stream)
        stream = connect(where, deadline, step);
    const busy_guard guard(impl_->busy, *stream);
    stream->expires_at(deadline);
    const auto message = to_message(where, request);
    // Connecting may take long enough for a permission to run out.
    if (request.may_send && !request.may_send())
    {
        impl_->keep(where, std::move(stream), base::steady_now());
        throw base::error(base::error_code::unavailable, std::string(step),
                          to_string(where),
                          "no longer permitted before sending");
    }
    const auto written =
        await_io([&](auto done)
                 { http::async_write(*stream, message, std::move(done)); });
    if (written.failure)
    {
        impl_->drop_idle(where, written.failure);
        throw exchange_error(written.failure, where, step);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.header_limit(
        static_cast<std::uint32_t>(impl_->limits.max_header_bytes));
    parser.body_limit(impl_->limits.max_body_bytes);
    const auto read = await_io(
        [&](auto done)
        { http::async_read(*stream, buffer, parser, std::move(done)); });
    if (read.failure)
    {
        impl_->drop_idle(where, read.failure);
        throw exchange_error(read.failure, where, step);
    }
    auto& reply = parser.get();
    http_response response{reply.result_int(),
                           std::move(reply.body()),
                           std::string(reply[http::field::content_type]),
                           {}};
    for (const auto& field : reply)
        response.headers.emplace_back(field.name_string(), field.value());
    // Bytes beyond the response would be taken for the next answer.
    if (reply.keep_alive() && buffer.size() == 0)
        impl_->keep(where, std::move(stream), base::steady_now());
    return response;
}

} // namespace pimentograde::net
