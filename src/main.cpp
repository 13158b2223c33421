#include "cli/command.hpp"
#include "cli/node_command.hpp"
#include "cli/serve_command.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace pimentograde;
    std::vector<cli::command> commands = cli::client_commands();
    commands.insert(commands.begin(), cli::serve_command());
    commands.insert(commands.begin(), cli::node_command());
    const std::vector<const char*> words(argv + 1, argv + argc);
    return static_cast<int>(cli::run_command(
        commands, words, cli::process_environment(), std::cout, std::cerr));
}
