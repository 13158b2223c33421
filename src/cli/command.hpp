#ifndef PIMENTOGRADE_CLI_COMMAND_HPP
#define PIMENTOGRADE_CLI_COMMAND_HPP

#include "cli/setting.hpp"

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::cli
{

/// Exit status of a command.
enum class exit_code : int
{
    ok = 0,
    /// The instance refused, or the work ended otherwise than done.
    refused = 1,
    usage = 2,
    /// No answer: the effect, if any, is unknown.
    unreachable = 3,
    unauthorized = 4
};

/// What a command gets to work with.
struct command_input
{
    setting_values settings;
    std::vector<std::string> arguments;
    /// Values of the command's own options.
    setting_values options;
    bool json = false;
    std::ostream& out;
    std::ostream& err;
};

/// An option of one command, besides the settings.
struct command_option
{
    std::string_view name;
    std::string_view default_value;
    std::string_view help;
    bool is_switch = false;
};

struct command
{
    /// The words that select it, such as `bundle sign-off`.
    std::string_view name;
    /// Names of the positional arguments.
    std::vector<std::string_view> arguments;
    std::string_view help;
    std::string_view example;
    std::vector<command_option> options;
    std::span<const setting> settings;
    std::function<exit_code(command_input&)> run;
};

/// Selects and runs a command. Prints usage errors to `err`; never throws.
exit_code run_command(std::span<const command> commands,
                      std::span<const char* const> words,
                      const environment& env, std::ostream& out,
                      std::ostream& err);

/// The operators' and callers' commands.
std::vector<command> client_commands();

} // namespace pimentograde::cli

#endif
