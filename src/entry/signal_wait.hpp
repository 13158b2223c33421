#ifndef PIMENTOGRADE_ENTRY_SIGNAL_WAIT_HPP
#define PIMENTOGRADE_ENTRY_SIGNAL_WAIT_HPP

namespace pimentograde::entry
{

/// Suspends the calling fiber until SIGTERM or SIGINT arrives and returns the
/// signal's number.
int wait_for_stop_signal();

/// From here on SIGTERM, SIGINT and SIGHUP are kept for `wait_for_signal`.
void catch_signals();

/// Like `wait_for_stop_signal`, but returns for SIGHUP too, and for a signal
/// that arrived earlier if `catch_signals` had been called.
int wait_for_signal();

} // namespace pimentograde::entry

#endif
