#ifndef PIMENTOGRADE_PLATFORM_ANSWER_WATCH_HPP
#define PIMENTOGRADE_PLATFORM_ANSWER_WATCH_HPP

#include "base/time.hpp"

namespace pimentograde::platform
{

/// Chooses the time-out of calls to a service that may fall silent. While it
/// does not answer, most calls end early, so that its return is noticed soon;
/// every third call gets the full time, since the service may be slow instead.
/// Says also after what time a call that gets no answer is sent again.
class answer_watch
{
public:
    explicit answer_watch(base::duration full_timeout) : full_(full_timeout) {}

    void note_answer(base::time_point now);
    /// A call has been answered without waiting for an event.
    void note_answer_time(base::duration length);
    /// Does not count when another call was answered meanwhile: then only this
    /// answer is lost.
    void note_timeout(base::time_point sent_at);
    [[nodiscard]] base::duration timeout() const;
    /// Longer than the service has lately taken to answer.
    [[nodiscard]] base::duration repeat_delay() const;
    /// Whether calls have been without an answer since the last one that got
    /// one.
    [[nodiscard]] bool is_silent() const { return unanswered_ > 0; }

private:
    base::duration full_;
    /// Calls without an answer since the last one that got one.
    int unanswered_ = 0;
    base::time_point answered_at_ = base::time_point::min();
    /// Longest answer time, with earlier ones at less weight.
    base::duration answer_time_{};
};

} // namespace pimentograde::platform

#endif
