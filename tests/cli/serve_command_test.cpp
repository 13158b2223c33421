#include "cli/serve_command.hpp"
#include "node/test_ports.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

int run_serve(std::uint16_t first_port)
{
    const auto listener = [&](int index)
    {
        return "127.0.0.1:" + std::to_string(first_port + index);
    };
    const std::vector<std::string> words{"serve",       "--id",
                                         "e1",          "--zone",
                                         "z",           "--caller-listen",
                                         listener(0),   "--operator-listen",
                                         listener(1),   "--peer-listen",
                                         listener(2),   "--store",
                                         "127.0.0.1:1", "--instance-list",
                                         "127.0.0.1:1", "--stop-seconds",
                                         "1",           "--log-level",
                                         "error"};
    std::vector<const char*> arguments;
    arguments.reserve(words.size());
    for (const std::string& word : words)
        arguments.push_back(word.c_str());
    std::ostringstream out;
    std::ostringstream err;
    return static_cast<int>(cli::run_command(
        std::vector<cli::command>{cli::serve_command()}, arguments,
        [](std::string_view name) -> std::optional<std::string>
        {
            if (name == "PIMENTOGRADE_PEER_SECRET")
                return "0123456789abcdef";
            return std::nullopt;
        },
        out, err));
}

bool accepts_connections(std::uint16_t port)
{
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_open =
        connect(client, reinterpret_cast<const sockaddr*>(&where),
                sizeof where) == 0;
    close(client);
    return is_open;
}

} // namespace

// Guards against an instance that ends at once, with its work in progress, when
// its terminal closes or its settings are said to have changed.
TEST_CASE("SIGHUP does not end an instance that serves")
{
    const std::uint16_t port =
        node_tests::test_ports::of_this_process().reserve(3);
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0)
        _exit(run_serve(port));
    for (int tries = 0; tries < 500 && !accepts_connections(port); ++tries)
        std::this_thread::sleep_for(10ms);
    CHECK(accepts_connections(port));
    CHECK(kill(child, SIGHUP) == 0);
    std::this_thread::sleep_for(200ms);
    int status = 0;
    REQUIRE(waitpid(child, &status, WNOHANG) == 0);
    CHECK(accepts_connections(port));
    CHECK(kill(child, SIGTERM) == 0);
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == static_cast<int>(cli::exit_code::ok));
}
