#ifndef PIMENTOGRADE_DISPATCH_SLOT_SERVICE_HPP
#define PIMENTOGRADE_DISPATCH_SLOT_SERVICE_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "config/bundle.hpp"
#include "policy/leaving_registry.hpp"
#include "policy/lending_policy.hpp"
#include "policy/outlier_ejector.hpp"
#include "policy/slot.hpp"
#include "provider/worker_operations.hpp"

#include <boost/json/object.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace pimentograde::dispatch
{

/// Pool of a worker according to the fleet state.
struct worker_placement
{
    base::worker_id worker;
    base::pool_name pool;
    /// Whether the worker's state allows it to take work.
    bool in_service = true;
};

/// Calls to other members. All throw `base::error`: `conflict` when the other
/// member is not the pool's broker, `unavailable` when the call had no effect,
/// `timeout` or `cut_off` when it is unknown whether it had one.
struct slot_hooks
{
    /// Suspends the fiber until the request is granted or refused.
    std::function<policy::slot_decision(const base::member_id& broker,
                                        const policy::slot_request&)>
        remote_acquire;
    std::function<void(const base::member_id& broker,
                       const policy::slot_request&, const policy::slot_grant&,
                       policy::slot_outcome, base::duration run_time)>
        remote_release;
    /// The request's pool is the lender's pool.
    std::function<policy::slot_decision(const base::member_id& lender,
                                        const policy::slot_request&)>
        remote_borrow;
    /// Returns an empty id when no member is known. Must not suspend the fiber.
    std::function<base::member_id(const base::pool_name&)> broker_of;
};

struct slot_counters
{
    /// Refused requests for this member's tasks, by `slot_refusal`.
    std::array<std::uint64_t, 6> refused{};
    std::uint64_t granted = 0;
    std::uint64_t retried = 0;
    /// Slots that this member, as a broker, borrowed from other pools.
    std::uint64_t borrowed = 0;
    /// Slots that this member, as a broker, lent to other pools.
    std::uint64_t lent = 0;
    /// Workers chosen without a broker.
    std::uint64_t unbrokered = 0;
    std::uint64_t redirected = 0;
    std::uint64_t releases_lost = 0;
};

/// Acquires and releases slots of all pools for one entry instance, either from
/// the pool's broker or as the broker. Must be called by fibers of one thread
/// only.
class slot_service
{
public:
    class builder;
    /// All callers of `acquire` and `handle_acquire` must have returned.
    ~slot_service();
    slot_service(const slot_service&) = delete;
    slot_service& operator=(const slot_service&) = delete;

    /// Valid as long as this object.
    [[nodiscard]] policy::slot_operations operations();
    policy::slot_decision acquire(const policy::slot_request& request);
    void release(const policy::slot_request& request,
                 const policy::slot_grant& grant, policy::slot_outcome outcome,
                 base::duration run_time);

    /// Handlers for calls of other members. They throw `base::error` with
    /// `conflict` when this member is not the broker. `handle_acquire` throws
    /// `unavailable` when this member is stopping.
    policy::slot_decision handle_acquire(const base::member_id& from,
                                         const policy::slot_request& request);
    policy::slot_decision handle_borrow(const base::member_id& from,
                                        const policy::slot_request& request);
    /// With `unused`, also withdraws a request that is still waiting. Does not
    /// throw for unknown grants.
    void handle_release(const base::member_id& from,
                        const policy::slot_request& request,
                        const policy::slot_grant& grant,
                        policy::slot_outcome outcome, base::duration run_time);

    /// Applies the bundle and the fleet state. A worker of the bundle without a
    /// placement is in service, in the pool that the bundle gives it.
    void set_fleet(const config::bundle& bundle,
                   std::span<const worker_placement> placements);
    /// Must be called when `broker_of` may have changed. Redirects requests
    /// that wait here for pools whose broker is now another member.
    void update_brokers();
    void drop_member(const base::member_id& member);
    void record_leaving(const base::worker_id& worker,
                        policy::leaving_source source,
                        std::uint64_t incarnation);
    void clear_leaving(const base::worker_id& worker,
                       policy::leaving_source source);
    void record_report(const base::worker_id& worker,
                       const provider::worker_report& report);
    /// Sets the idle slots of another member's pool, used to choose a lender.
    void set_idle_slots(const base::pool_name& pool, std::uint32_t idle_slots);

    /// Refuses all waiting and new requests with reason `stopping`.
    void stop();

    /// For heartbeats.
    [[nodiscard]] std::vector<policy::leaving_hint> leaving_hints() const;
    /// Idle slots of the pools that this member is the broker of.
    [[nodiscard]] std::vector<policy::lender_candidate> idle_slots() const;
    /// Slots lent for longer than the limit; their tasks may be checkpointed.
    [[nodiscard]] std::vector<policy::slot_grant> overdue_loans() const;
    [[nodiscard]] bool is_leaving(const base::worker_id& worker) const;
    [[nodiscard]] const slot_counters& counters() const;
    [[nodiscard]] std::uint64_t refused(policy::slot_refusal reason) const;
    /// State for the dump: each pool, and the counters.
    [[nodiscard]] boost::json::object snapshot() const;

private:
    struct impl;
    explicit slot_service(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

class slot_service::builder
{
public:
    builder& self(base::member_id member);
    builder& hooks(slot_hooks hooks);
    builder& lending(policy::lending_settings settings);
    builder& ejection(policy::ejection_settings settings);
    /// Seed of the random choices; taken from system entropy if not set.
    builder& seed(std::uint64_t value);
    std::unique_ptr<slot_service> build();

private:
    base::member_id self_;
    slot_hooks hooks_;
    policy::lending_settings lending_;
    policy::ejection_settings ejection_;
    std::optional<std::uint64_t> seed_;
};

} // namespace pimentograde::dispatch

#endif
