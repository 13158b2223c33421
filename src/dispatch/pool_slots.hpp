#ifndef PIMENTOGRADE_DISPATCH_POOL_SLOTS_HPP
#define PIMENTOGRADE_DISPATCH_POOL_SLOTS_HPP

#include "policy/slot_broker.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace pimentograde::dispatch
{

/// The broker of one pool with the fibers that wait for it. A timer fiber runs
/// only while requests wait.
class pool_slots
{
public:
    explicit pool_slots(policy::broker_settings settings);
    /// No request may wait any more.
    ~pool_slots();
    pool_slots(const pool_slots&) = delete;
    pool_slots& operator=(const pool_slots&) = delete;

    /// Call `deliver` after each change.
    [[nodiscard]] policy::slot_broker& broker();

    /// Suspends the fiber until a decision. Nothing when the request has to be
    /// made at the pool's new broker. `on_wait` runs when it has to wait.
    std::optional<policy::slot_decision>
    acquire(const policy::slot_request& request, const base::member_id& holder,
            const policy::request_estimate& estimate,
            const std::function<void()>& on_wait);
    /// Wakes the fibers whose requests were decided.
    void deliver();
    /// Withdraws a waiting request or returns its grant unused. Returns the
    /// borrowed slot to give back, if any.
    std::optional<policy::slot_grant> cancel(const std::string& request_id);
    /// Drops a member; returns the borrowed slots to give back.
    std::vector<policy::slot_grant> drop_member(const base::member_id& member);
    /// Makes all waiting requests ask another broker. Returns their number.
    std::size_t redirect_waiting();
    void refuse_waiting(policy::slot_refusal reason);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
