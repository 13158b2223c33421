#ifndef PIMENTOGRADE_PEER_PEER_SERVER_HPP
#define PIMENTOGRADE_PEER_PEER_SERVER_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "peer/identity.hpp"
#include "peer/rpc_dispatcher.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace pimentograde::peer
{

/// Listener for other members: one fiber for each connection, and one for each
/// call, so that a call that waits does not hold up the next.
class peer_server
{
public:
    class builder
    {
    public:
        builder& listen_on(net::endpoint where);
        builder& authenticate_as(credentials own);
        /// Answers calls of `Message::method` with a `Message::reply_type`.
        /// A `base::error` becomes the caller's exception.
        template <class Message>
        builder&
        handle(std::function<typename Message::reply_type(const call_context&,
                                                          const Message&)>
                   function)
        {
            return handle(
                Message::method,
                [call = std::move(function)](const call_context& context,
                                             const Json::Value& params) {
                    return call(context, Message::from_json(params)).to_json();
                });
        }
        builder& handle(const char* method, method_handler function);
        /// Calls in progress on one connection; further ones are refused.
        builder& max_calls(std::size_t count);
        /// Connections beyond this are closed at once.
        builder& max_connections(std::size_t count);
        /// A connection without a message for this long is closed.
        builder& idle_timeout(base::duration length);
        /// Throws `base::error` when the address cannot be bound or the secret
        /// is empty.
        std::unique_ptr<peer_server> build();

    private:
        net::endpoint where_;
        credentials own_;
        method_table methods_;
        std::size_t max_calls_ = 1024;
        std::size_t max_connections_ = 256;
        base::duration idle_timeout_ = std::chrono::seconds{30};
    };

    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// The bound address, with the port that the system chose for port 0.
    [[nodiscard]] const net::endpoint& local_endpoint() const;
    [[nodiscard]] std::size_t connection_count() const;
    /// Calls in progress on all connections.
    [[nodiscard]] std::size_t call_count() const;

    /// Accepts no further connections or calls and waits for the calls in
    /// progress until the deadline. Returns whether all ended in time.
    bool stop_gracefully(base::time_point deadline);
    /// Closes everything at once and waits for the fibers.
    void stop_now();

private:
    struct impl;
    explicit peer_server(std::shared_ptr<impl> state);
    std::shared_ptr<impl> impl_;
};

} // namespace pimentograde::peer

#endif
