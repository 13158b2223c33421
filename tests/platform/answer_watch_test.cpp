#include "platform/answer_watch.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;

// Guards against a service whose return is noticed only when a long call has
// timed out, and against one that is slow and never gets the time it needs.
TEST_CASE("calls to a silent service end early, but for some")
{
    platform::answer_watch watch(1s);
    const base::time_point begin{};
    CHECK(watch.timeout() == 1s);
    watch.note_timeout(begin);
    CHECK(watch.timeout() < 500ms);
    watch.note_timeout(begin);
    CHECK(watch.timeout() < 500ms);
    watch.note_timeout(begin);
    CHECK(watch.timeout() == 1s);
    watch.note_timeout(begin);
    watch.note_answer(begin + 1s);
    CHECK(watch.timeout() == 1s);
}

// Guards against a service that is taken for silent since one of its answers
// was lost, and against calls that are sent again although it is only slow.
TEST_CASE("a lost answer is told from silence and from slowness")
{
    platform::answer_watch watch(1s);
    const base::time_point begin{};
    watch.note_answer(begin + 500ms);
    watch.note_timeout(begin);
    CHECK_FALSE(watch.is_silent());
    CHECK(watch.repeat_delay() < 100ms);
    watch.note_answer_time(250ms);
    CHECK(watch.repeat_delay() > 250ms);
    for (int answer = 0; answer < 30; ++answer)
        watch.note_answer_time(4ms);
    CHECK(watch.repeat_delay() < 100ms);
    watch.note_timeout(begin + 600ms);
    CHECK(watch.is_silent());
}
