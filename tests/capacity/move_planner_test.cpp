#include "base/random_source.hpp"
#include "capacity/make_bundle.hpp"
#include "capacity/move_planner.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;
using capacity::fleet_state;
using capacity::pool_load;

namespace
{

constexpr double burst_level = 5;
constexpr double quiet_level = 0.05;
constexpr double burst_share = 0.19;

/// Demand that alternates between the two levels of the design page.
class burst_source
{
public:
    burst_source(double mean_slots, std::uint64_t seed)
        : mean_(mean_slots), random_(seed)
    {
    }

    /// Slots wanted in the next second.
    double next()
    {
        if (left_ == 0)
        {
            bursting_ = !bursting_;
            // A burst lasts 2 to 10 s; quiet times are longer by
            // (1 - p) / p.
            const double burst_seconds = 2 + 8 * random_.unit();
            const double seconds =
                bursting_ ? burst_seconds
                          : burst_seconds * (1 - burst_share) / burst_share;
            left_ = static_cast<int>(seconds) + 1;
        }
        --left_;
        return mean_ * (bursting_ ? burst_level : quiet_level);
    }

private:
    double mean_;
    base::random_source random_;
    bool bursting_ = false;
    int left_ = 0;
};

struct move_count
{
    int moves = 0;
    std::set<base::worker_id> workers;
};

using move_strategy = std::function<std::optional<capacity::fleet_change>(
    std::span<const pool_load>, const config::bundle&, const fleet_state&,
    base::wall_time)>;

move_strategy lasting_strategy()
{
    auto planner = std::make_shared<capacity::move_planner>();
    return [planner](std::span<const pool_load> loads,
                     const config::bundle& bundle, const fleet_state& state,
                     base::wall_time now)
    {
        planner->observe(loads, bundle, state, now);
        return planner->plan(bundle, state, now);
    };
}

/// The obvious design: a worker of the least loaded pool moves to a pool that
/// wants more slots than it has now.
std::optional<capacity::fleet_change>
momentary_strategy(std::span<const pool_load> loads, const config::bundle&,
                   const fleet_state& state, base::wall_time)
{
    const auto by_load = [](const pool_load& left, const pool_load& right)
    {
        return left.wanted_slots < right.wanted_slots;
    };
    const auto [least, most] =
        std::minmax_element(loads.begin(), loads.end(), by_load);
    std::map<base::pool_name, double> slots;
    for (const auto& [id, status] : state.workers)
        slots[status.pool] += tests::slots_per_worker;
    if (most->wanted_slots <= slots[most->pool])
        return std::nullopt;
    for (const auto& [id, status] : state.workers)
    {
        if (status.pool != least->pool ||
            status.state != capacity::worker_state::serving)
            continue;
        capacity::fleet_change change;
        change.kind = capacity::change_kind::start_drain;
        change.worker = id;
        change.pool = most->pool;
        return change;
    }
    return std::nullopt;
}

/// Moves in `seconds` when each pool's demand comes from `next(pool)`.
move_count run_moves(const config::bundle& bundle,
                     const move_strategy& strategy,
                     const std::function<double(std::size_t)>& next,
                     int seconds)
{
    auto now = tests::start_time();
    fleet_state state = capacity::initial_state(bundle, now);
    move_count count;
    for (int second = 0; second < seconds; ++second)
    {
        now += 1s;
        std::vector<pool_load> loads;
        for (std::size_t pool = 0; pool < bundle.pools.size(); ++pool)
            loads.push_back({bundle.pools[pool].name, next(pool)});
        auto change = strategy(loads, bundle, state, now);
        if (!change)
            continue;
        // Drains at once: the most that a burst could cause.
        capacity::apply_change(state, *change, now);
        for (const auto kind : {capacity::change_kind::confirm_drained,
                                capacity::change_kind::admit_move,
                                capacity::change_kind::confirm_healthy})
        {
            change->kind = kind;
            capacity::apply_change(state, *change, now);
        }
        ++count.moves;
        count.workers.insert(change->worker);
    }
    return count;
}

constexpr double mean_share = 0.21; // 5 means are more than a pool holds
constexpr double pool_slots = 10 * tests::slots_per_worker;

int moves_in_bursts(std::uint64_t seed, const move_strategy& strategy)
{
    auto bundle = tests::make_bundle(5, 10, 3);
    tests::add_budgets(bundle, 6, config::failure_domain::zone);
    std::vector<burst_source> sources;
    for (std::size_t pool = 0; pool < bundle.pools.size(); ++pool)
        sources.emplace_back(mean_share * pool_slots, seed * 16 + pool);
    return run_moves(
               bundle, strategy,
               [&](std::size_t pool) { return sources[pool].next(); }, 3600)
        .moves;
}

} // namespace

TEST_CASE("moves do not follow bursts")
{
    CHECK(rc::check("an hour of bursts causes no move",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        RC_ASSERT(moves_in_bursts(seed, lasting_strategy()) ==
                                  0);
                    }));
}

// Shows that the property above can fail.
TEST_CASE("moving by the present load follows bursts")
{
    const int moves = moves_in_bursts(1, momentary_strategy);
    CHECK(moves > 10);
    MESSAGE("moves in an hour of bursts, seed 1: " << moves);
}

// Guards against a planner that never moves anything.
TEST_CASE("a lasting shortage is ended by moves that keep the budgets")
{
    auto bundle = tests::make_bundle(3, 10, 3);
    tests::add_budgets(bundle, 5, config::failure_domain::zone);
    const auto next = [](std::size_t pool)
    {
        return pool == 0 ? 1.05 * pool_slots : 0.1 * pool_slots;
    };
    const auto early = run_moves(bundle, lasting_strategy(), next, 590);
    CHECK(early.moves == 0);
    const auto count = run_moves(bundle, lasting_strategy(), next, 4 * 3600);
    CHECK(count.moves >= 2);
    CHECK(count.moves <= 6);
    CHECK(count.workers.size() == static_cast<std::size_t>(count.moves));
}

// Guards against workers that go back and forth when two pools take turns in
// being short (hysteresis and least time between moves).
TEST_CASE("alternating load does not send workers back and forth")
{
    auto bundle = tests::make_bundle(2, 10, 3);
    const double high = 0.93 * pool_slots;
    const double low = 0.5 * pool_slots;
    int second = 0;
    const auto count = run_moves(
        bundle, lasting_strategy(),
        [&](std::size_t pool)
        {
            const bool first = (second++ / 2 / 900) % 2 == 0;
            return (pool == 0) == first ? high : low;
        },
        8 * 3600);
    CHECK(count.moves <= 8);
}

// Guards against a move that leaves its old pool below a budget.
TEST_CASE("no worker moves out of a pool whose budget has no room")
{
    auto bundle = tests::make_bundle(2, 9, 3);
    tests::add_budgets(bundle, 6, config::failure_domain::zone);
    const auto count = run_moves(
        bundle, lasting_strategy(),
        [](std::size_t pool) { return pool == 0 ? 100.0 : 1.0; }, 4 * 3600);
    CHECK(count.moves == 0);
}
