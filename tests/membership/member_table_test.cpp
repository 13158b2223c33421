#include "membership/member_table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

using namespace pimentograde;
using namespace std::chrono_literals;
using membership::change_kind;
using membership::member_state;
using membership::member_table;

namespace
{

peer::member_entry entry_of(int number, std::uint64_t incarnation)
{
    return {base::member_id("entry-" + std::to_string(number)),
            {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)},
            base::zone_name("z"),
            incarnation};
}

peer::heartbeat beat_of(int number, std::uint64_t incarnation)
{
    peer::heartbeat beat;
    beat.sender = entry_of(number, incarnation);
    return beat;
}

bool has_change(const membership::change_list& changes, change_kind kind)
{
    return std::any_of(changes.begin(), changes.end(),
                       [&](const auto& c) { return c.kind == kind; });
}

constexpr base::time_point start{1h};

// Advances in steps, as the service does, so that no pause is seen.
membership::change_list run_until(member_table& table, base::time_point& now,
                                  base::time_point end)
{
    membership::change_list all;
    while (now < end)
    {
        now = std::min<base::time_point>(now + 100ms, end);
        const auto changes = table.advance(now);
        all.insert(all.end(), changes.begin(), changes.end());
    }
    return all;
}

// Several members that exchange heartbeats in simulated time over a network
// that loses, delays and reorders them.
class simulation
{
public:
    explicit simulation(int count)
    {
        for (int i = 0; i < count; ++i)
            nodes_.push_back({i, 1, member_table(entry_of(i, 1), now_), true});
    }

    void step(bool reliable)
    {
        now_ += 100ms;
        ++ticks_;
        for (node& sender : nodes_)
            if (sender.running && ticks_ % 5 == 0)
                send_all(sender, reliable);
        deliver(reliable);
        for (node& n : nodes_)
            if (n.running)
                n.table.advance(now_);
    }
    void restart(int i)
    {
        node& n = nodes_[i];
        ++n.incarnation;
        n.table = member_table(entry_of(i, n.incarnation), now_);
        n.running = true;
        // First contact: one other member, as from the settings.
        const int other = i == 0 ? 1 : 0;
        n.table.learned(entry_of(other, 0), now_);
    }
    void set_running(int i, bool running) { nodes_[i].running = running; }
    void introduce_all()
    {
        for (node& n : nodes_)
            for (const node& other : nodes_)
                n.table.learned(other.table.self(), now_);
    }

    struct node
    {
        int number;
        std::uint64_t incarnation;
        member_table table;
        bool running;
    };
    std::vector<node>& nodes() { return nodes_; }

private:
    struct message
    {
        int to;
        peer::heartbeat beat;
        std::uint64_t due;
    };

    void send_all(node& sender, bool reliable)
    {
        peer::heartbeat beat;
        beat.sender = sender.table.self();
        beat.known = sender.table.live();
        for (const auto& contact : sender.table.contacts())
        {
            if (!reliable && *rc::gen::inRange(0, 4) == 0)
                continue;
            const std::uint64_t delay =
                reliable ? 0 : *rc::gen::inRange<std::uint64_t>(0, 40);
            transit_.push_back(
                {contact.address.port - 9000, beat, ticks_ + delay});
        }
    }
    void deliver(bool reliable)
    {
        std::deque<message> later;
        for (message& m : transit_)
        {
            if (!reliable && m.due > ticks_)
                later.push_back(std::move(m));
            else if (nodes_[m.to].running)
                nodes_[m.to].table.heard(m.beat, now_);
        }
        transit_ = std::move(later);
    }

    base::time_point now_ = start;
    std::uint64_t ticks_ = 0;
    std::vector<node> nodes_;
    std::deque<message> transit_;
};

} // namespace

TEST_CASE("silence leads to suspicion after 1.5 s and to a drop after 3 s")
{
    base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    CHECK(has_change(table.heard(beat_of(1, 1), now), change_kind::joined));
    CHECK(run_until(table, now, start + 1500ms).empty());
    CHECK(has_change(run_until(table, now, start + 1700ms),
                     change_kind::suspected));
    CHECK(table.live().size() == 2);
    CHECK(has_change(table.heard(beat_of(1, 1), now), change_kind::recovered));
    run_until(table, now, now + 2900ms);
    CHECK(table.state_of(base::member_id("entry-1")) ==
          member_state::suspected);
    CHECK(has_change(run_until(table, now, now + 300ms), change_kind::dropped));
    CHECK(table.live().size() == 1);
}

// Guards against a late message of a former incarnation that replaces the
// present one.
TEST_CASE("a higher incarnation replaces a lower one and never the reverse")
{
    const base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    table.heard(beat_of(1, 5), now);
    CHECK(table.heard(beat_of(1, 4), now).empty());
    CHECK(table.find(base::member_id("entry-1"))->incarnation == 5);
    const auto changes = table.heard(beat_of(1, 6), now);
    CHECK(has_change(changes, change_kind::dropped));
    CHECK(has_change(changes, change_kind::joined));
    // Another id at the same address: the former process has ended.
    peer::heartbeat moved = beat_of(1, 7);
    moved.sender.id = base::member_id("other");
    table.heard(moved, now);
    CHECK(!table.find(base::member_id("entry-1")));
    CHECK(table.heard(beat_of(1, 6), now).empty());
    CHECK(table.live().size() == 2);
}

// Guards against a late message that brings back a former incarnation when
// nobody is live to compare it with.
TEST_CASE("a drop does not make room for an earlier incarnation")
{
    base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    table.heard(beat_of(1, 5), now);
    run_until(table, now, start + 4s);
    REQUIRE(table.live().size() == 1);
    CHECK(table.heard(beat_of(1, 4), now).empty());
    table.learned(entry_of(1, 4), now);
    CHECK(table.contacts().empty());
    CHECK(has_change(table.heard(beat_of(1, 5), now), change_kind::joined));
}

// Guards against members that exist only in what others say.
TEST_CASE("hearsay makes a contact, not a live member")
{
    base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    peer::heartbeat beat = beat_of(1, 1);
    beat.known = {entry_of(2, 1), entry_of(0, 9)};
    table.heard(beat, now);
    CHECK(table.live().size() == 2);
    CHECK(table.contacts().size() == 2);
    CHECK(table.self().incarnation == 1);
    run_until(table, now, start + 31s);
    CHECK(table.contacts().empty());
}

// Guards against a resumed process that drops everybody, and with them takes
// over all ownership, before it could hear anybody.
TEST_CASE("after its own pause a member gives the others time to be heard")
{
    base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    table.heard(beat_of(1, 1), now);
    now += 20s;
    const auto changes = table.advance(now);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].kind == change_kind::paused);
    CHECK(changes[0].silence == 20s);
    CHECK(table.live().size() == 2);
    CHECK(
        has_change(run_until(table, now, now + 3200ms), change_kind::dropped));
    // What arrived before the pause was noticed does not count twice.
    table.heard(beat_of(1, 1), now);
    now += 20s;
    table.heard(beat_of(1, 1), now);
    table.advance(now);
    run_until(table, now, now + 3200ms);
    CHECK(table.live().size() == 1);
}

TEST_CASE("a leaving member owns nothing but stays until it is silent")
{
    base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    table.heard(beat_of(1, 1), now);
    std::string owned;
    for (int i = 0; owned.empty(); ++i)
        if (table.owner(std::to_string(i)) == base::member_id("entry-1"))
            owned = std::to_string(i);
    CHECK(has_change(table.left(entry_of(1, 1)), change_kind::left));
    CHECK(table.owner(owned) == base::member_id("entry-0"));
    CHECK(table.live().size() == 2);
    table.heard(beat_of(1, 1), now); // sent before the announcement
    CHECK(table.owner(owned) == base::member_id("entry-0"));
    table.heard(beat_of(1, 2), now); // restarted
    CHECK(table.owner(owned) == base::member_id("entry-1"));
    table.set_leaving();
    for (int i = 0; i < 20; ++i)
        CHECK(table.owner(std::to_string(i)) == base::member_id("entry-1"));
}

// Guards against a hint that keeps a rebooted worker out of service.
TEST_CASE("a worker hint holds for its incarnation and lapses with its source")
{
    base::time_point now = start;
    member_table table(entry_of(0, 1), now);
    const base::worker_id worker("glare-01");
    peer::heartbeat beat = beat_of(1, 1);
    beat.leaving_workers = {{worker, 7}};
    table.heard(beat, now);
    CHECK(table.is_worker_leaving(worker, 7, now));
    CHECK(table.is_worker_leaving(worker, 6, now));
    CHECK(!table.is_worker_leaving(worker, 8, now));
    CHECK(table.own_hints().empty());
    run_until(table, now, start + 3100ms);
    CHECK(!table.is_worker_leaving(worker, 7, now));
    table.note_worker_leaving({worker, 7});
    CHECK(table.own_hints().size() == 1);
    CHECK(table.is_worker_leaving(worker, 7, now));
    table.note_worker_serving(worker);
    CHECK(!table.is_worker_leaving(worker, 7, now));
}

// Guards against ownership that moves more than the lost member's part.
TEST_CASE("the loss of a member moves only what it owned")
{
    CHECK(rc::check(
        "rendezvous",
        []
        {
            const int count = *rc::gen::inRange(2, 10);
            base::time_point now = start;
            member_table before(entry_of(0, 1), now);
            member_table after(entry_of(0, 1), now);
            const int lost = *rc::gen::inRange(1, count);
            for (int i = 1; i < count; ++i)
            {
                before.heard(beat_of(i, 1), now);
                if (i != lost)
                    after.heard(beat_of(i, 1), now);
            }
            const auto lost_id = entry_of(lost, 1).id;
            for (int i = 0; i < 32; ++i)
            {
                const std::string name = "records/" + std::to_string(i);
                if (before.owner(name) != lost_id)
                    RC_ASSERT(before.owner(name) == after.owner(name));
            }
        }));
}

// Histories with loss, delay, reordering, stops and restarts. In every view a
// member's incarnation only rises, and once messages arrive again all views
// and owners agree.
TEST_CASE("views converge after any history and incarnations only rise")
{
    CHECK(rc::check(
        "histories",
        []
        {
            const int count = *rc::gen::inRange(2, 6);
            simulation world(count);
            world.introduce_all();
            std::map<std::pair<int, base::member_id>, std::uint64_t> highest;
            const int steps = *rc::gen::inRange(0, 80);
            for (int s = 0; s < steps; ++s)
            {
                const int target = *rc::gen::inRange(0, count);
                const int action = *rc::gen::inRange(0, 30);
                if (action == 0)
                    world.restart(target);
                if (action == 1)
                    world.set_running(target, false);
                if (action == 2)
                    world.set_running(target, true);
                world.step(false);
                for (auto& n : world.nodes())
                    for (const auto& seen : n.table.live())
                    {
                        auto& top = highest[{n.number, seen.id}];
                        if (seen.id != n.table.self().id && n.incarnation == 1)
                            RC_ASSERT(seen.incarnation >= top);
                        top = seen.incarnation;
                    }
            }
            for (int i = 0; i < count; ++i)
                world.set_running(i, true);
            world.introduce_all();
            for (int s = 0; s < 60; ++s)
                world.step(true);
            for (auto& n : world.nodes())
            {
                RC_ASSERT(static_cast<int>(n.table.live().size()) == count);
                RC_ASSERT(n.table.live() == world.nodes()[0].table.live());
                for (int i = 0; i < 8; ++i)
                    RC_ASSERT(n.table.owner(std::to_string(i)) ==
                              world.nodes()[0].table.owner(std::to_string(i)));
            }
        }));
}
