#ifndef PIMENTOGRADE_NODE_SESSION_HPP
#define PIMENTOGRADE_NODE_SESSION_HPP

#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "net/task_group.hpp"
#include "node/claim_order.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// A registered instance, including this one.
struct member
{
    std::string name;
    std::string zone;
    net::endpoint address;
    /// Available processor time, in cores.
    double cores = 0.0;
    /// Store revision of the registration; larger for a later start.
    std::int64_t revision = 0;
    /// Identifies the process; 0 if its version does not tell.
    std::uint64_t incarnation = 0;
};

/// The holder of a role, such as the ownership of a pool.
struct holder
{
    std::string node;
    /// Identifies the holder's process, to distinguish restarts of an
    /// instance.
    std::uint64_t incarnation = 0;
    net::endpoint address;
    /// Store revision of the claim, used as the fence.
    std::int64_t revision = 0;
};

/// This instance's lease and registration in the store, and the registrations
/// and claims of all instances.
class session
{
public:
    struct identity
    {
        std::string name;
        std::string zone;
        std::uint64_t incarnation = 0;
        net::endpoint address;
        double cores = 0.0;
    };
    struct hooks
    {
        /// Members or holders have changed.
        std::function<void()> changed;
        /// The lease and all roles of this instance have ended.
        std::function<void()> lease_lost;
        /// Another instance has ended its registration, or lost it.
        std::function<void(const member&)> member_left = [](const member&) {
        };
        /// An instance is registered.
        std::function<void(const member&)> member_present = [](const member&) {
        };
    };

    session(identity own, platform::store_client& store, hooks functions);
    ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void start();
    /// Ends the lease, so that other instances can claim the roles at once.
    void stop();

    [[nodiscard]] bool is_registered() const { return lease_ != 0; }
    [[nodiscard]] base::time_point registered_at() const
    {
        return registered_at_;
    }
    [[nodiscard]] const identity& own() const { return own_; }
    /// Members by name.
    [[nodiscard]] const std::map<std::string, member>& members() const
    {
        return members_;
    }
    [[nodiscard]] const holder* holder_of(std::string_view role) const;
    [[nodiscard]] bool is_own(const holder& candidate) const;
    /// Whether the holder is a previous, ended process of this instance.
    [[nodiscard]] bool is_own_previous_process(const holder& candidate) const;
    /// Secret shared by all members, for authentication between them.
    [[nodiscard]] const std::string& peer_secret() const { return secret_; }
    /// Whether this instance, as far as it knows, still holds the role that it
    /// claimed at `revision`, and the last lease renewal is recent enough to
    /// send orders. `now` is a time of the clock that also runs while the
    /// machine is suspended.
    [[nodiscard]] bool may_order(std::string_view role, std::int64_t revision,
                                 base::time_point now) const;

    /// Whether the lease is certainly valid, so that no other instance can hold
    /// a role of this one.
    [[nodiscard]] bool holds_lease(base::time_point now) const;
    /// Whether the last lease renewal is recent enough to send orders under
    /// the roles of this instance.
    [[nodiscard]] bool is_renewed(base::time_point now) const;

    /// How long to wait before claiming `role`, which no other instance holds.
    /// A restarted instance resumes its own roles without a delay. `roles`
    /// lists all roles of the deployment in an order common to all instances.
    [[nodiscard]] base::duration
    delay_before_claim(std::string_view role,
                       std::span<const std::string> roles,
                       base::time_point now) const;

    /// Claims a role that is free or was held by a previous process of this
    /// instance. Returns the claim's revision, or nothing when another instance
    /// claimed it first, or while store calls take a detour: an instance that
    /// the store serves is the better holder.
    std::optional<std::int64_t> claim(std::string_view role);
    /// Whether this instance should give up one of its roles, see
    /// `node::should_hand_over`.
    [[nodiscard]] bool
    should_hand_over(std::span<const std::string> roles) const;
    /// Gives up a role that was claimed at `revision`.
    void release(std::string_view role, std::int64_t revision);
    /// Key of a role in the store.
    static std::string role_key(std::string_view role);

    /// Replaces the known members and holders by the store's items under
    /// `prefix`.
    void apply_listing(std::span<const platform::store_item> items);
    void apply_changes(std::span<const platform::store_event> events);
    static std::string_view prefix();

private:
    [[nodiscard]] std::vector<claim_candidate> candidates() const;
    [[nodiscard]] std::vector<role_holding>
    holdings(std::span<const std::string> roles) const;
    void lease_loop();
    void register_self();
    void ensure_secret();
    void renew();
    void apply_item(const platform::store_item& item);
    void read_item(const platform::store_item& item);
    /// Forgets the role's holder if it is the one of this revision.
    void forget_holder(std::string_view role, std::int64_t revision);
    void remove_key(std::string_view key, std::int64_t revision);
    [[nodiscard]] bool has_ended(const holder& candidate) const;
    void handle_lease_lost();
    [[nodiscard]] std::string holder_value() const;

    identity own_;
    platform::store_client& store_;
    hooks hooks_;
    std::int64_t lease_ = 0;
    /// Store revision of the registration under the present lease.
    std::int64_t registered_revision_ = 0;
    /// Last known revision of the registration's key. A registration without an
    /// answer may take effect seconds later, with a lease that ends, and must
    /// not replace a newer one.
    std::int64_t stored_revision_ = 0;
    base::time_point renewed_at_{};
    base::time_point registered_at_{};
    std::string secret_;
    std::map<std::string, member> members_;
    std::map<std::string, holder, std::less<>> holders_;
    net::stop_signal stop_;
    net::task_group fibers_;
};

} // namespace pimentograde::node

#endif
