#ifndef PIMENTOGRADE_MEMBERSHIP_MEMBER_SERVICE_HPP
#define PIMENTOGRADE_MEMBERSHIP_MEMBER_SERVICE_HPP

#include "base/time.hpp"
#include "membership/member_table.hpp"
#include "net/endpoint.hpp"
#include "peer/messages.hpp"
#include "peer/peer_client.hpp"
#include "peer/rpc_dispatcher.hpp"
#include "provider/kv_operations.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentograde::membership
{

/// A new incarnation: higher than all from earlier milliseconds, and different
/// from others of the same millisecond.
std::uint64_t new_incarnation(base::wall_time now, std::uint64_t random_bits);

/// Keeps the member table up to date: registers this member in the store,
/// sends heartbeats to all known members, and finds new ones through the
/// store, through heartbeats and through a list of first contacts. Goes on
/// without the store.
class member_service
{
public:
    using change_listener = std::function<void(const member_change&)>;
    /// Called for each valid heartbeat of another member, also for replies, at
    /// `now` of the service's clock.
    using heartbeat_listener =
        std::function<void(const peer::heartbeat&, base::time_point now)>;

    class builder
    {
    public:
        /// Address at which other members reach this one.
        builder& self(peer::member_entry entry);
        builder& secret(std::string shared);
        builder& store(provider::kv_operations operations);
        /// Addresses that are contacted whether or not anybody names them.
        builder& first_contacts(std::vector<net::endpoint> addresses);
        /// Adds the document versions to an outgoing heartbeat.
        builder& fill_heartbeat(std::function<void(peer::heartbeat&)> hook);
        builder& on_late_result(peer::peer_client::late_result_hook hook);
        builder& random_seed(std::uint64_t seed);
        /// Clock of silence and pauses, by default the one that also runs
        /// while the machine is suspended.
        builder& clock(std::function<base::time_point()> now);
        std::unique_ptr<member_service> build();

    private:
        friend class member_service;
        peer::member_entry self_;
        std::string secret_;
        provider::kv_operations store_;
        std::vector<net::endpoint> first_contacts_;
        std::function<void(peer::heartbeat&)> fill_;
        peer::peer_client::late_result_hook late_;
        std::optional<std::uint64_t> seed_;
        std::function<base::time_point()> clock_ = base::suspend_aware_now;
    };

    ~member_service();
    member_service(const member_service&) = delete;
    member_service& operator=(const member_service&) = delete;

    [[nodiscard]] member_table& table();
    /// Connection to a known member; null when unknown or this member itself.
    [[nodiscard]] std::shared_ptr<peer::peer_client>
    client_of(const base::member_id& id) const;
    /// Connections to all live members but this one.
    [[nodiscard]] std::vector<std::shared_ptr<peer::peer_client>>
    live_clients() const;
    /// This member's heartbeat as it would be sent now.
    [[nodiscard]] peer::heartbeat own_heartbeat() const;

    /// Handlers for the peer server. Throw `base::error` with `unauthorized`
    /// when the message names another sender than the connection.
    peer::heartbeat receive(const peer::call_context& context,
                            const peer::heartbeat& beat);
    peer::acknowledgement receive(const peer::call_context& context,
                                  const peer::leaving& message);

    void on_change(change_listener listener);
    void on_heartbeat(heartbeat_listener listener);

    void start();
    /// Tells all live members that this one ends, and gives up its ownership.
    void announce_leaving(base::time_point deadline);
    /// Gives up the registration and ends the fibers.
    void stop();

private:
    struct impl;
    explicit member_service(std::shared_ptr<impl> state);
    std::shared_ptr<impl> impl_;
};

} // namespace pimentograde::membership

#endif
