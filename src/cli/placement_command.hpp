#ifndef PIMENTOGRADE_CLI_PLACEMENT_COMMAND_HPP
#define PIMENTOGRADE_CLI_PLACEMENT_COMMAND_HPP

#include "cli/command.hpp"

namespace pimentograde::cli
{

/// `placement`: where a job would go now, and why, without submitting it.
command placement_command();

} // namespace pimentograde::cli

#endif
