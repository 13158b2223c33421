#include "peer/frame_stream.hpp"

#include "base/error.hpp"
#include "net/await.hpp"
#include "net/io_scheduler.hpp"
#include "peer/frame_decoder.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/timed_mutex.hpp>

#include <array>
#include <mutex>
#include <utility>
#include <vector>

namespace pimentograde::peer
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t chunk_bytes = std::size_t{16} * 1024;

std::string describe(const tcp::socket& socket)
{
    boost::system::error_code failure;
    const auto remote = socket.remote_endpoint(failure);
    if (failure)
        return "unknown";
    return net::to_string(
        net::endpoint{remote.address().to_string(), remote.port()});
}

} // namespace

struct frame_stream::impl
{
    explicit impl(tcp::socket socket)
        : remote(describe(socket)), stream(std::move(socket))
    {
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
    }

    std::string remote;
    beast::tcp_stream stream;
    boost::fibers::timed_mutex write_mutex;
    frame_decoder decoder{max_frame_bytes};
    std::vector<char> chunk = std::vector<char>(chunk_bytes);
    base::time_point last_read = base::steady_now();
    bool open = true;

    template <class Expiry>
    std::string read(Expiry expiry);
    void close();
};

frame_stream::frame_stream(tcp::socket socket)
    : impl_(std::make_unique<impl>(std::move(socket)))
{
}

frame_stream::~frame_stream() = default;

std::shared_ptr<frame_stream> frame_stream::connect(const net::endpoint& where,
                                                    base::time_point deadline)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(where.address, failure);
    if (failure)
        throw base::error(base::error_code::unavailable, "connect",
                          net::to_string(where), "not an IP address");
    beast::tcp_stream stream(net::this_thread_io());
    stream.expires_at(deadline);
    const auto connected = net::await_io<int>(
        [&](auto done) {
            stream.async_connect(tcp::endpoint(address, where.port),
                                 std::move(done));
        });
    if (connected.failure)
        throw base::error(base::error_code::unavailable, "connect",
                          net::to_string(where), connected.failure.message());
    return std::make_shared<frame_stream>(stream.release_socket());
}

void frame_stream::set_limit(std::size_t max_bytes)
{
    impl_->decoder.set_limit(max_bytes);
}

template <class Expiry>
std::string frame_stream::impl::read(Expiry expiry)
{
    while (true)
    {
        if (auto message = decoder.next())
            return std::move(*message);
        if (!open)
            throw base::error(base::error_code::cut_off, "read", remote,
                              "connection closed");
        // Each operation sets its own limit just before it starts: Beast
        // applies it only to a direction that has nothing pending.
        stream.expires_at(expiry());
        const auto received = net::await_io(
            [&](auto done)
            { stream.async_read_some(asio::buffer(chunk), std::move(done)); });
        if (received.failure)
        {
            const bool idle = received.failure == beast::error::timeout;
            close();
            throw base::error(idle ? base::error_code::timeout
                                   : base::error_code::cut_off,
                              "read", remote, received.failure.message());
        }
        last_read = base::steady_now();
        decoder.feed({chunk.data(), received.value});
    }
}

std::string frame_stream::read(base::duration idle_limit)
{
    return impl_->read([=] { return base::steady_now() + idle_limit; });
}

std::string frame_stream::read_until(base::time_point deadline)
{
    return impl_->read([=] { return deadline; });
}

void frame_stream::write(std::string_view message, base::time_point deadline)
{
    const std::string frame = encode_frame(message);
    std::unique_lock lock(impl_->write_mutex, deadline);
    if (!lock.owns_lock() || !impl_->open || deadline <= base::steady_now())
        throw base::error(base::error_code::unavailable, "write", impl_->remote,
                          impl_->open ? "deadline passed before sending"
                                      : "connection closed");
    impl_->stream.expires_at(deadline);
    const auto written = net::await_io(
        [&](auto done) {
            asio::async_write(impl_->stream, asio::buffer(frame),
                              std::move(done));
        });
    if (!written.failure)
        return;
    // The other side may have received a part of the frame.
    impl_->close();
    throw base::error(base::error_code::cut_off, "write", impl_->remote,
                      written.failure.message());
}

void frame_stream::close()
{
    impl_->close();
}

void frame_stream::impl::close()
{
    if (!open)
        return;
    open = false;
    stream.cancel();
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

bool frame_stream::is_open() const
{
    return impl_->open;
}

const std::string& frame_stream::remote() const
{
    return impl_->remote;
}

base::time_point frame_stream::last_read() const
{
    return impl_->last_read;
}

} // namespace pimentograde::peer
