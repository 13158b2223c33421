#include "policy/size_estimator.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <numeric>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

const base::queue_name queue("q");
const base::task_size declared{1, 100, 0};

struct samples
{
    std::vector<base::duration> values;
    base::duration low{};
    base::duration high{};
};

/// 40 run times within a factor of two, except for up to four outliers.
samples make_samples()
{
    samples result;
    result.low = std::chrono::milliseconds{*rc::gen::inRange(10, 5000)};
    result.high = 2 * result.low;
    const auto wrong = *rc::gen::inRange(0, 5);
    for (int index = 0; index < 40; ++index)
        result.values.push_back(
            index % 10 == 9 && index / 10 < wrong
                ? result.low * *rc::gen::element(1000, 100)
                : result.low +
                      std::chrono::milliseconds{*rc::gen::inRange(
                          std::int64_t{0}, base::count_millis(result.low))});
    return result;
}

} // namespace

// Guards against an estimate that a few outliers distort.
TEST_CASE("the estimate tolerates a tenth of wrong run times")
{
    CHECK(rc::check("robust run time",
                    []
                    {
                        const auto given = make_samples();
                        policy::size_estimator sizes;
                        sizes.set_initial(queue, 1ms);
                        for (const auto value : given.values)
                            sizes.record_run(queue, value);
                        const auto learned = sizes.estimate(queue, declared);
                        RC_ASSERT(learned.typical_time >= given.low);
                        RC_ASSERT(learned.typical_time <= given.high);
                        RC_ASSERT(learned.long_time >= learned.typical_time);
                        RC_ASSERT(learned.long_time <= given.high);
                    }));
}

// Shows why the estimate is not a mean.
TEST_CASE("one wrong run time distorts a mean but not the estimate")
{
    std::vector<base::duration> values(39, 100ms);
    values.push_back(100s);
    const auto mean =
        std::accumulate(values.begin(), values.end(), base::duration{}) /
        static_cast<std::int64_t>(values.size());
    policy::size_estimator sizes;
    for (const auto value : values)
        sizes.record_run(queue, value);
    CHECK(mean > 2s);
    CHECK(sizes.estimate(queue, declared).long_time == 100ms);
}

// Guards against counting one task several times because of repeated reports,
// and against using the time of a task that is still running as its run time.
TEST_CASE("usage reports count once per lease with their maximum")
{
    policy::size_estimator sizes;
    sizes.set_initial(queue, 7s);
    CHECK(sizes.estimate(queue, declared).long_time == 7s);
    for (int report = 1; report <= 20; ++report)
        sizes.record_usage(queue, base::lease_id("one"), {4, 900, 0},
                           report * 100ms);
    CHECK(sizes.estimate(queue, declared).size == declared);
    for (int task = 0; task < 12; ++task)
        for (int report = 1; report <= 3; ++report)
            sizes.record_usage(queue, base::lease_id(std::to_string(task)),
                               {2, static_cast<std::uint64_t>(report) * 100, 1},
                               report * 100ms);
    const auto learned = sizes.estimate(queue, declared);
    CHECK(learned.size == base::task_size{2, 300, 1});
    CHECK(learned.typical_time == 300ms);
    for (int task = 0; task < 12; ++task)
        sizes.record_run(queue, 350ms);
    CHECK(sizes.estimate(queue, declared).typical_time == 350ms);
}

TEST_CASE("invalid samples are ignored and charges follow the size")
{
    policy::size_estimator sizes;
    sizes.set_initial(queue, 1s);
    for (int index = 0; index < 20; ++index)
    {
        sizes.record_run(queue, -1s);
        sizes.record_run(queue, 1000h);
        sizes.record_usage(queue, base::lease_id(std::to_string(index)),
                           {std::numeric_limits<double>::quiet_NaN(), 1, 0},
                           1s);
    }
    CHECK(sizes.estimate(queue, declared).long_time == 1s);
    CHECK(sizes.estimate(queue, declared).size == declared);
    const base::task_size worker{32, 128, 0};
    CHECK(policy::slot_charge({1, 1, 0}, worker, 8) == 1);
    CHECK(policy::slot_charge({8, 1, 0}, worker, 8) == 2);
    CHECK(policy::slot_charge({1, 64, 0}, worker, 8) == 4);
}
