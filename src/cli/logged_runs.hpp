#ifndef PIMENTOGRADE_CLI_LOGGED_RUNS_HPP
#define PIMENTOGRADE_CLI_LOGGED_RUNS_HPP

#include "cli/log_timeline.hpp"

#include <span>

namespace pimentograde::cli
{

/// The starts that one line names; empty for lines that name none.
std::vector<logged_start> starts_in(const log_line& line);

/// The starts of `id`, a job, task or worker, with their ends. `lines` are in
/// the order of their times.
std::vector<logged_start> starts_of(std::span<const log_line> lines,
                                    std::string_view id);

/// One sentence for each start of a task whose earlier run is not logged as
/// ended, or has ended done. `starts` are in the order of their times.
std::vector<std::string>
contradictions_of(std::span<const logged_start> starts);

} // namespace pimentograde::cli

#endif
