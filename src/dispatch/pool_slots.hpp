#ifndef PIMENTOGRADE_DISPATCH_POOL_SLOTS_HPP
#define PIMENTOGRADE_DISPATCH_POOL_SLOTS_HPP

#include "policy/slot_broker.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace pimentograde::dispatch
{

/// The broker of one pool, with the fibers that wait for its decisions. A timer
/// fiber runs only while requests are waiting.
class pool_slots
{
public:
    explicit pool_slots(policy::broker_settings settings);
    /// No request may be waiting when this is called.
    ~pool_slots();
    pool_slots(const pool_slots&) = delete;
    pool_slots& operator=(const pool_slots&) = delete;

    /// Call `deliver` after each change to the broker.
    [[nodiscard]] policy::slot_broker& broker();

    /// Suspends the fiber until the request is decided. Returns nullopt if the
    /// pool has a new broker, where the request must be repeated. Calls
    /// `on_wait` if the request has to wait.
    std::optional<policy::slot_decision>
    acquire(const policy::slot_request& request, const base::member_id& holder,
            const policy::request_estimate& estimate,
            const std::function<void()>& on_wait);
    /// Wakes the fibers whose requests have been decided.
    void deliver();
    /// Withdraws a waiting request or releases its grant as unused. Returns the
    /// borrowed slot that must be returned to its lender, if any.
    std::optional<policy::slot_grant> cancel(const std::string& request_id);
    /// Removes a member. Returns the borrowed slots that must be returned to
    /// their lenders.
    std::vector<policy::slot_grant> drop_member(const base::member_id& member);
    /// Redirects all waiting requests to the pool's new broker. Returns their
    /// number.
    std::size_t redirect_waiting();
    void refuse_waiting(policy::slot_refusal reason);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
