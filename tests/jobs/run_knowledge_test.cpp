#include "jobs/run_knowledge.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace pimentograde::jobs;
using namespace std::chrono_literals;

// Guards against a worker that is taken for one without runs because nobody has
// said anything about it.
TEST_CASE("knowledge without a ground never becomes certain with time")
{
    const base::time_point now{100s};
    run_knowledge knowledge;
    CHECK_FALSE(knowledge.is_certain());
    CHECK(knowledge.may_hide_runs(now + 24h));
    knowledge.forget_report();
    CHECK(knowledge.may_hide_runs(now + 24h));
    knowledge.note_report();
    CHECK(knowledge.is_certain());
    CHECK_FALSE(knowledge.may_hide_runs(now));
}

TEST_CASE("runs of earlier owners may exist until their leases have ended")
{
    const base::time_point now{100s};
    run_knowledge knowledge = run_knowledge::unknown_until(now + 1s);
    CHECK(knowledge.may_hide_runs(now));
    knowledge.note_lease(now + 5s);
    CHECK(knowledge.may_hide_runs(now + 4s));
    CHECK_FALSE(knowledge.may_hide_runs(now + 5s));
    CHECK_FALSE(knowledge.is_certain());
}
