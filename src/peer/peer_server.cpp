#include "peer/peer_server.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "net/await.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "peer/events.hpp"
#include "peer/frame_stream.hpp"
#include "peer/handshake.hpp"
#include "peer/json_text.hpp"
#include "peer/rpc_errors.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>

#include <optional>
#include <set>
#include <utility>

namespace pimentograde::peer
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds accept_retry_delay{100};
// A caller that does not read for this long loses its connection.
constexpr std::chrono::seconds write_limit{5};

struct connection
{
    std::shared_ptr<frame_stream> stream;
    std::unique_ptr<rpc_dispatcher> dispatcher;
    std::size_t calls = 0;
};

} // namespace

struct peer_server::impl
{
    tcp::acceptor acceptor{net::this_thread_io()};
    net::endpoint local;
    credentials own;
    method_table methods;
    std::size_t max_calls = 0;
    std::size_t max_connections = 0;
    base::duration idle_timeout{};
    bool stopping = false;
    std::size_t calls = 0;
    std::set<std::shared_ptr<frame_stream>> streams;
    net::task_group fibers;
    net::task_group call_fibers;

    void bind(const net::endpoint& where);
    void accept_loop();
    void serve(const std::shared_ptr<frame_stream>& stream);
    std::optional<peer_identity> authenticate(frame_stream& stream);
    void read_calls(const std::shared_ptr<connection>& client);
    void start_call(const std::shared_ptr<connection>& client,
                    std::string request);
    static void refuse_call(connection& client, const std::string& request);
    static void send(connection& client, const std::string& response);
    void stop_accepting();
    void close_streams();
};

void peer_server::impl::bind(const net::endpoint& where)
{
    try
    {
        const tcp::endpoint address(asio::ip::make_address(where.address),
                                    where.port);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        const auto bound = acceptor.local_endpoint();
        local = {bound.address().to_string(), bound.port()};
    }
    catch (const boost::system::system_error& failure)
    {
        throw base::error(base::error_code::unavailable, "listen",
                          net::to_string(where), failure.what());
    }
}

void peer_server::impl::accept_loop()
{
    while (!stopping)
    {
        auto accepted = net::await_io<std::optional<tcp::socket>>(
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
            log::write(event_peer_accept_failed,
                       {{"listener", net::to_string(local)},
                        {"reason", accepted.failure.message()}});
            boost::this_fiber::sleep_for(accept_retry_delay);
            continue;
        }
        if (streams.size() >= max_connections)
            continue; // the socket closes here
        auto stream =
            std::make_shared<frame_stream>(std::move(*accepted.value));
        fibers.spawn([this, stream] { serve(stream); });
    }
}

void peer_server::impl::serve(const std::shared_ptr<frame_stream>& stream)
{
    streams.insert(stream);
    if (const auto remote = authenticate(*stream))
    {
        auto client = std::make_shared<connection>();
        client->stream = stream;
        const std::weak_ptr<frame_stream> watched = stream;
        client->dispatcher = std::make_unique<rpc_dispatcher>(
            methods, call_context{*remote, [watched]
                                  {
                                      const auto held = watched.lock();
                                      return held && held->is_open();
                                  }});
        read_calls(client);
    }
    stream->close();
    streams.erase(stream);
}

std::optional<peer_identity>
peer_server::impl::authenticate(frame_stream& stream)
{
    try
    {
        return accept_handshake(stream, own,
                                base::steady_now() + handshake_limit);
    }
    catch (const base::error& failure)
    {
        if (!stopping)
            log::write(event_handshake_refused,
                       {{"peer", stream.remote()},
                        {"reason", base::to_string(failure.code())},
                        {"detail", failure.detail()}});
        return std::nullopt;
    }
}

void peer_server::impl::read_calls(const std::shared_ptr<connection>& client)
{
    try
    {
        while (!stopping)
        {
            std::string request = client->stream->read(idle_timeout);
            if (stopping)
                return;
            if (client->calls >= max_calls)
                refuse_call(*client, request);
            else
                start_call(client, std::move(request));
        }
    }
    catch (const base::error& failure)
    {
        // The end of a connection is ordinary; a wrong length is not.
        if (failure.code() == base::error_code::too_large ||
            failure.code() == base::error_code::invalid)
            log::write(event_malformed_message,
                       {{"peer", client->stream->remote()},
                        {"reason", failure.detail()}});
    }
}

void peer_server::impl::start_call(const std::shared_ptr<connection>& client,
                                   std::string request)
{
    ++client->calls;
    ++calls;
    call_fibers.spawn(
        [this, client, text = std::move(request)]
        {
            const std::string response = client->dispatcher->respond(text);
            if (!response.empty())
                send(*client, response);
            --client->calls;
            --calls;
        });
}

void peer_server::impl::refuse_call(connection& client,
                                    const std::string& request)
{
    log::write(event_too_many_calls, {{"peer", client.stream->remote()}});
    const auto id = message_id(request);
    if (id)
        send(client,
             error_response(*id, base::error(base::error_code::refused, "call",
                                             "", "too many calls")));
    else
        client.stream->close();
}

void peer_server::impl::send(connection& client, const std::string& response)
{
    try
    {
        client.stream->write(response, base::steady_now() + write_limit);
    }
    catch (const base::error& failure)
    {
        // Too large: the caller would wait for nothing on this connection.
        if (failure.code() == base::error_code::too_large)
            log::write(event_malformed_message,
                       {{"peer", client.stream->remote()},
                        {"reason", failure.detail()}});
        client.stream->close();
    }
}

void peer_server::impl::stop_accepting()
{
    stopping = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
}

void peer_server::impl::close_streams()
{
    for (const auto& stream : std::set(streams))
        stream->close();
}

peer_server::builder& peer_server::builder::listen_on(net::endpoint where)
{
    where_ = std::move(where);
    return *this;
}

peer_server::builder& peer_server::builder::authenticate_as(credentials own)
{
    own_ = std::move(own);
    return *this;
}

peer_server::builder& peer_server::builder::handle(const char* method,
                                                   method_handler function)
{
    methods_[method] = std::move(function);
    return *this;
}

peer_server::builder& peer_server::builder::max_calls(std::size_t count)
{
    max_calls_ = count;
    return *this;
}

peer_server::builder& peer_server::builder::max_connections(std::size_t count)
{
    max_connections_ = count;
    return *this;
}

peer_server::builder& peer_server::builder::idle_timeout(base::duration length)
{
    idle_timeout_ = length;
    return *this;
}

std::unique_ptr<peer_server> peer_server::builder::build()
{
    if (own_.secret.empty())
        throw base::error(base::error_code::invalid, "listen",
                          net::to_string(where_), "no shared secret");
    auto state = std::make_shared<impl>();
    state->own = own_;
    state->methods = methods_;
    state->max_calls = max_calls_;
    state->max_connections = max_connections_;
    state->idle_timeout = idle_timeout_;
    state->bind(where_);
    state->fibers.spawn_restarting("accept connections", [self = state.get()]
                                   { self->accept_loop(); });
    return std::unique_ptr<peer_server>(new peer_server(std::move(state)));
}

peer_server::peer_server(std::shared_ptr<impl> state) : impl_(std::move(state))
{
}

peer_server::~peer_server()
{
    stop_now();
}

const net::endpoint& peer_server::local_endpoint() const
{
    return impl_->local;
}

std::size_t peer_server::connection_count() const
{
    return impl_->streams.size();
}

std::size_t peer_server::call_count() const
{
    return impl_->calls;
}

bool peer_server::stop_gracefully(base::time_point deadline)
{
    impl_->stop_accepting();
    const bool all_ended = impl_->call_fibers.join_until(deadline);
    stop_now();
    return all_ended;
}

void peer_server::stop_now()
{
    impl_->stop_accepting();
    impl_->close_streams();
    impl_->fibers.join();
    impl_->call_fibers.join();
}

} // namespace pimentograde::peer
