#ifndef PIMENTOGRADE_PEER_FRAME_STREAM_HPP
#define PIMENTOGRADE_PEER_FRAME_STREAM_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace pimentograde::peer
{

/// A TCP connection that carries frames. One fiber reads; any number write.
class frame_stream
{
public:
    explicit frame_stream(boost::asio::ip::tcp::socket socket);
    /// Throws `base::error` with `unavailable`.
    static std::shared_ptr<frame_stream> connect(const net::endpoint& where,
                                                 base::time_point deadline);
    ~frame_stream();
    frame_stream(const frame_stream&) = delete;
    frame_stream& operator=(const frame_stream&) = delete;

    /// Largest message that `read` accepts.
    void set_limit(std::size_t max_bytes);
    /// Waits for a complete message. Throws `base::error`: `timeout` after
    /// `idle_limit` without a byte, `cut_off` when the connection ended,
    /// `too_large` or `invalid` for a wrong length.
    std::string read(base::duration idle_limit);
    /// As above, with a deadline for the complete message.
    std::string read_until(base::time_point deadline);
    /// Throws `base::error`: `unavailable` when nothing was sent, `cut_off`
    /// when a part may have been; the connection is closed then.
    void write(std::string_view message, base::time_point deadline);

    void close();
    [[nodiscard]] bool is_open() const;
    /// Address and port of the other side, for errors and logs.
    [[nodiscard]] const std::string& remote() const;
    /// When bytes last arrived.
    [[nodiscard]] base::time_point last_read() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::peer

#endif
