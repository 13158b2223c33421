#include "base/error.hpp"
#include "platform/repeated_call.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

// A peer that leaves the first calls without an answer.
struct silent_peer
{
    int unanswered = 0;
    unsigned status = 200;
    base::duration patience = 300ms;
    int calls = 0;

    platform::json_response operator()()
    {
        if (++calls <= unanswered)
        {
            boost::this_fiber::sleep_for(patience);
            throw base::error(base::error_code::timeout, "call", "", "late");
        }
        return {status, {}};
    }
};

struct call
{
    silent_peer peer;
    net::task_group tries;

    platform::json_response send(int max_tries)
    {
        return platform::send_repeatedly(
            tries, {base::steady_now() + 300ms, 20ms, max_tries},
            [this] { return peer(); });
    }
};

} // namespace

// Guards against a call that waits for an answer that is lost until its time
// is up.
TEST_CASE("a call is sent again beside a try without an answer")
{
    call one;
    one.peer.unanswered = 2;
    const base::time_point begin = base::steady_now();
    CHECK(one.send(4).status == 200);
    CHECK(base::steady_now() - begin < 200ms);
    CHECK(one.peer.calls == 3);
}

// Guards against more calls than needed, and against a wait of the full time
// for a peer that turns calls away.
TEST_CASE("a call that is answered is not sent again")
{
    call one;
    CHECK(one.send(4).status == 200);
    CHECK(one.peer.calls == 1);
    one.peer.status = 503;
    CHECK(one.send(4).status == 503);
    CHECK(one.peer.calls == 2);
}

// Guards against a refusal of what may have taken effect: the first try has no
// answer and the second is turned away.
TEST_CASE("a call with a try without an answer is not reported as refused")
{
    call one;
    one.peer.unanswered = 1;
    one.peer.status = 503;
    bool is_unknown = false;
    try
    {
        one.send(2);
    }
    catch (const base::error& failure)
    {
        is_unknown = failure.effect_unknown();
    }
    CHECK(is_unknown);
    CHECK(one.peer.calls == 2);
}
