#include "cli/command.hpp"
#include "cli/plain_printer.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <sstream>

using namespace pimentograde;

namespace
{

struct outcome
{
    cli::exit_code code;
    std::string out;
    std::string err;
};

outcome run(std::vector<const char*> words)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto commands = cli::client_commands();
    const auto code = cli::run_command(
        commands, words, [](std::string_view) { return std::nullopt; }, out,
        err);
    return {code, out.str(), err.str()};
}

} // namespace

// Guards against a bare exception or a crash on a wrong call.
TEST_CASE("usage errors end with status 2 and one line")
{
    CHECK(run({"nonsense"}).code == cli::exit_code::usage);
    CHECK(run({"job", "show"}).err.find("expected 1 argument(s)") !=
          std::string::npos);
    CHECK(run({"status", "--wrong"}).err.find("unknown option --wrong") !=
          std::string::npos);
    CHECK(run({"status", "--timeout-ms", "0"})
              .err.find("--timeout-ms (PIMENTOGRADE_TIMEOUT_MS)") !=
          std::string::npos);
}

TEST_CASE("every command has help with an example and variables")
{
    for (const cli::command& entry : cli::client_commands())
    {
        std::vector<std::string> words;
        std::istringstream name{std::string(entry.name)};
        for (std::string word; name >> word;)
            words.push_back(word);
        std::vector<const char*> arguments;
        for (const std::string& word : words)
            arguments.push_back(word.c_str());
        arguments.push_back("--help");
        const outcome help = run(arguments);
        CAPTURE(entry.name);
        CHECK(help.code == cli::exit_code::ok);
        CHECK(help.out.find("Example:") != std::string::npos);
    }
}

// Guards against an unreachable instance that looks like a refusal.
TEST_CASE("an unreachable instance ends with status 3")
{
    const outcome result = run({"status", "--endpoint", "127.0.0.1:1"});
    CHECK(result.code == cli::exit_code::unreachable);
}

TEST_CASE("a bundle is checked without an instance")
{
    const std::string file =
        PIMENTOGRADE_SOURCE_DIR "/examples/cancha-quetzal.json";
    CHECK(run({"bundle", "check", file.c_str()}).code == cli::exit_code::ok);
    const std::string other = PIMENTOGRADE_SOURCE_DIR "/README.md";
    CHECK(run({"bundle", "check", other.c_str()}).code ==
          cli::exit_code::refused);
}

TEST_CASE("arrays of objects are printed as aligned tables")
{
    std::ostringstream out;
    cli::print_plain(
        out,
        boost::json::parse(R"({"n":1,"rows":[{"a":"x","b":2},{"a":"yy"}]})"));
    CHECK(out.str() == "n: 1\nrows:\n  a   b\n  x   2\n  yy  -\n");
}
