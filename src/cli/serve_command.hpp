#ifndef PIMENTOGRADE_CLI_SERVE_COMMAND_HPP
#define PIMENTOGRADE_CLI_SERVE_COMMAND_HPP

#include "cli/command.hpp"

namespace pimentograde::cli
{

/// The command that runs an entry instance until SIGTERM or SIGINT.
command serve_command();

} // namespace pimentograde::cli

#endif
