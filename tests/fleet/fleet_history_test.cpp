#include "capacity/budget_checker.hpp"
#include "dispatch/fleet_service.hpp"
#include "fleet/fake_platform.hpp"
#include "net/io_scheduler.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <span>

using namespace pimentograde;
using namespace std::chrono_literals;
using capacity::fleet_state;
using capacity::worker_state;
using tests::fake_platform;

namespace
{

config::bundle wave_bundle(bool zones)
{
    auto bundle = tests::make_bundle(3, 9, 3);
    tests::add_budgets(bundle, zones ? 4 : 5,
                       zones ? config::failure_domain::zone
                             : config::failure_domain::rack);
    tests::add_wave(bundle, 3, 24h * 365);
    return bundle;
}

/// Three planners that race each other for the same fleet. In each step one or
/// two of them run, sometimes one within the write of the other; a planner may
/// be paused for longer than its lease.
class racing_history
{
public:
    racing_history(const config::bundle& bundle, std::uint64_t seed, bool zones)
        : random_(seed), platform(bundle, seed), zones_(zones)
    {
        platform.reboot_time = 3s;
        dispatch::fleet_settings settings;
        settings.lease_ttl = 2s;
        // Calls return at once here; fewer fibers make the test faster.
        settings.concurrency = 2;
        for (const char* name : {"a", "b", "c"})
        {
            seen_.push_back(std::make_unique<fleet_state>());
            planners_.push_back(platform.make_service(
                name, settings,
                [view = seen_.back().get()](const auto& state)
                { *view = state; }));
        }
        paused_until_.resize(planners_.size());
        for (int step = 0; step < 4; ++step)
        {
            planners_[0]->step();
            platform.advance(500ms);
        }
    }

    double failure_rate = 0;
    double store_outage_rate = 0;
    /// Probability that a planner is paused in the middle of a step, between
    /// its decision and a call to a worker, while the others go on.
    double pause_rate = 0;

    dispatch::fleet_service& planner(std::size_t index)
    {
        return *planners_[index];
    }

    void step()
    {
        platform.advance(500ms);
        disturb();
        shift_tasks();
        const std::size_t first = random_.below(planners_.size());
        const std::size_t second = random_.below(planners_.size());
        if (first != second && awake(second) && random_.below(4) == 0)
            platform.before_swap = [this, second]
            {
                planners_[second]->step();
            };
        if (random_.unit() < pause_rate)
        {
            platform.calls_until_pause =
                random_.below(platform.workers.size() * 2);
            platform.during_call = [this]
            {
                run_others();
            };
        }
        for (std::size_t index = 0; index < planners_.size(); ++index)
            if (awake(index))
                planners_[index]->step();
        platform.before_swap = {};
        platform.during_call = {};
        check_one_pool();
        RC_ASSERT(fault_ == "");
    }

    /// Ends all faults and waits until the fleet is whole.
    void heal()
    {
        failure_rate = 0;
        store_outage_rate = 0;
        pause_rate = 0;
        platform.lost_responses = 0;
        platform.lost_calls = 0;
        platform.store_up = true;
        for (auto& [id, worker] : platform.workers)
            worker.alive = true;
        failed_.clear();
    }

    [[nodiscard]] bool failure_over()
    {
        const auto& state = platform.state();
        return std::all_of(
            failed_.begin(), failed_.end(),
            [&](const auto& id)
            { return state.workers.at(id).state == worker_state::serving; });
    }

    /// Whether enough workers of each pool serve, in the store's view and in
    /// fact.
    [[nodiscard]] bool budgets_hold(std::span<const config::budget> budgets)
    {
        const auto& state = platform.state();
        for (const auto& budget : budgets)
        {
            std::uint32_t serving = 0;
            for (const auto& [id, status] : state.workers)
            {
                const auto& worker = platform.workers.at(id);
                const bool works =
                    worker.alive && !worker.rebooting && !worker.refuses_work;
                serving += status.pool == budget.pool && works &&
                                   status.state == worker_state::serving
                               ? 1
                               : 0;
            }
            if (serving < budget.min_workers)
                return false;
        }
        return true;
    }

private:
    bool awake(std::size_t index)
    {
        const auto now = platform.now();
        if (now < paused_until_[index])
            return false;
        if (random_.below(40) == 0)
            paused_until_[index] =
                now + std::chrono::seconds{1 + random_.below(10)};
        return true;
    }

    /// The planner in whose step this is called takes no part.
    void run_others()
    {
        const std::size_t rounds = 1 + random_.below(20);
        for (std::size_t round = 0; round < rounds; ++round)
        {
            platform.advance(500ms);
            shift_tasks();
            for (const auto& planner : planners_)
            {
                planner->step();
                check_one_pool();
            }
        }
    }

    void disturb()
    {
        if (store_outage_rate > 0)
            platform.store_up = random_.unit() > store_outage_rate;
        if (failed_.empty() && random_.unit() < failure_rate)
            fail_domain();
        if (platform.now() < back_at_)
            return;
        for (const auto& id : failed_)
            platform.workers[id].alive = true;
        if (failure_over())
            failed_.clear();
    }

    void fail_domain()
    {
        const auto& workers = platform.bundle().workers;
        const auto& origin = workers[random_.below(workers.size())];
        for (const auto& worker : workers)
        {
            if (worker.zone != origin.zone ||
                (!zones_ && worker.rack != origin.rack))
                continue;
            auto& fake = platform.workers[worker.id];
            fake.alive = false;
            fake.slots_used = 0;
            // The failure ends a reboot in progress.
            fake.rebooting = false;
            ++fake.incarnation;
            fake.refuses_work = false;
            failed_.insert(worker.id);
        }
        back_at_ = platform.now() + std::chrono::seconds{random_.below(60)};
    }

    /// Tasks begin on workers that accept them and end after some steps.
    void shift_tasks()
    {
        for (auto& [id, worker] : platform.workers)
        {
            if (worker.slots_used > 0 && random_.below(3) == 0)
                --worker.slots_used;
            else if (worker.alive && !worker.rebooting &&
                     !worker.refuses_work && random_.below(4) == 0)
                ++worker.slots_used;
        }
    }

    /// Each worker once, in each reader's view; and no reboot or change of
    /// pool under a running task. Also called within a step of a planner,
    /// where nothing may be thrown.
    void check_one_pool()
    {
        const auto& state = platform.state();
        if (state.workers.size() != platform.workers.size())
            fault_ = "a worker is missing";
        for (const auto& view : seen_)
            for (const auto& [id, status] : view->workers)
                if (view->version >= state.version &&
                    status.pool != state.workers.at(id).pool)
                    fault_ = "a view differs from the store";
        for (const auto& [id, worker] : platform.workers)
        {
            if (worker.harmful_reboots != 0)
                fault_ = "reboot under a running task";
            const auto& pool = state.workers.at(id).pool;
            auto& last = pools_[id];
            if (!last.empty() && last != pool && worker.slots_used != 0 &&
                worker.refuses_work)
                fault_ = "change of pool under a running task";
            last = pool;
        }
    }

    base::random_source random_;

public:
    fake_platform platform;

private:
    bool zones_;
    std::vector<std::unique_ptr<fleet_state>> seen_;
    std::vector<std::unique_ptr<dispatch::fleet_service>> planners_;
    std::vector<base::wall_time> paused_until_;
    std::set<base::worker_id> failed_;
    std::map<base::worker_id, base::pool_name> pools_;
    base::wall_time back_at_{};
    std::string fault_;
};

bool wave_done(const fleet_state& state)
{
    const auto started = state.waves.at("wave").started;
    return std::all_of(state.workers.begin(), state.workers.end(),
                       [&](const auto& item)
                       {
                           return item.second.maintained >= started &&
                                  item.second.state == worker_state::serving;
                       });
}

void try_command(const std::function<void()>& command)
{
    try
    {
        command();
    }
    catch (const base::error&)
    {
        // Refused, lost a race or lost its response: the checks look at the
        // state that results.
    }
}

constexpr int history_steps = 120;

} // namespace

namespace
{

/// Whether the budgets hold throughout a wave with failures. `aware` tells
/// whether the planners know the budgets.
bool budgets_hold_in_history(std::uint64_t seed, bool aware)
{
    const bool zones = seed % 2 == 0;
    auto bundle = wave_bundle(zones);
    const auto budgets = bundle.budgets;
    if (!aware)
        bundle.budgets.clear();
    racing_history history(bundle, seed, zones);
    history.failure_rate = 0.02;
    history.pause_rate = 0.1;
    history.platform.lost_responses = 0.1;
    try_command([&] { history.planner(1).start_wave("wave"); });
    for (int step = 0; step < history_steps; ++step)
    {
        history.step();
        if (!history.budgets_hold(budgets))
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("budgets hold while planners race in a wave with failures")
{
    net::this_thread_io();
    CHECK(rc::check("no budget breaks by a failure that it has to survive",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        RC_ASSERT(budgets_hold_in_history(seed, true));
                    }));
}

// Shows that the property above can fail: planners that go by max_parallel
// only.
TEST_CASE("planners that do not know the budgets break them")
{
    net::this_thread_io();
    int broken = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed)
        broken += budgets_hold_in_history(seed, false) ? 0 : 1;
    MESSAGE("histories with a broken budget, of 10: " << broken);
    CHECK(broken > 0);
}

// Guards against a worker in two pools, and a reboot or move under a running
// task, in histories with commands, outages and lost calls.
TEST_CASE("each worker is in one pool whatever happens")
{
    net::this_thread_io();
    CHECK(rc::check(
        "one pool per worker in the store and in each view",
        []
        {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            base::random_source random(seed);
            racing_history history(wave_bundle(true), seed, true);
            history.failure_rate = 0.02;
            history.store_outage_rate = 0.1;
            history.platform.lost_responses = 0.2;
            history.platform.lost_calls = 0.05;
            history.pause_rate = 0.2;
            const auto workers = history.platform.bundle().workers;
            for (int step = 0; step < history_steps; ++step)
            {
                auto& planner = history.planner(random.below(3));
                const auto worker = workers[random.below(workers.size())].id;
                const base::pool_name pool("p" +
                                           std::to_string(random.below(3)));
                const std::size_t command = random.below(12);
                if (command < 2)
                    try_command([&] { planner.create_move(worker, pool); });
                else if (command == 2)
                    try_command([&] { planner.drain_worker(worker); });
                else if (command == 3)
                    try_command([&] { planner.release_worker(worker); });
                else if (command == 4)
                    try_command([&] { planner.start_wave("wave"); });
                history.step();
            }
        }));
}

// Guards against a wave that is lost when planners pause or writes are lost.
TEST_CASE("a wave ends within its bound once failures end")
{
    net::this_thread_io();
    CHECK(rc::check(
        "each worker is maintained",
        []
        {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            racing_history history(wave_bundle(false), seed, false);
            history.failure_rate = 0.02;
            history.store_outage_rate = 0.05;
            history.platform.lost_responses = 0.2;
            history.platform.lost_calls = 0.02;
            history.pause_rate = 0.1;
            try_command([&] { history.planner(1).start_wave("wave"); });
            for (int step = 0; step < history_steps / 2; ++step)
                history.step();
            history.heal();
            if (!history.platform.state().waves.at("wave").immediate)
                history.planner(0).start_wave("wave");
            // 27 workers, at least one at a time; a drain takes up to 30 s
            // here, reboot, probation and pauses of planners 20 s.
            const auto end = history.platform.now() + 27 * 50s;
            while (!wave_done(history.platform.state()) &&
                   history.platform.now() < end)
                history.step();
            RC_ASSERT(wave_done(history.platform.state()));
        }));
}

// Guards against spares that one planner moves away while another drains the
// worker that they cover.
TEST_CASE("racing planners share spares in a wave without breaking budgets")
{
    net::this_thread_io();
    CHECK(rc::check(
        "budgets without room hold and the wave ends",
        []
        {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            auto bundle = tests::make_bundle(3, 6, 3);
            bundle.workers.resize(2 * 6 + 2);
            tests::add_budgets(bundle, 4, config::failure_domain::zone);
            bundle.budgets.pop_back();
            tests::add_wave(bundle, 2, 24h * 365);
            racing_history history(bundle, seed, true);
            history.platform.lost_responses = 0.1;
            history.failure_rate = 0.01;
            try_command([&] { history.planner(1).start_wave("wave"); });
            for (int step = 0; step < history_steps; ++step)
            {
                history.step();
                RC_ASSERT(history.budgets_hold(bundle.budgets));
            }
            history.heal();
            if (!history.platform.state().waves.at("wave").immediate)
                history.planner(0).start_wave("wave");
            // 14 workers with a move each before the drain.
            const auto end = history.platform.now() + 14 * 2 * 50s;
            while (!wave_done(history.platform.state()) &&
                   history.platform.now() < end)
            {
                history.step();
                RC_ASSERT(history.budgets_hold(bundle.budgets));
            }
            RC_ASSERT(wave_done(history.platform.state()));
        }));
}

// Shows why a move is one write of one value: with one key per pool, a planner
// that stops between its two writes leaves the worker in both pools.
TEST_CASE("a move by two keys lists a worker under two pools")
{
    using pool_keys = std::map<std::string, std::set<int>>;
    const auto listed_twice = [](const pool_keys& keys)
    {
        std::set<int> seen;
        for (const auto& [pool, members] : keys)
            for (const int worker : members)
                if (!seen.insert(worker).second)
                    return true;
        return false;
    };
    base::random_source random(1);
    pool_keys keys{{"p0", {0, 1, 2}}, {"p1", {3, 4, 5}}};
    int first_fault = -1;
    for (int move = 0; move < 100 && first_fault < 0; ++move)
    {
        const std::string from = random.below(2) == 0 ? "p0" : "p1";
        const std::string to = from == "p0" ? "p1" : "p0";
        if (keys[from].empty())
            continue;
        const int worker = *keys[from].begin();
        keys[to].insert(worker);
        const bool stops_here = random.below(10) == 0;
        if (!stops_here)
            keys[from].erase(worker);
        if (listed_twice(keys))
            first_fault = move;
    }
    MESSAGE("first worker in two pools at move " << first_fault);
    CHECK(first_fault >= 0);
}
