// Random histories of the machine role: holders are killed at any moment, their
// orders arrive late, and the next holder takes over at once. Each maintenance
// ends the machine's worker, and a new one joins after it.

#include "fleet/ordered_workers.hpp"
#include "fleet/recent_orders.hpp"
#include "fleet/wave_progress.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace pimentograde;
using namespace pimentograde::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr auto pause = 3s;
// Orders are sent within this time after their record.
constexpr auto record_validity = 600ms;
constexpr auto in_flight_margin = 400ms;
constexpr auto maintenance_time = 2s;
constexpr auto step = 100ms;
constexpr auto listing_interval = 250ms;
constexpr int machine_count = 12;
constexpr int max_down = 3;

maintenance_wave make_wave()
{
    maintenance_wave wave;
    wave.number = 1;
    for (int index = 0; index < machine_count; ++index)
        wave.machines.push_back("m" + std::to_string(index));
    wave.time_limit = 120s;
    wave.max_down = max_down;
    return wave;
}

// Probabilities of faults in percent.
struct fault_odds
{
    /// The holder is killed.
    int kill = 0;
    /// An order or a record gets no answer.
    int loss = 0;
    /// An order without an answer takes effect up to 12 s later.
    int late_order = 0;
    /// A listing lacks a machine.
    int missing = 0;
    /// A killed holder has no successor for up to 8 s.
    int vacancy = 0;
};

enum class order_answer
{
    done,
    busy
};

// The machine service: an order takes effect when it arrives. It refuses
// orders of an older holder than the last one, as far as it checks fences.
struct machine_service
{
    struct state
    {
        base::time_point down_until{};
        bool is_maintained = false;
        int last_holder = 0;
        base::time_point ordered_at{};
        /// Number of its workers that have ended.
        int ended_workers = 0;
    };
    std::map<std::string, state> machines;
    /// Workers that were named as ended.
    std::set<std::string> named;
    std::vector<std::string> violations;
    bool checks_fences = false;

    int down(base::time_point now) const
    {
        return static_cast<int>(std::count_if(
            machines.begin(), machines.end(),
            [&](const auto& entry) { return now < entry.second.down_until; }));
    }
    order_answer order(const std::string& name, int holder,
                       base::time_point now)
    {
        state& machine = machines[name];
        if (checks_fences && holder < machine.last_holder)
            return order_answer::busy;
        if (machine.last_holder != 0 && machine.last_holder != holder &&
            now - machine.ordered_at < pause && !checks_fences)
            violations.push_back("two holders ordered " + name);
        if (holder < machine.last_holder)
            violations.push_back("an older holder ordered " + name);
        machine.last_holder = holder;
        machine.ordered_at = now;
        if (now < machine.down_until)
            return order_answer::busy;
        if (machine.is_maintained)
            return order_answer::done;
        if (down(now) >= max_down)
            violations.push_back("too many machines are down with " + name);
        machine.is_maintained = true;
        machine.down_until = now + maintenance_time;
        ++machine.ended_workers;
        return order_answer::done;
    }
    std::string worker_of(const std::string& name) const
    {
        return name + "." + std::to_string(machines.at(name).ended_workers);
    }
    void name_ended(const ordered_workers::ended_worker& entry)
    {
        if (entry.worker == worker_of(entry.machine))
            violations.push_back("named as ended: " + entry.worker);
        named.insert(entry.worker);
    }
    machine listed(const std::string& name, base::time_point now) const
    {
        machine entry;
        entry.id = name;
        entry.pool = "pool";
        const bool is_down = now < machines.at(name).down_until;
        entry.status =
            is_down ? machine_status::in_maintenance : machine_status::up;
        if (!is_down)
            entry.worker = worker_of(name);
        return entry;
    }
};

// What outlives a holder.
struct stored_state
{
    struct record
    {
        int holder = 0;
        std::vector<recorded_order> orders;
        base::time_point expires_at;
    };
    std::vector<record> records;
    std::vector<std::string> done;
    /// Machines that may be down, until they are written anew.
    std::vector<std::string> ordered;

    std::vector<recorded_order> orders_of_others(int holder,
                                                 base::time_point now) const
    {
        std::vector<recorded_order> result;
        for (const record& entry : records)
            if (entry.holder != holder && now < entry.expires_at)
                result.insert(result.end(), entry.orders.begin(),
                              entry.orders.end());
        return result;
    }
};

struct holder
{
    int number = 0;
    recent_orders recent;
    ordered_workers ordered;
    wave_progress wave;

    holder(int own_number, const stored_state& stored, base::time_point now)
        : number(own_number), wave(make_wave(), now)
    {
        refresh(stored, now);
        wave.restore_done(stored.done);
        for (const std::string& machine : stored.ordered)
            wave.restore_ordered(machine, now);
        for (const std::string& machine : recent.machines_of_wave(1))
            wave.restore_ordered(machine, now);
    }
    void refresh(const stored_state& stored, base::time_point now)
    {
        recent.set_inherited(stored.orders_of_others(number, now), true);
    }
};

struct order_in_flight
{
    std::string machine;
    int holder = 0;
    base::time_point arrives_at;
};

class role_world
{
public:
    role_world(std::uint64_t seed, fault_odds odds) : random_(seed), odds_(odds)
    {
        service.checks_fences = odds.late_order > 0;
        for (const std::string& name : make_wave().machines)
            service.machines[name] = {};
        take_over();
    }

    void stop_faults() { odds_ = {}; }
    void play_step()
    {
        now_ += step;
        deliver();
        if (chance(odds_.kill))
            vacant_until_ = now_ + vacancy();
        if (now_ < vacant_until_)
        {
            current_.reset();
            return;
        }
        if (!current_)
            take_over();
        holder& own = *current_;
        if (chance(40))
            own.refresh(stored_, now_);
        if (now_ - listed_at_ >= listing_interval)
            list_machines();
        apply_listing(own);
        stored_.done = own.wave.done();
        own.wave.choose(
            [&](const std::string& name) -> std::optional<machine_load>
            {
                const auto found = listing_.find(name);
                if (own.recent.is_held_back(name) || found == listing_.end() ||
                    found->second.status != machine_status::up)
                    return std::nullopt;
                machine_load load;
                load.runs = static_cast<std::int64_t>(random_() % 8);
                return load;
            },
            maintenance_time, now_);
        order_machines(own);
    }
    [[nodiscard]] bool is_complete() const
    {
        return current_ && current_->wave.is_complete();
    }
    [[nodiscard]] bool is_all_maintained() const
    {
        return std::all_of(service.machines.begin(), service.machines.end(),
                           [](const auto& entry)
                           { return entry.second.is_maintained; });
    }

    machine_service service;

private:
    bool chance(int percent)
    {
        return static_cast<int>(random_() % 100) < percent;
    }
    base::duration vacancy()
    {
        const auto steps = static_cast<int>(random_() % 80);
        return chance(odds_.vacancy) ? step * (1 + steps) : step;
    }
    void take_over()
    {
        current_ = std::make_unique<holder>(++holders_, stored_, now_);
        list_machines();
    }
    void list_machines()
    {
        listed_at_ = now_;
        listing_.clear();
        for (const std::string& name : make_wave().machines)
            if (!chance(odds_.missing))
                listing_[name] = service.listed(name, now_);
    }
    void apply_listing(holder& own)
    {
        for (const std::string& name : own.wave.wave().machines)
            if (const auto found = listing_.find(name); found != listing_.end())
                own.wave.note_listed(found->second, maintenance_time,
                                     listed_at_);
            else
                own.wave.note_missing(name, listed_at_);
        for (const auto& entry : own.ordered.take_ended(
                 [this](const std::string& name)
                 {
                     const auto found = listing_.find(name);
                     return found == listing_.end() ? nullptr : &found->second;
                 },
                 listed_at_))
            service.name_ended(entry);
    }
    void note_ordered(holder& own, const std::string& name)
    {
        if (const auto found = listing_.find(name); found != listing_.end())
            own.ordered.note_ordered(found->second, now_);
    }
    void order_machines(holder& own)
    {
        auto names = own.wave.unacknowledged();
        std::erase_if(names, [&](const std::string& name)
                      { return own.recent.is_held_back(name); });
        const auto prepared =
            own.wave.machines_in(maintenance_stage::preparing);
        names.insert(names.end(), prepared.begin(), prepared.end());
        std::vector<recorded_order> orders;
        for (const std::string& name : names)
            orders.push_back({name, 1});
        if (orders.empty() || !record(own, orders))
            return;
        if (chance(odds_.kill))
        {
            current_.reset();
            return;
        }
        for (const std::string& name : names)
            send(own, name);
    }
    bool record(holder& own, std::span<const recorded_order> orders)
    {
        const bool is_answered = !chance(odds_.loss);
        // Without an answer the write may have taken effect.
        if (is_answered || chance(50))
        {
            stored_.records.push_back(
                {own.number,
                 {orders.begin(), orders.end()},
                 now_ + pause + record_validity + in_flight_margin});
            stored_.ordered = own.wave.machines_in(maintenance_stage::ordered);
            for (const recorded_order& entry : orders)
                stored_.ordered.push_back(entry.machine);
        }
        return is_answered;
    }
    // An order without an answer arrives within the call's timeout, late, or
    // not at all.
    void send(holder& own, const std::string& name)
    {
        const auto pending = own.wave.unacknowledged();
        const bool is_repeated =
            std::find(pending.begin(), pending.end(), name) != pending.end();
        own.wave.note_ordered(name, now_);
        if (chance(odds_.late_order))
        {
            in_flight_.push_back(
                {name, own.number, now_ + step * (20 + random_() % 100)});
            note_ordered(own, name);
        }
        else if (chance(odds_.loss))
        {
            note_ordered(own, name);
            if (chance(50))
                in_flight_.push_back(
                    {name, own.number, now_ + step * (random_() % 4)});
        }
        else if (service.order(name, own.number, now_) == order_answer::done)
        {
            note_ordered(own, name);
            own.wave.note_acknowledged(name, now_);
        }
        else if (!is_repeated)
            own.wave.note_refused(name, now_);
    }
    void deliver()
    {
        std::erase_if(in_flight_,
                      [this](const order_in_flight& order)
                      {
                          if (order.arrives_at > now_)
                              return false;
                          service.order(order.machine, order.holder, now_);
                          return true;
                      });
    }

    std::mt19937_64 random_;
    fault_odds odds_;
    base::time_point now_{100s};
    int holders_ = 0;
    stored_state stored_;
    std::unique_ptr<holder> current_;
    std::deque<order_in_flight> in_flight_;
    base::time_point vacant_until_{};
    base::time_point listed_at_{};
    std::map<std::string, machine> listing_;
};

std::string play(std::uint64_t seed, fault_odds odds)
{
    constexpr int disturbed_steps = 200;
    constexpr int calm_steps = 600;
    role_world world(seed, odds);
    for (int index = 0; index < disturbed_steps; ++index)
        world.play_step();
    world.stop_faults();
    for (int index = 0; index < calm_steps && !world.is_complete(); ++index)
        world.play_step();
    if (!world.service.violations.empty())
        return world.service.violations.front();
    if (!world.is_complete())
        return "the wave is not complete";
    return world.is_all_maintained() ? std::string{}
                                     : "a machine was not maintained";
}

void check(const char* name, fault_odds odds)
{
    CHECK(rc::check(name,
                    [=](std::uint64_t seed)
                    {
                        const std::string found = play(seed, odds);
                        RC_LOG() << found;
                        RC_ASSERT(found.empty());
                    }));
}

} // namespace

// Each case guards against live workers that are named as ended (a holder's
// order is answered as done, though an earlier one had been carried out),
// against two holders that order one machine within the pause, against more
// machines down at once than the wave allows (lcq-sched trouble-2 with a new
// holder that ordered at once: 11 of 10 machines), and against a wave that is
// completed without one of its machines.
TEST_CASE("holders of the machine role are killed at any moment")
{
    check("kills", {.kill = 4});
}

TEST_CASE("orders and records of the machine role get no answer")
{
    check("lost answers", {.loss = 25});
}

TEST_CASE("holders are killed while orders are in flight")
{
    check("kills and lost answers", {.kill = 4, .loss = 25});
}

TEST_CASE("orders take effect after the record of their holder has ended")
{
    check("late orders", {.kill = 2, .late_order = 30, .vacancy = 50});
}

TEST_CASE("listings lack machines that exist")
{
    check("missing machines", {.kill = 2, .loss = 10, .missing = 4});
}

// Guards against ended workers that no listing ever names.
TEST_CASE("each worker that an answered order has ended is named")
{
    role_world world(1, {});
    for (int index = 0; index < 600 && !world.is_complete(); ++index)
        world.play_step();
    CHECK(world.is_complete());
    CHECK(world.service.violations.empty());
    CHECK(world.service.named.size() == machine_count);
}

// Guards against a new holder that orders nothing for the pause between two
// holders (kavango-cues trouble-1: 3.4 s without moves, 113 of 642 jobs
// refused).
TEST_CASE("a new holder orders machines that nobody has ordered lately")
{
    recent_orders recent;
    CHECK(recent.is_held_back("m2"));
    recent.set_inherited(std::vector<recorded_order>{{"m1", 0}, {"m3", 7}},
                         true);
    CHECK(recent.is_held_back("m1"));
    CHECK_FALSE(recent.is_held_back("m2"));
    CHECK(recent.machines_of_wave(7) == std::vector<std::string>{"m3"});
    CHECK(recent.is_waiting());
    // The records have expired.
    recent.set_inherited({}, true);
    CHECK_FALSE(recent.is_held_back("m1"));
    CHECK_FALSE(recent.is_waiting());
    recent.clear();
    CHECK(recent.is_held_back("m2"));
}

// Guards against orders that ignore an unreadable record.
TEST_CASE("an unreadable record holds back all machines")
{
    recent_orders recent;
    recent.set_inherited({}, false);
    CHECK(recent.is_held_back("m1"));
    CHECK(recent.is_waiting());
}
