#ifndef PIMENTOGRADE_TESTS_SLOTS_SIMULATED_TIME_HPP
#define PIMENTOGRADE_TESTS_SLOTS_SIMULATED_TIME_HPP

#include <functional>

namespace pimentograde::tests
{

/// Runs `body` in a thread of its own whose steady clock is simulated: it
/// stands while fibers run, except for a microsecond at each reading, and jumps
/// to the next timer when none can run. The same body therefore takes the same
/// course on each machine. When no fiber can ever run again, `on_stuck` is
/// called and the process is ended. Bodies must use no sockets.
void run_in_simulated_time(const std::function<void()>& body,
                           const std::function<void()>& on_stuck);

} // namespace pimentograde::tests

#endif
