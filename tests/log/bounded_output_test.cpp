#include "log/bounded_output.hpp"
#include "log/events.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

struct pipe_pair
{
    int ends[2];
    pipe_pair()
    {
        REQUIRE(pipe(ends) == 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~pipe_pair()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string drain() const
    {
        std::string text;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = read(ends[0], buffer, sizeof buffer)) > 0)
            text.append(buffer, static_cast<std::size_t>(count));
        return text;
    }
};

} // namespace

// Guards against a process that stops because nobody reads its log.
TEST_CASE("a reader that does not read drops lines and blocks nothing")
{
    const pipe_pair pipe;
    log::bounded_output output(pipe.ends[1], 1e6);
    base::time_point now(100s);
    const std::string line(1000, 'x');
    for (int index = 0; index < 1000; ++index)
        output.write(line, now += 1ms);
    const std::uint64_t dropped = output.dropped();
    CHECK(dropped > 0);
    CHECK(pipe.drain().size() > 10'000);
    output.write("next", now + 1s);
    const std::string text = pipe.drain();
    CHECK(text.find("\"lines\":" + std::to_string(dropped)) !=
          std::string::npos);
    CHECK(text.find("next\n") != std::string::npos);
}

// Guards against a process that ends, by SIGPIPE, with the reader of its log.
TEST_CASE("a reader that is gone drops lines and ends nothing")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    close(ends[0]);
    log::bounded_output output(ends[1], 1e6);
    output.write("line", base::time_point(100s));
    output.write("line", base::time_point(101s));
    CHECK(output.dropped() == 2);
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0)
    {
        dup2(ends[1], STDERR_FILENO);
        log::configure(log::format::plain, log::severity::info, "test");
        log::write(log::event_lines_dropped);
        log::write(log::event_lines_dropped);
        _exit(0);
    }
    int status = 0;
    CHECK(waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
    close(ends[1]);
}

TEST_CASE("lines beyond the rate are dropped and counted")
{
    const pipe_pair pipe;
    log::bounded_output output(pipe.ends[1], 10.0);
    base::time_point now(100s);
    for (int index = 0; index < 30; ++index)
        output.write("line", now);
    CHECK(output.dropped() == 20);
    output.write("line", now + 1s);
    CHECK(output.dropped() == 20);
}

TEST_CASE("a long line is cut")
{
    const pipe_pair pipe;
    log::bounded_output output(pipe.ends[1], 10.0);
    output.write(std::string(10'000, 'x'), base::time_point(100s));
    CHECK(pipe.drain().size() == 4096);
}
