#include "base/error.hpp"
#include "cli/setting.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace pimentograde;

namespace
{

std::string faults_of(const cli::setting_values& flags,
                      const cli::environment& env)
{
    try
    {
        cli::resolve(cli::serve_settings(), flags, env);
    }
    catch (const base::error& failure)
    {
        return failure.detail();
    }
    return {};
}

std::optional<std::string> no_variable(std::string_view)
{
    return std::nullopt;
}

std::optional<std::string> test_secret(std::string_view name)
{
    if (name == "PIMENTOGRADE_PEER_SECRET")
        return "short";
    return std::nullopt;
}

} // namespace

// Guards against a start with a bad setting, and against a message that does
// not say which setting, which value and what was expected.
TEST_CASE("every bad setting is reported in one go")
{
    const std::string faults = faults_of(
        {{"id", "Bad Id"}, {"store", "nowhere"}, {"stop-seconds", "0"}},
        no_variable);
    CHECK(faults.find("--id (PIMENTOGRADE_ID): value 'Bad Id', expected") !=
          std::string::npos);
    CHECK(faults.find("--store") != std::string::npos);
    CHECK(faults.find("--stop-seconds") != std::string::npos);
    CHECK(faults.find("--zone") != std::string::npos);
}

// Guards against a secret in an error message.
TEST_CASE("a bad secret is not printed")
{
    const std::string faults = faults_of({{"id", "e1"}}, test_secret);
    CHECK(faults.find("short") == std::string::npos);
    CHECK(faults.find("PIMENTOGRADE_PEER_SECRET") != std::string::npos);
}

TEST_CASE("a flag goes before the environment, which goes before the default")
{
    const cli::environment env = [](std::string_view name)
    {
        return name == "PIMENTOGRADE_TIMEOUT_MS"
                   ? std::optional<std::string>("500")
                   : std::nullopt;
    };
    const auto from_env = cli::resolve(cli::client_settings(), {}, env);
    CHECK(from_env.find("timeout-ms")->second == "500");
    CHECK(from_env.find("endpoint")->second == "127.0.0.1:8081");
    const auto from_flag =
        cli::resolve(cli::client_settings(), {{"timeout-ms", "700"}}, env);
    CHECK(from_flag.find("timeout-ms")->second == "700");
}

// Guards against a settings page that differs from the program.
TEST_CASE("docs/settings.md is the table that the program prints")
{
    std::ifstream file(PIMENTOGRADE_SOURCE_DIR "/docs/settings.md");
    std::stringstream text;
    text << file.rdbuf();
    CHECK(text.str() == cli::settings_markdown());
}
