// What an owner without the store may still do, beside what the next one waits
// for.

#include "jobs/roster.hpp"
#include "pools/owned_pool.hpp"
#include "pools/ownership_times.hpp"
#include "pools/stored_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::pools;
using namespace pimentograde::node_tests;
using namespace std::chrono_literals;

namespace
{

// A worker whose clock is as slow as is allowed, read by its owner at
// `read_at`.
struct slow_worker
{
    base::duration longest_lease;
    base::duration read_at;

    [[nodiscard]] static base::duration clock(base::duration at)
    {
        return at - at / clock_lag_divisor;
    }
    [[nodiscard]] static base::duration time_of(base::duration on_clock)
    {
        return on_clock * clock_lag_divisor / (clock_lag_divisor - 1);
    }
    // When the runs end if an extension by `length` is sent and arrives at
    // these times.
    [[nodiscard]] base::duration runs_until(base::duration length,
                                            base::duration sent_at,
                                            base::duration arrives_at) const
    {
        const std::chrono::milliseconds sent(
            earliest_clock(base::count_millis(clock(read_at)),
                           sent_at - read_at) +
            base::count_millis(length));
        const base::duration until =
            std::min<base::duration>(sent, clock(arrives_at) + longest_lease);
        return time_of(until);
    }
};

} // namespace

// Guards against runs that an earlier owner keeps alive beyond the time for
// which the next one waits, so that their tasks start elsewhere beside them.
TEST_CASE("runs of an owner without the store end before the next one's wait")
{
    // The last renewal was sent, and arrived at the store, at this time.
    constexpr base::duration renewed_at = 1h;
    constexpr base::duration last_order_at = renewed_at + max_ordering_time;
    constexpr base::duration loaded_at = renewed_at + role_lease;
    for (const base::duration longest : {1000ms, 1500ms, 6000ms, 10'000ms})
    {
        const base::duration waits_until =
            loaded_at + inherited_lease(jobs::roster_entry{}, longest);
        for (const base::duration age : {0s, 1s, 20s, 60s, 600s})
            for (const base::duration way : {0ms, 50ms, 450ms, 3000ms})
                for (const base::duration length :
                     {start_length(longest), extension_length(longest)})
                {
                    CAPTURE(base::count_millis(longest));
                    CAPTURE(base::count_millis(age));
                    CAPTURE(base::count_millis(way));
                    CAPTURE(base::count_millis(length));
                    const slow_worker worker{longest, last_order_at - age};
                    CHECK(worker.runs_until(length, last_order_at,
                                            last_order_at + way) <=
                          waits_until);
                }
    }
}

// Guards against starts that an exact clock calls late, because the owner has
// not read it for long.
TEST_CASE("the clock of an idle worker is read anew")
{
    owned_pool all(std::vector<std::string>{"w0"}, 100ms);
    const auto& worker = *all.workers.at("w0");
    boost::this_fiber::sleep_for(1s);
    const int calls = worker.calls;
    CHECK(eventually([&] { return worker.calls > calls; }, max_clock_age + 1s));
    // Each call has a cost.
    boost::this_fiber::sleep_for(1s);
    CHECK(worker.calls == calls + 1);
    REQUIRE(all.submit_one_task());
    CHECK(eventually([&] { return all.is_completed(id_a); }, 3s));
}
