#include "cli/log_timeline.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

using namespace pimentograde;

namespace
{

// Fields that every line has; `rest` are the others.
std::string line(std::string_view second, std::string_view event,
                 std::string_view process, std::string_view rest)
{
    return R"({"time":"2026-12-06T01:32:)" + std::string(second) +
           R"(Z","level":"info","event":")" + std::string(event) +
           R"(","text":"t","process":")" + std::string(process) + "\"," +
           std::string(rest) + "}\n";
}

std::string start(std::string_view second, std::string_view process,
                  std::string_view fence, std::string_view run,
                  std::string_view worker)
{
    const std::string place = std::string(run) + "@" + std::string(worker);
    return line(second, "PG-3203", process,
                R"("what":"start","fence":")" + std::string(fence) +
                    R"(","job":"j","task":"j.0.0.1","run":")" +
                    std::string(run) + R"(","worker":")" + std::string(worker) +
                    R"(","detail":"0#1@w9 1#)" + place + "\"");
}

cli::explanation explain(std::string_view id, const std::string& logs)
{
    cli::log_timeline timeline{std::string(id)};
    std::istringstream in(logs);
    timeline.read(in);
    return timeline.explain();
}

std::size_t count(const cli::explanation& found, std::string_view event)
{
    return static_cast<std::size_t>(
        std::count_if(found.lines.begin(), found.lines.end(),
                      [&](const auto& entry) { return entry.event == event; }));
}

} // namespace

// Guards against a second start by another owner that nobody sees in the logs
// of single instances.
TEST_CASE("a start beside a run without a logged end is named")
{
    const std::string first = start("10.000", "a", "15", "1", "w1");
    const std::string second = start("12.918", "c", "2001", "101", "w2");
    const auto found = explain("j.0.0.1", second + first);
    REQUIRE(found.starts.size() == 2);
    CHECK(found.starts[0].worker == "w1");
    REQUIRE(found.warnings.size() == 1);
    CHECK(found.warnings[0] ==
          "j.0.0.1: run 101 on w2 (c, fence 2001, 2026-12-06T01:32:12.918Z) "
          "was started with no end logged of run 1 on w1 (a, fence 15, "
          "2026-12-06T01:32:10.000Z)");
}

TEST_CASE("a start after an end as done is named, one after a lost run is not")
{
    const std::string starts = start("10.000", "a", "15", "1", "w1") +
                               start("12.918", "c", "2001", "101", "w2");
    const auto ended = [](std::string_view what, std::string_view detail)
    {
        return line("11.500", "PG-3203", "b",
                    R"("what":")" + std::string(what) +
                        R"(","fence":"1865","job":"j","task":"j.0.0.1",)"
                        R"("run":"1","worker":"w1","detail":")" +
                        std::string(detail) + "\"");
    };
    const auto done = explain("j", starts + ended("step_done", "0#1 1#1"));
    REQUIRE(done.warnings.size() == 2); // also of the step's first task
    CHECK(done.warnings[1].find("after the end of run 1 on w1") !=
          std::string::npos);
    const auto lost =
        explain("j.0.0.1", starts + ended("run_lost", "the lease has lapsed"));
    CHECK(lost.warnings.empty());
    const auto unsettled =
        explain("j.0.0.1", starts + ended("start_answered", "unknown"));
    CHECK(unsettled.warnings.size() == 1);
}

// Guards against a timeline that hides a change of owner: its lines name no
// job.
TEST_CASE("changes of owners, workers and instances around a job are shown")
{
    const std::string logs =
        line("01.000", "PG-3310", "a", R"("pool":"p","fence":"15")") +
        start("10.000", "a", "15", "1", "w1") +
        line("11.000", "PG-3310", "b", R"("pool":"p","fence":"1865")") +
        line("11.100", "PG-3310", "b", R"("pool":"other","fence":"1866")") +
        line("11.200", "PG-3207", "b", R"("worker":"w1","reason":"r")") +
        line("11.200", "PG-3207", "b", R"("worker":"w7","reason":"r")") +
        line("11.300", "PG-3306", "b", R"("lease":"1")") +
        line("11.300", "PG-3306", "z", R"("lease":"2")") +
        line("59.000", "PG-3306", "b", R"("lease":"3")");
    const auto found = explain("j", logs);
    CHECK(count(found, "PG-3310") == 2);
    CHECK(count(found, "PG-3207") == 1);
    CHECK(count(found, "PG-3306") == 1);
}

TEST_CASE("lines that are missing or unreadable are reported")
{
    const std::string logs =
        "collector: " + start("10.000", "a", "15", "1", "w1") +
        line("10.500", "PG-1001", "a", R"("lines":"12")") +
        "{\"time\":\"2026-12-06T01:32:11.000Z\",\"eve\n[1,2]\n";
    const auto found = explain("w1", logs);
    REQUIRE(found.starts.size() == 1);
    REQUIRE(found.warnings.size() == 2);
    CHECK(found.warnings[0] ==
          "a dropped 12 lines before 2026-12-06T01:32:10.500Z");
    CHECK(found.warnings[1] == "2 lines could not be read");
}

TEST_CASE("an id does not match within a longer name")
{
    const std::string logs =
        start("10.000", "a", "15", "1", "w10") +
        line("11.000", "PG-3313", "a", R"("wave":"1","state":"begun")");
    CHECK(explain("w1", logs).lines.empty());
    CHECK(explain("1", logs).lines.size() == 1);
}

TEST_CASE("a job whose id has only digits is no wave")
{
    const std::string id = "4543152381901234";
    const std::string logs =
        line("10.000", "PG-3204", "a", "\"job\":\"" + id + "\"");
    CHECK(explain(id, logs).lines.size() == 1);
}
