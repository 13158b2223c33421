#include "cli/node_command.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

/// A settings file that is read only as far as the test has written it.
class slow_file
{
public:
    slow_file()
    {
        REQUIRE(mkdtemp(folder_.data()) != nullptr);
        path_ = std::string(folder_.data()) + "/settings";
        REQUIRE(mkfifo(path_.c_str(), 0600) == 0);
    }
    ~slow_file()
    {
        unlink(path_.c_str());
        rmdir(folder_.data());
    }
    slow_file(const slow_file&) = delete;
    slow_file& operator=(const slow_file&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }
    /// Returns the descriptor once a reader has opened the file.
    [[nodiscard]] int wait_for_reader() const
    {
        for (int tries = 0; tries < 500; ++tries)
        {
            const int file = open(path_.c_str(), O_WRONLY | O_NONBLOCK);
            if (file >= 0)
                return file;
            std::this_thread::sleep_for(10ms);
        }
        return -1;
    }

private:
    std::array<char, 32> folder_{"/tmp/pimentograde-test-XXXXXX"};
    std::string path_;
};

int run_node(const std::string& path)
{
    const std::vector<cli::command> commands{cli::node_command()};
    const std::vector<const char*> words{"node", "--settings", path.c_str()};
    std::ostringstream out;
    std::ostringstream err;
    return static_cast<int>(cli::run_command(
        commands, words, [](std::string_view) { return std::nullopt; }, out,
        err));
}

} // namespace

// Guards against an instance that ends since its settings change while it
// starts.
TEST_CASE("a signal during the start does not end the instance")
{
    const slow_file settings;
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0)
        _exit(run_node(settings.path()));
    const int file = settings.wait_for_reader();
    CHECK(file >= 0);
    CHECK(kill(child, SIGHUP) == 0);
    std::this_thread::sleep_for(50ms);
    close(file);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
    // The settings are empty, which is no JSON object.
    CHECK(WEXITSTATUS(status) == static_cast<int>(cli::exit_code::refused));
}
