#ifndef PIMENTOGRADE_DISPATCH_SLOT_SERVICE_IMPL_HPP
#define PIMENTOGRADE_DISPATCH_SLOT_SERVICE_IMPL_HPP

#include "base/random_source.hpp"
#include "dispatch/fleet_view.hpp"
#include "dispatch/pool_slots.hpp"
#include "dispatch/slot_service.hpp"
#include "net/task_group.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slot_broker.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::dispatch
{

/// Implementation of `slot_service`, shared by its source files.
struct slot_service::impl
{
    struct lender_hint
    {
        std::optional<std::uint32_t> idle;
        base::time_point ask_after{};
    };

    // Requests.
    policy::slot_decision acquire(policy::slot_request request);
    policy::slot_decision route(const policy::slot_request& request);
    std::optional<policy::slot_decision>
    acquire_local(const policy::slot_request& request,
                  const base::member_id& holder);
    std::optional<policy::slot_decision>
    acquire_remote(const base::member_id& broker,
                   const policy::slot_request& request, bool& reachable);
    policy::slot_decision
    choose_unbrokered(const policy::slot_request& request);
    void count(const policy::slot_decision& decision,
               const policy::slot_request& request);

    // Releases.
    void release(const policy::slot_request& request,
                 const policy::slot_grant& grant, policy::slot_outcome outcome,
                 base::duration run_time);
    void apply_release(const policy::slot_request& request,
                       const policy::slot_grant& grant,
                       policy::slot_outcome outcome, base::duration run_time);
    void send_release(const base::member_id& member,
                      const policy::slot_request& request,
                      const policy::slot_grant& grant,
                      policy::slot_outcome outcome, base::duration run_time);
    void deliver_release(const base::member_id& member,
                         const policy::slot_request& request,
                         const policy::slot_grant& grant,
                         policy::slot_outcome outcome, base::duration run_time);
    void return_slot(const policy::slot_request& request,
                     const policy::slot_grant& grant);

    // Lending.
    void start_borrowing(const base::pool_name& pool);
    void run_borrowing(const base::pool_name& pool);
    void borrow(const base::pool_name& pool, const policy::borrow_need& need);
    policy::slot_decision ask_lender(const base::pool_name& lender,
                                     const policy::slot_request& request);
    policy::slot_decision lend(const policy::slot_request& request,
                               const base::member_id& borrower);
    [[nodiscard]] std::vector<base::pool_name>
    lenders(const base::pool_name& borrower) const;

    // Fleet.
    void apply_fleet();
    void refresh_worker(const base::worker_id& worker);
    [[nodiscard]] pool_slots* find(const base::pool_name& pool) const;
    [[nodiscard]] bool is_broker(const base::pool_name& pool) const;

    impl(base::member_id member, slot_hooks given, base::random_source source);

    [[nodiscard]] std::string next_id();

    base::member_id self;
    slot_hooks hooks;
    policy::lending_settings lending;
    policy::ejection_settings ejection;
    base::random_source random;
    std::string id_prefix;
    std::uint64_t id_count = 0;
    fleet_view fleet;
    policy::retry_budget retries;
    std::map<base::pool_name, std::unique_ptr<pool_slots>> pools;
    std::map<base::pool_name, lender_hint> hints;
    std::set<base::pool_name> borrowing;
    std::set<base::member_id> unreachable;
    slot_counters counters;
    bool stopping = false;
    // Must be the last member: its destructor waits for fibers that use the
    // members above.
    net::task_group background;
};

} // namespace pimentograde::dispatch

#endif
