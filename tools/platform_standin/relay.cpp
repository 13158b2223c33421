#include "platform_standin/relay.hpp"

#include "net/await.hpp"
#include "net/io_scheduler.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <array>
#include <optional>

namespace pimentograde::platform_standin
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t chunk_bytes = 4096;
constexpr auto hold_check_interval = 5ms;

} // namespace

struct relay::connection
{
    explicit connection(tcp::socket accepted)
        : client(std::move(accepted)), server(net::this_thread_io())
    {
    }
    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
};

relay::relay(net::endpoint server)
    : server_(std::move(server)), acceptor_(net::this_thread_io())
{
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen();
    local_ = {"127.0.0.1", acceptor_.local_endpoint().port()};
    fibers_.spawn([this] { accept_loop(); });
}

relay::~relay()
{
    is_stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    cut();
    fibers_.join();
}

const net::endpoint& relay::local_endpoint() const
{
    return local_;
}

void relay::cut()
{
    for (connection* entry : connections_)
        entry->close();
}

void relay::accept_loop()
{
    while (!is_stopping_)
    {
        auto accepted = net::await_io<std::optional<tcp::socket>>(
            [this](auto done)
            {
                acceptor_.async_accept(
                    [done](const boost::system::error_code& failure,
                           tcp::socket socket) mutable
                    { done(failure, std::move(socket)); });
            });
        if (is_stopping_)
            return;
        if (accepted.failure || refuses)
            continue; // the socket closes here
        auto entry = std::make_shared<connection>(std::move(*accepted.value));
        fibers_.spawn([this, entry] { serve(entry); });
    }
}

void relay::serve(const std::shared_ptr<connection>& entry)
{
    connections_.insert(entry.get());
    const tcp::endpoint where(asio::ip::make_address(server_.address),
                              server_.port);
    const auto connected = net::await_io<std::size_t>(
        [&](auto done)
        {
            entry->server.async_connect(
                where, [done](const boost::system::error_code& failure) mutable
                { done(failure, std::size_t{0}); });
        });
    if (!connected.failure)
    {
        net::task_group answers;
        answers.spawn([this, entry]
                      { pass(entry->server, entry->client, holds_answers); });
        pass(entry->client, entry->server, holds_requests);
        answers.join();
    }
    connections_.erase(entry.get());
    entry->close();
}

void relay::pass(tcp::socket& from, tcp::socket& to, const bool& holds)
{
    std::array<char, chunk_bytes> chunk{};
    while (!is_stopping_)
    {
        const auto got = net::await_io(
            [&](auto done)
            { from.async_read_some(asio::buffer(chunk), std::move(done)); });
        if (got.failure)
            break;
        while (holds && !is_stopping_)
            boost::this_fiber::sleep_for(hold_check_interval);
        const auto sent = net::await_io(
            [&](auto done) {
                asio::async_write(to, asio::buffer(chunk, got.value),
                                  std::move(done));
            });
        if (sent.failure)
            break;
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace pimentograde::platform_standin
