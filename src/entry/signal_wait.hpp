#ifndef PIMENTOGRADE_ENTRY_SIGNAL_WAIT_HPP
#define PIMENTOGRADE_ENTRY_SIGNAL_WAIT_HPP

namespace pimentograde::entry
{

/// Suspends the calling fiber until SIGTERM or SIGINT arrives and returns the
/// signal's number.
int wait_for_stop_signal();

/// Like `wait_for_stop_signal`, but returns for SIGHUP too.
int wait_for_signal();

} // namespace pimentograde::entry

#endif
