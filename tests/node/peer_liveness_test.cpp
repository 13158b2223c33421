#include "node/peer_liveness.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

constexpr base::time_point start(100s);

} // namespace

// Guards against submissions that wait for an owner without power until their
// callers give up (kavango-cues trouble-3: 40 jobs in 2 s, answered 504
// although no worker had seen them).
TEST_CASE("an instance that answers nothing gets few submissions")
{
    node::peer_liveness peer;
    CHECK(peer.should_submit(start));
    peer.begin_call(start);
    CHECK(peer.should_submit(start + 300ms));
    CHECK(peer.is_silent(start + 500ms));
    int sent = 0;
    for (int index = 0; index < 100; ++index)
        if (peer.should_submit(start + 500ms + index * 10ms))
            ++sent;
    CHECK(sent >= 3);
    CHECK(sent <= 5);
    peer.end_call(false, start + 2s);
    CHECK(peer.is_silent(start + 2s));
    peer.begin_call(start + 2s);
    peer.end_call(true, start + 2s + 5ms);
    CHECK_FALSE(peer.is_silent(start + 3s));
}

// Guards against refusals while the owner waits for a slow store.
TEST_CASE("a slow submission among other answers is no silence")
{
    node::peer_liveness peer;
    peer.begin_call(start);
    for (int index = 1; index < 10; ++index)
    {
        peer.begin_call(start + index * 200ms);
        peer.end_call(true, start + index * 200ms + 5ms);
        CHECK_FALSE(peer.is_silent(start + index * 200ms + 100ms));
    }
}
