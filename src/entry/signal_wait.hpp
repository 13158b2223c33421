#ifndef PIMENTOGRADE_ENTRY_SIGNAL_WAIT_HPP
#define PIMENTOGRADE_ENTRY_SIGNAL_WAIT_HPP

namespace pimentograde::entry
{

/// From here on SIGTERM, SIGINT and SIGHUP are kept for `wait_for_signal`.
void catch_signals();

/// Suspends the calling fiber until one of them arrives, or has arrived since
/// `catch_signals`, and returns the signal's number.
int wait_for_signal();

} // namespace pimentograde::entry

#endif
