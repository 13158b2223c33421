// Records of ended jobs, in simulated time.

#include "jobs/pool_state.hpp"
#include "pools/removal_schedule.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pimentograde;
using namespace std::chrono_literals;
using pools::removal_schedule;

namespace
{

constexpr base::duration retention = 150s;

struct outcome
{
    std::size_t most_kept = 0;
    std::size_t transactions = 0;
    std::size_t ended = 0;
};

// Jobs that end at a steady rate at one owner.
outcome end_jobs(std::size_t jobs_per_second, std::chrono::seconds length,
                 std::size_t inherited = 0)
{
    const base::wall_time wall = base::from_millis(1'700'000'000'000);
    jobs::pool_state state("pool");
    removal_schedule schedule;
    outcome result;
    const auto end_job = [&](base::time_point now)
    {
        jobs::job subject;
        subject.id = std::to_string(result.ended++);
        subject.status = jobs::job_status::completed;
        state.restore(std::move(subject), now, wall);
    };
    const base::time_point start{1h};
    for (std::size_t index = 0; index < inherited; ++index)
        end_job(start);
    for (base::time_point now = start; now < start + length; now += 1s)
    {
        for (std::size_t index = 0; index < jobs_per_second; ++index)
            end_job(now);
        result.most_kept = std::max(result.most_kept, state.job_count());
        if (!schedule.is_due(now))
            continue;
        const auto expired = state.expired_jobs(now, retention);
        const std::size_t count = schedule.take(expired.size(), now);
        for (std::size_t index = 0; index < count; ++index)
            state.remove_job(expired[index]);
        result.transactions +=
            (count + removal_schedule::records_per_transaction - 1) /
            removal_schedule::records_per_transaction;
    }
    return result;
}

} // namespace

// Guards against records that pile up, in the store and in memory, while more
// than three jobs end a second.
TEST_CASE("records of ended jobs are removed as fast as jobs end")
{
    for (const std::size_t rate : {1, 4, 20, 100})
    {
        CAPTURE(rate);
        const outcome seen = end_jobs(rate, 30min);
        constexpr std::size_t longest_kept = 150 + 2 + 10;
        CHECK(seen.most_kept <=
              rate * longest_kept + removal_schedule::records_per_transaction);
        // One call for each 31 records, or each 10 s.
        CHECK(seen.transactions <=
              std::max(seen.ended / removal_schedule::records_per_transaction,
                       std::size_t{30 * 60 / 10}) +
                  1);
    }
}

// Guards against a burst of calls when the records that an owner has taken over
// expire all at once.
TEST_CASE("inherited records are removed in bounded bursts")
{
    const outcome before = end_jobs(0, 150s, 10'000);
    CHECK(before.transactions == 0);
    const outcome burst = end_jobs(0, 154s, 10'000);
    CHECK(burst.transactions <= 2 * removal_schedule::max_transactions);
    const outcome later = end_jobs(0, 5min, 10'000);
    CHECK(later.transactions == 10'000 / 31 + 1);
}
