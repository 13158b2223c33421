#ifndef PIMENTOGRADE_PLATFORM_ANSWER_WATCH_HPP
#define PIMENTOGRADE_PLATFORM_ANSWER_WATCH_HPP

#include "base/time.hpp"

namespace pimentograde::platform
{

/// Chooses the time-out of calls to a service that may fall silent. While it
/// does not answer, most calls end early, so that its return is noticed soon;
/// every third call gets the full time, since the service may be slow instead.
class answer_watch
{
public:
    explicit answer_watch(base::duration full_timeout) : full_(full_timeout) {}

    void note_answer() { unanswered_ = 0; }
    void note_timeout() { ++unanswered_; }
    [[nodiscard]] base::duration timeout() const;

private:
    base::duration full_;
    /// Calls without an answer since the last one that got one.
    int unanswered_ = 0;
};

} // namespace pimentograde::platform

#endif
