#ifndef PIMENTOGRADE_NET_HTTP_SERVER_HPP
#define PIMENTOGRADE_NET_HTTP_SERVER_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace pimentograde::net
{

/// HTTP/1.1 server with one fiber for each connection.
class http_server
{
public:
    using handler = std::function<http_response(const http_request&)>;

    class builder
    {
    public:
        builder& listen_on(endpoint where);
        /// Called on the connection's fiber. A `base::error` becomes a JSON
        /// error response, any other exception status 500.
        builder& handle_with(handler function);
        builder& limits(http_limits bounds);
        /// Longest time to receive one request, including idle time.
        builder& idle_timeout(base::duration length);
        /// Connections beyond this are closed at once.
        builder& max_connections(std::size_t count);
        /// Throws `base::error` when the address cannot be bound.
        std::unique_ptr<http_server> build();

    private:
        endpoint where_;
        handler handler_;
        http_limits limits_;
        base::duration idle_timeout_ = std::chrono::seconds{60};
        std::size_t max_connections_ = 4096;
    };

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The bound address, with the port that the system chose for port 0.
    [[nodiscard]] const endpoint& local_endpoint() const;
    [[nodiscard]] std::size_t connection_count() const;

    /// From now on each response closes its connection, so that clients move
    /// to other servers. Further connections are still accepted.
    void close_after_responses();
    /// Stops accepting, closes idle connections, waits for the requests in
    /// progress until the deadline, then closes the rest. Returns whether
    /// every request ended in time.
    bool stop_gracefully(base::time_point deadline);
    /// Closes everything at once and waits for the fibers.
    void stop_now();

private:
    struct impl;
    explicit http_server(std::shared_ptr<impl> state);
    std::shared_ptr<impl> impl_;
};

} // namespace pimentograde::net

#endif
