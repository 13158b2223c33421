#ifndef PIMENTOGRADE_CLI_EXPLAIN_COMMAND_HPP
#define PIMENTOGRADE_CLI_EXPLAIN_COMMAND_HPP

#include "cli/command.hpp"

namespace pimentograde::cli
{

/// Reads collected logs and prints the timeline of one job, worker, machine,
/// pool or wave.
command explain_command();

} // namespace pimentograde::cli

#endif
