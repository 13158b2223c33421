#ifndef PIMENTOGRADE_TESTS_JOBS_SUCCESSOR_HPP
#define PIMENTOGRADE_TESTS_JOBS_SUCCESSOR_HPP

#include "jobs/pool_fixture.hpp"

#include <algorithm>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::tests
{

inline constexpr auto unknown_lease = 10s;

/// The next owner of the pool, as it is after it has loaded what `before` left.
struct successor
{
    pool_state state{"pool"};
    base::time_point now;

    successor(pool_state& before, std::span<const roster_entry> roster,
              base::time_point at)
        : now(at)
    {
        state.set_policy({"queue", "pool", 0, 2, 1.6, 600ms});
        for (const std::string id : {"a", "b", "c"})
            if (const job* subject = before.find_job(id))
                state.restore(decode_record(id, encode_record(*subject)), now,
                              wall);
        for (const roster_entry& entry : decode_roster(encode_roster(roster)))
        {
            state.inherit_worker(
                entry, now + entry.lease_left.value_or(unknown_lease), now);
            state.update_worker(entry.worker);
        }
        state.note_recorded(state.roster(now));
    }
    void report(const std::string& worker, const worker_report& rows = {})
    {
        state.apply_report(worker, rows, now + 10ms, now + 10ms, wall);
        state.note_recorded(state.roster(now));
    }
    std::vector<start_order> plan(base::duration later = 20ms)
    {
        return state.plan(now + later, wall);
    }
};

inline bool starts(std::span<const start_order> orders, const std::string& job)
{
    return std::any_of(orders.begin(), orders.end(),
                       [&](const start_order& order)
                       { return order.task.job == job; });
}

} // namespace pimentograde::tests

#endif
