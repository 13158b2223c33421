#ifndef PIMENTOGRADE_PEER_PEER_CLIENT_HPP
#define PIMENTOGRADE_PEER_PEER_CLIENT_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "peer/identity.hpp"

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::peer
{

/// Calls one other member over a single connection that carries any number of
/// calls at once. Connects on the first call and again after a failure, with
/// jittered exponential backoff.
class peer_client
{
public:
    /// Called with the method and result of a response that arrived after its
    /// call had timed out, for example to return a granted slot.
    using late_result_hook =
        std::function<void(const std::string&, const Json::Value&)>;

    class builder
    {
    public:
        builder& connect_to(net::endpoint where);
        builder& authenticate_as(credentials own);
        builder& on_late_result(late_result_hook hook);
        /// Seed of the backoff's jitter; by default from the system.
        builder& random_seed(std::uint64_t seed);
        /// Throws `base::error` with `invalid` when the secret is empty.
        std::unique_ptr<peer_client> build();

    private:
        net::endpoint where_;
        credentials own_;
        late_result_hook late_;
        std::optional<std::uint64_t> seed_;
    };

    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    /// Sends `message` and waits for the reply. Throws `base::error`:
    /// `unavailable` when nothing was sent (also while the backoff lasts),
    /// `timeout` or `cut_off` when the peer may have acted, also when its reply
    /// cannot be read, otherwise the error of the peer's handler.
    template <class Message>
    typename Message::reply_type send(const Message& message,
                                      base::time_point deadline)
    {
        const Json::Value reply =
            call(Message::method, message.to_json(), deadline);
        try
        {
            return Message::reply_type::from_json(reply);
        }
        catch (const std::exception& failure)
        {
            throw unreadable_reply(Message::method, failure.what());
        }
    }
    Json::Value call(const std::string& method, const Json::Value& params,
                     base::time_point deadline);

    [[nodiscard]] const net::endpoint& address() const;
    /// The other side while connected.
    [[nodiscard]] std::optional<peer_identity> remote() const;

    /// Closes the connection; pending calls fail with `cut_off` and further
    /// calls with `unavailable`.
    void stop();

private:
    struct impl;
    [[nodiscard]] base::error unreadable_reply(const std::string& method,
                                               std::string_view reason) const;
    explicit peer_client(std::shared_ptr<impl> state);
    std::shared_ptr<impl> impl_;
};

} // namespace pimentograde::peer

#endif
