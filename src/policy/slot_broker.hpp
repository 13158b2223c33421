#ifndef PIMENTOGRADE_POLICY_SLOT_BROKER_HPP
#define PIMENTOGRADE_POLICY_SLOT_BROKER_HPP

#include "base/random_source.hpp"
#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "policy/lending_policy.hpp"
#include "policy/outlier_ejector.hpp"
#include "policy/slot.hpp"
#include "policy/wait_queue.hpp"
#include "policy/worker_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pimentograde::policy
{

struct broker_queue
{
    base::queue_name name;
    std::uint32_t max_waiting = 0;
    base::duration max_wait{};
};

struct broker_department
{
    base::department_name name;
    std::uint32_t quota_slots = 0;
};

/// Settings of a broker that come from the bundle.
struct broker_terms
{
    std::vector<broker_queue> queues;
    std::vector<broker_department> departments;
    /// Workers required by the availability budgets of the pool's departments.
    std::uint32_t min_workers = 0;
    /// Whether another pool can lend slots to this one.
    bool may_borrow = false;
};

struct broker_settings
{
    base::member_id self;
    base::pool_name pool;
    lending_settings lending;
    ejection_settings ejection;
};

/// Reports that a waiting request was granted or refused.
struct slot_event
{
    std::uint64_t ticket = 0;
    slot_decision decision;
};

struct submit_result
{
    std::uint64_t ticket = 0;
    /// Nullopt while the request waits.
    std::optional<slot_decision> decision;
};

/// A waiting request for which lenders should be asked.
struct borrow_need
{
    std::uint64_t ticket = 0;
    slot_request request;
    base::member_id holder;
};

/// Loans and requests of a removed member, for the caller to clean up.
struct dropped_work
{
    /// Borrowed slots, which have to be returned to their lenders.
    std::vector<slot_grant> loans;
    /// Requests that were removed from the queue.
    std::vector<std::uint64_t> tickets;
};

struct cancelled_request
{
    /// Ticket of the request if it was waiting; 0 otherwise.
    std::uint64_t ticket = 0;
    /// Borrowed slot, which has to be returned to its lender.
    std::optional<slot_grant> loan;
};

struct broker_state
{
    std::map<base::queue_name, std::uint32_t> waiting;
    std::uint32_t slots = 0;
    std::uint32_t used = 0;
    std::uint32_t lent = 0;
    std::uint32_t borrowed = 0;
    std::uint32_t ejected = 0;
};

/// Queues requests for slots of one pool and grants the slots.
///
/// Urgent requests are served before batch requests, but one in 8 grants goes
/// to waiting batch requests. Among departments, the one that uses the smallest
/// share of its quota is served first. A request that cannot wait is refused
/// at once with the reason. Call `advance` after any other call to get the
/// waiting requests that were granted or refused.
class slot_broker
{
public:
    /// One in this many grants goes to batch while batch requests wait (design,
    /// section 5).
    static constexpr std::uint32_t batch_interval = 8;
    /// Delay before lenders are asked again for the same request.
    static constexpr base::duration borrow_retry_interval =
        std::chrono::milliseconds{20};
    /// How long a queue may not borrow after one of its tasks exceeded the
    /// maximum loan time.
    static constexpr base::duration overrun_penalty = std::chrono::seconds{60};

    explicit slot_broker(broker_settings settings);
    ~slot_broker();
    slot_broker(const slot_broker&) = delete;
    slot_broker& operator=(const slot_broker&) = delete;

    void set_terms(broker_terms terms);
    /// Replaces the workers of the pool. Grants on removed workers stay valid.
    void set_workers(const std::vector<broker_worker>& workers);
    void set_accepting(const base::worker_id& worker, bool accepting);
    /// Drops the outcomes and grants of a worker that restarted.
    void reset_worker(const base::worker_id& worker);
    void record_report(const base::worker_id& worker, std::uint32_t slots_used,
                       base::time_point now);

    /// Submits a request. Idempotent: a request with the id of an earlier one
    /// returns the earlier result.
    submit_result submit(const slot_request& request,
                         const base::member_id& holder,
                         const request_estimate& estimate,
                         base::time_point now);
    /// Removes a waiting request or releases its grant unused.
    cancelled_request cancel(const std::string& request_id,
                             base::time_point now);
    /// Grants a slot without queueing, for use while the pool's broker is
    /// unreachable. Picks the less used of two random workers; refuses with
    /// `no_worker` if there is none.
    slot_decision grant_of_two(const slot_request& request,
                               const base::member_id& holder,
                               base::random_source& random,
                               base::time_point now);
    /// Releases a slot. The outcome is recorded for the worker even if another
    /// broker issued the grant.
    void release(const slot_grant& grant, slot_outcome outcome,
                 base::time_point now);
    std::vector<slot_event> advance(base::time_point now);
    /// When to call `advance` next if nothing else happens before.
    [[nodiscard]] std::optional<base::time_point>
    next_event(base::time_point now) const;

    /// Lends a slot without queueing, or refuses with `no_worker`.
    slot_decision lend(const slot_request& request,
                       const base::member_id& borrower, base::time_point now);
    /// Grants that have been lent for the maximum loan time or longer.
    [[nodiscard]] std::vector<slot_grant>
    overdue_loans(base::time_point now) const;
    /// Returns the next waiting request for which to ask lenders, if any.
    std::optional<borrow_need> next_borrow(base::time_point now);
    /// Assigns a borrowed slot to a waiting request. Returns false if the
    /// request no longer waits; the slot then has to be returned.
    bool add_loan(std::uint64_t ticket, const slot_grant& grant,
                  base::time_point now);

    /// Removes the requests and grants of a member.
    dropped_work drop_member(const base::member_id& member,
                             base::time_point now);
    /// Removes all waiting requests and returns their tickets.
    std::vector<std::uint64_t> withdraw_waiting();

    [[nodiscard]] std::size_t waiting_count() const;
    [[nodiscard]] broker_state state(base::time_point now) const;
    [[nodiscard]] const worker_table& workers() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::policy

#endif
