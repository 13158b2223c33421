#ifndef PIMENTOGRADE_CLI_NODE_COMMAND_HPP
#define PIMENTOGRADE_CLI_NODE_COMMAND_HPP

#include "cli/command.hpp"

namespace pimentograde::cli
{

/// The command that runs an entry instance on the users' platform until
/// SIGTERM, with the settings file that the platform provides.
command node_command();

} // namespace pimentograde::cli

#endif
