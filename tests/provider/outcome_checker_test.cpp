#include "standin/outcome_checker.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using base::work_status;
using standin::execution_outcome;
using standin::violation_kind;

namespace
{

const std::string answer_of_a = R"({"answer":"a","worker":"w"})";

standin::execution run(const std::string& token, execution_outcome outcome,
                       const std::string& answer = "")
{
    standin::execution entry;
    entry.worker = "w";
    entry.token = token;
    entry.outcome = outcome;
    entry.answer = answer;
    return entry;
}

std::vector<violation_kind>
kinds_of(const standin::caller_view& caller,
         const std::vector<standin::execution>& runs)
{
    std::vector<violation_kind> kinds;
    for (const auto& found : standin::check_outcomes({&caller, 1}, runs))
        kinds.push_back(found.kind);
    return kinds;
}

using kinds = std::vector<violation_kind>;

} // namespace

TEST_CASE("consistent outcomes are no violations")
{
    const auto done = run("a", execution_outcome::done, answer_of_a);
    const auto failed = run("a", execution_outcome::failed);
    CHECK(kinds_of({"a", false, false, work_status::done, answer_of_a},
                   {done, run("b", execution_outcome::done)})
              .empty());
    CHECK(kinds_of({"a", false, true, work_status::not_run, ""}, {}).empty());
    CHECK(kinds_of({"a", false, false, work_status::failed, ""}, {failed})
              .empty());
    CHECK(kinds_of({"a", false, false, work_status::unknown, ""}, {}).empty());
    CHECK(kinds_of({"a", true, false, work_status::done, answer_of_a},
                   {failed, done})
              .empty());
}

// Guards against a second run that a checker takes for a retry.
TEST_CASE("a second start of non-idempotent work is a violation")
{
    const auto lost = run("a", execution_outcome::lost);
    const auto done = run("a", execution_outcome::done, answer_of_a);
    const standin::caller_view caller{"a", false, false, work_status::done,
                                      answer_of_a};
    CHECK(kinds_of(caller, {lost, done}) == kinds{violation_kind::ran_twice});
    auto resumed = done;
    resumed.resumed = true;
    CHECK(kinds_of(caller, {run("a", execution_outcome::checkpointed), resumed})
              .empty());
}

TEST_CASE("work that ran although told not run is a violation")
{
    // Also when a later response said something else.
    CHECK(kinds_of({"a", true, true, work_status::done, answer_of_a},
                   {run("a", execution_outcome::done, answer_of_a)}) ==
          kinds{violation_kind::not_run_but_started});
    CHECK(kinds_of({"a", false, true, work_status::not_run, ""},
                   {run("a", execution_outcome::lost)}) ==
          kinds{violation_kind::not_run_but_started});
}

TEST_CASE("an answer that no worker gave is a violation")
{
    const standin::caller_view caller{"a", true, false, work_status::done,
                                      answer_of_a};
    CHECK(kinds_of(caller, {}) ==
          kinds{violation_kind::done_without_execution});
    CHECK(kinds_of(caller,
                   {run("a", execution_outcome::done, R"({"answer":"a"})")}) ==
          kinds{violation_kind::done_without_execution});
    CHECK(kinds_of(caller, {run("a", execution_outcome::lost, answer_of_a)}) ==
          kinds{violation_kind::done_without_execution});
}

TEST_CASE("a cut answer or another task's answer is a violation")
{
    const auto done = run("a", execution_outcome::done, answer_of_a);
    CHECK(kinds_of(
              {"a", true, false, work_status::done, answer_of_a.substr(0, 9)},
              {done}) == kinds{violation_kind::wrong_answer});
    CHECK(kinds_of({"a", true, false, work_status::done, R"({"answer":"b"})"},
                   {done}) == kinds{violation_kind::wrong_answer});
}

TEST_CASE("a failure without a start is a violation")
{
    CHECK(kinds_of({"a", false, false, work_status::failed, ""}, {}) ==
          kinds{violation_kind::failed_without_start});
}
