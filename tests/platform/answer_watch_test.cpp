#include "platform/answer_watch.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;

// Guards against a service whose return is noticed only when a long call has
// timed out, and against one that is slow and never gets the time it needs.
TEST_CASE("calls to a silent service end early, but for some")
{
    platform::answer_watch watch(1s);
    CHECK(watch.timeout() == 1s);
    watch.note_timeout();
    CHECK(watch.timeout() < 500ms);
    watch.note_timeout();
    CHECK(watch.timeout() < 500ms);
    watch.note_timeout();
    CHECK(watch.timeout() == 1s);
    watch.note_timeout();
    watch.note_answer();
    CHECK(watch.timeout() == 1s);
}
