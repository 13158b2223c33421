#include "base/error.hpp"
#include "jobs/queue_statistics.hpp"
#include "jobs/run_time_model.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace std::chrono_literals;

namespace
{

struct run
{
    base::duration estimate;
    base::duration actual;
};

base::duration seconds_of(double count)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(count));
}

// Draws log-normal run times with a mean of 1.3 s and a logarithmic deviation
// of 0.5, as in the users' data, and estimates with a deviation of `error` from
// them.
run draw(std::mt19937_64& random, double error)
{
    std::normal_distribution<double> normal;
    const double actual = 1.15 * std::exp(0.5 * normal(random));
    return {seconds_of(actual * std::exp(error * normal(random))),
            seconds_of(actual)};
}

struct comparison
{
    double actual = 0;
    double estimated = 0;
    double expected = 0;
    double estimate_error = 0;
    double expected_error = 0;
};

comparison learn(std::uint64_t seed, double error)
{
    std::mt19937_64 random(seed);
    run_time_model model;
    for (int count = 0; count < 300; ++count)
    {
        const run one = draw(random, error);
        model.add_run(one.estimate, one.actual);
    }
    comparison sums;
    for (int count = 0; count < 2000; ++count)
    {
        const run one = draw(random, error);
        const double actual = base::count_seconds(one.actual);
        const double estimated = base::count_seconds(one.estimate);
        const double expected = model.expected_seconds(one.estimate);
        sums.actual += actual;
        sums.estimated += estimated;
        sums.expected += expected;
        sums.estimate_error += std::abs(estimated - actual);
        sums.expected_error += std::abs(expected - actual);
    }
    return sums;
}

} // namespace

// Guards against moving machines because of overestimated work: with estimates
// this inaccurate, their sum is one and a half times the actual work.
TEST_CASE("the sum of the expected run times matches the actual work")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        const comparison sums = learn(seed, 0.9);
        CAPTURE(seed);
        CHECK(sums.estimated > 1.3 * sums.actual);
        CHECK(sums.expected < 1.15 * sums.actual);
        CHECK(sums.expected > 0.85 * sums.actual);
        CHECK(sums.expected_error < 0.6 * sums.estimate_error);
    }
}

// Guards against replacing accurate estimates by the mean of the queue.
TEST_CASE("accurate estimates are followed")
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        const comparison sums = learn(seed, 0.2);
        CAPTURE(seed);
        CHECK(sums.expected_error < 1.05 * sums.estimate_error);
    }
}

TEST_CASE("the estimate is used while no runs are known")
{
    const run_time_model model;
    CHECK(model.expected_seconds(1500ms) == doctest::Approx(1.5));
}

// Guards against a few slow runs on a failing worker, or a job without an
// estimate, distorting the model.
TEST_CASE("outliers and missing estimates keep the expected run time finite")
{
    run_time_model model;
    for (int count = 0; count < 50; ++count)
        model.add_run(1s, 1s);
    for (int count = 0; count < 5; ++count)
        model.add_run(1s, 600s);
    model.add_run(0s, 1s);
    CHECK(model.expected_seconds(1s) < 2.0);
    CHECK(std::isfinite(model.expected_seconds(0s)));
    CHECK(model.expected_seconds(0s) >= 0.0);
}

// Guards against a new owner that trusts the estimates again: after each
// takeover too few machines came at the start of a burst.
TEST_CASE("what a queue has learned is read as it was written")
{
    jobs::statistics_table table;
    jobs::queue_statistics& learned = table["quick"];
    learned.note_job(12.5);
    for (int index = 0; index < 50; ++index)
        learned.run_times.add_run(std::chrono::milliseconds(100 + index),
                                  std::chrono::milliseconds(900));
    const auto read = jobs::decode_statistics(jobs::encode_statistics(table));
    REQUIRE(read.contains("quick"));
    const jobs::queue_statistics& found = read.at("quick");
    CHECK(found.mean_work() == doctest::Approx(12.5));
    CHECK(found.run_times.expected_seconds(std::chrono::milliseconds(120)) ==
          doctest::Approx(learned.run_times.expected_seconds(
              std::chrono::milliseconds(120))));
    CHECK_THROWS_AS(jobs::decode_statistics(R"({"quick":{}})"), base::error);
}
