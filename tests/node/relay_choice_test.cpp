// Which way store calls take while the store refuses some instances.

#include "node/relay_choice.hpp"

#include <doctest/doctest.h>

#include <set>
#include <vector>

using namespace pimentograde;
using namespace pimentograde::node;
using namespace std::chrono_literals;

namespace
{

constexpr base::time_point start{100s};
const std::vector<std::string> peers{"e1", "e2", "e3", "e4"};

relay_choice refused_choice()
{
    relay_choice choice(7);
    choice.note_direct(store_outcome::refused, start);
    choice.note_direct(store_outcome::refused, start + 1ms);
    return choice;
}

} // namespace

// Guards against calls that take the longer way for a refusal that all
// instances together have caused.
TEST_CASE("one refusal does not send calls through a peer, two do")
{
    relay_choice choice(7);
    choice.note_direct(store_outcome::refused, start);
    CHECK_FALSE(choice.prefers_peer(start));
    choice.note_direct(store_outcome::refused, start);
    CHECK(choice.prefers_peer(start));
}

// Guards against an owner that is cut off for long and keeps its pool, although
// an instance that the store answers would run it better.
TEST_CASE("calls without an answer do not send calls through a peer")
{
    relay_choice choice(7);
    for (int call = 0; call < 9; ++call)
        choice.note_direct(store_outcome::silent, start);
    CHECK_FALSE(choice.prefers_peer(start));
}

TEST_CASE("a direct call that is served ends the relaying")
{
    relay_choice choice = refused_choice();
    choice.note_direct(store_outcome::served, start + 1s);
    CHECK_FALSE(choice.prefers_peer(start + 1s));
    CHECK_FALSE(choice.is_refused());
}

TEST_CASE("the peer that serves is kept, and one that does not is passed over")
{
    relay_choice choice = refused_choice();
    const auto first = choice.next_peer(peers, start);
    REQUIRE(first);
    choice.note_peer(*first, store_outcome::refused, start);
    const auto second = choice.next_peer(peers, start);
    REQUIRE(second);
    CHECK(*second != *first);
    choice.note_peer(*second, store_outcome::served, start);
    CHECK(choice.next_peer(peers, start + 5s) == second);
}

// Guards against a storm of calls between the instances while the store is away
// for all of them.
TEST_CASE("after three peers without service the relaying pauses")
{
    relay_choice choice = refused_choice();
    base::time_point now = start;
    int tries = 0;
    for (; now < start + 3s; now += 10ms)
    {
        choice.note_direct(store_outcome::refused, now);
        if (!choice.prefers_peer(now))
            continue;
        const auto peer = choice.next_peer(peers, now);
        if (!peer)
            continue;
        ++tries;
        choice.note_peer(*peer, store_outcome::refused, now);
    }
    // Four peers, each once a second.
    CHECK(tries <= 12);
    CHECK(tries >= 6);
}

// Guards against an owner that gives the relay up since several of its calls
// were under way to one peer that is slow.
TEST_CASE("calls that fail at one peer together count once")
{
    relay_choice choice = refused_choice();
    const std::string peer = choice.next_peer(peers, start).value_or("");
    for (int call = 0; call < 20; ++call)
        choice.note_peer(peer, store_outcome::silent, start);
    CHECK(choice.prefers_peer(start));
    const auto next = choice.next_peer(peers, start);
    REQUIRE(next);
    CHECK(*next != peer);
}

// Guards against all refused instances leaning on one peer.
TEST_CASE("refused instances spread over their peers")
{
    std::set<std::string> chosen;
    for (std::uint64_t seed = 0; seed < 40; ++seed)
    {
        relay_choice choice(seed);
        chosen.insert(choice.next_peer(peers, start).value_or(""));
    }
    CHECK(chosen.size() == peers.size());
}
