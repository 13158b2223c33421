#ifndef PIMENTOGRADE_NET_HTTP_CLIENT_HPP
#define PIMENTOGRADE_NET_HTTP_CLIENT_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace pimentograde::net
{

/// HTTP/1.1 client that keeps idle connections for reuse.
class http_client
{
public:
    class builder
    {
    public:
        /// Idle connections kept for each endpoint.
        builder& max_idle(std::size_t count);
        builder& limits(http_limits bounds);
        std::unique_ptr<http_client> build();

    private:
        std::size_t max_idle_ = 64;
        http_limits limits_;
    };

    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends one request and returns the complete response, whatever its
    /// status. Never sends a request twice.
    ///
    /// Throws `base::error` with code `unavailable` when nothing was sent, and
    /// with `timeout` or `cut_off` when the server may have acted. `step`
    /// names the operation in the error.
    http_response send(const endpoint& where, const http_request& request,
                       base::time_point deadline, std::string_view step);

    /// Closes the connections of all calls in progress, which then fail with
    /// `cut_off`. Ends long polls at a planned stop.
    void cancel();

private:
    struct impl;
    explicit http_client(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::net

#endif
