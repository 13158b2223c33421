#ifndef PIMENTOGRADE_STANDIN_LOSSY_SERVER_HPP
#define PIMENTOGRADE_STANDIN_LOSSY_SERVER_HPP

#include "net/endpoint.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace pimentograde::standin
{

enum class delivery
{
    complete,
    /// The connection closes in the middle of the response.
    truncated,
    /// The body is cut, and Content-Length states the cut length.
    short_body,
    /// The connection closes without a response.
    lost,
    /// The body is sent as it is, without status line and header.
    raw
};

struct reply
{
    net::http_response response;
    delivery how = delivery::complete;
    /// Share of the bytes that is sent when cut, in [0, 1).
    double sent_share = 0.5;
};

/// HTTP server that can lose and cut responses, and close and reopen its port.
class lossy_server
{
public:
    using handler = std::function<reply(const net::http_request&)>;

    class builder
    {
    public:
        builder& listen_on(net::endpoint where);
        /// Called on the connection's fiber; may block that fiber. A
        /// `base::error` becomes an error response.
        builder& handle_with(handler function);
        /// Requests on connections beyond this number are refused with
        /// status 503.
        builder& max_connections(std::size_t count);
        /// Throws `base::error` when the address cannot be bound.
        std::unique_ptr<lossy_server> build();

    private:
        net::endpoint where_;
        handler handler_;
        std::size_t max_connections_ = 4096;
    };

    ~lossy_server();
    lossy_server(const lossy_server&) = delete;
    lossy_server& operator=(const lossy_server&) = delete;

    [[nodiscard]] const net::endpoint& local_endpoint() const;
    [[nodiscard]] std::size_t connection_count() const;
    [[nodiscard]] bool is_open() const;
    /// Listens again on the same port. Returns whether the port is open; it
    /// may be in use by another process for a while.
    bool open();
    /// Closes the port and all connections. Handlers in progress go on; their
    /// responses are dropped.
    void close();
    /// Waits for the handlers in progress, which the owner makes return.
    void join();

private:
    struct impl;
    explicit lossy_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// A well-formed error response, as the platform sends it.
net::http_response error_response(unsigned status, std::string_view error,
                                  std::string_view detail);

} // namespace pimentograde::standin

#endif
