#include "metrics/registry.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;

// Guards against an exposition that scrapers refuse: buckets have to be
// cumulative and end with +Inf equal to the count.
TEST_CASE("histogram buckets are cumulative and end at the count")
{
    metrics::histogram values;
    values.observe(0.001);
    values.observe(0.01);
    values.observe(1000);
    const std::string text = values.expose("wait_seconds");
    CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 3\n") !=
          std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"100\"} 2\n") !=
          std::string::npos);
    CHECK(text.find("wait_seconds_count 3\n") != std::string::npos);
}

TEST_CASE("a quantile is the upper edge of its bin")
{
    metrics::histogram values;
    for (int i = 0; i < 99; ++i)
        values.observe(0.001);
    values.observe(10);
    CHECK(values.quantile(0.5) >= 0.001);
    CHECK(values.quantile(0.5) < 0.0015);
    CHECK(values.quantile(1.0) >= 10);
    CHECK(metrics::histogram{}.quantile(0.5) == 0);
}

// Guards against a label value that breaks the exposition format.
TEST_CASE("counters are exposed with escaped labels")
{
    metrics::registry all;
    all.get_counter("refusals_total", metrics::label("reason", "a\"b")).add(2);
    all.add_gauge("members", "", [] { return 7.0; });
    const std::string text = all.expose();
    CHECK(text.find("refusals_total{reason=\"a\\\"b\"} 2\n") !=
          std::string::npos);
    CHECK(text.find("members 7\n") != std::string::npos);
}
