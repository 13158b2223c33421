#ifndef PIMENTOGRADE_TESTS_CAPACITY_WAVE_HISTORY_HPP
#define PIMENTOGRADE_TESTS_CAPACITY_WAVE_HISTORY_HPP

#include "base/random_source.hpp"
#include "capacity/budget_checker.hpp"
#include "capacity/fleet_change.hpp"
#include "capacity/make_bundle.hpp"
#include "capacity/wave_planner.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::tests
{

/// Chooses changes for one step.
using wave_strategy = std::function<std::vector<capacity::fleet_change>(
    const config::bundle&, const capacity::fleet_state&, base::wall_time)>;

inline constexpr base::duration step_length = std::chrono::seconds{5};
/// Longest time out of service for a wave in these histories.
inline constexpr base::duration worker_limit = std::chrono::minutes{2};

inline std::vector<capacity::fleet_change>
budgeted_strategy(const config::bundle& bundle,
                  const capacity::fleet_state& state, base::wall_time now)
{
    return capacity::wave_planner(bundle, {worker_limit})
        .plan(state, now)
        .changes;
}

/// The obvious design: drains up to `max_parallel` workers, whatever fails.
inline std::vector<capacity::fleet_change>
parallel_only_strategy(const config::bundle& bundle,
                       const capacity::fleet_state& state, base::wall_time)
{
    std::vector<capacity::fleet_change> changes;
    const config::wave& wave = bundle.waves.front();
    std::uint32_t out = 0;
    for (const auto& [id, status] : state.workers)
        out += status.wave == wave.name ? 1 : 0;
    const auto started = state.waves.at(wave.name).started;
    for (const auto& [id, status] : state.workers)
    {
        if (out >= wave.max_parallel)
            break;
        if (status.state != capacity::worker_state::serving ||
            (status.maintained >= started &&
             status.maintained != base::wall_time{}))
            continue;
        capacity::fleet_change change;
        change.kind = capacity::change_kind::start_drain;
        change.worker = id;
        change.wave = wave.name;
        changes.push_back(change);
        ++out;
    }
    return changes;
}

/// A fleet in a wave, with a rack or zone that fails now and then. A further
/// failure comes only when the workers of the last one serve again.
class wave_history
{
public:
    wave_history(config::bundle bundle, wave_strategy strategy,
                 std::uint64_t seed)
        : bundle_(std::move(bundle)), strategy_(std::move(strategy)),
          random_(seed), state_(capacity::initial_state(bundle_, now_))
    {
        for (const config::worker& worker : bundle_.workers)
            places_[worker.id] = &worker;
    }

    /// Failures per step, as a probability.
    double failure_rate = 0;
    bool zones_fail = false;

    [[nodiscard]] base::wall_time now() const { return now_; }
    [[nodiscard]] const capacity::fleet_state& state() const { return state_; }
    [[nodiscard]] const config::bundle& bundle() const { return bundle_; }
    [[nodiscard]] bool failing() const { return !failed_.empty(); }
    [[nodiscard]] std::size_t failures() const { return failures_; }
    [[nodiscard]] std::size_t pauses() const { return pauses_; }
    [[nodiscard]] std::size_t drains() const { return drains_; }
    [[nodiscard]] std::size_t moves() const { return moves_; }

    void start_wave(const std::string& name = "wave")
    {
        capacity::fleet_change change;
        change.kind = capacity::change_kind::start_wave;
        change.wave = name;
        capacity::apply_change(state_, change, now_);
    }

    /// Returns the budget that is broken after this step.
    std::optional<std::string> step()
    {
        now_ += std::chrono::floor<std::chrono::milliseconds>(step_length);
        if (!failing() && random_.unit() < failure_rate)
            fail_domain();
        recover();
        for (const config::worker& worker : bundle_.workers)
            progress(worker.id);
        for (const auto& change : strategy_(bundle_, state_, now_))
        {
            pauses_ += change.kind == capacity::change_kind::pause_wave ? 1 : 0;
            const bool drains =
                change.kind == capacity::change_kind::start_drain;
            drains_ += drains && change.pool.empty() ? 1 : 0;
            moves_ += drains && !change.pool.empty() ? 1 : 0;
            capacity::apply_change(state_, change, now_);
            next_at_[change.worker] = now_ + part();
        }
        for (const auto& each :
             capacity::budget_checker(bundle_).evaluate(state_))
            if (each.broken_now())
                return each.reason();
        return std::nullopt;
    }

    [[nodiscard]] bool wave_done() const
    {
        const auto started = state_.waves.begin()->second.started;
        return std::all_of(state_.workers.begin(), state_.workers.end(),
                           [&](const auto& item)
                           {
                               return item.second.maintained >= started &&
                                      item.second.maintained !=
                                          base::wall_time{};
                           });
    }

private:
    using change_kind = capacity::change_kind;
    using worker_state = capacity::worker_state;

    /// A third of the time out of service, less the steps that it is rounded
    /// up to.
    std::chrono::milliseconds part()
    {
        return std::chrono::floor<std::chrono::milliseconds>(
            random_.jitter(worker_limit / 3 - 2 * step_length));
    }

    void apply(const base::worker_id& worker, change_kind kind)
    {
        capacity::fleet_change change;
        change.kind = kind;
        change.worker = worker;
        change.incarnation = ++incarnation_;
        capacity::apply_change(state_, change, now_);
        next_at_[worker] = now_ + part();
    }

    void progress(const base::worker_id& worker)
    {
        const auto& status = state_.workers.at(worker);
        if (now_ < next_at_[worker])
            return;
        if (status.state == worker_state::draining)
            apply(worker, change_kind::confirm_drained);
        else if (status.state == worker_state::moving)
            apply(worker, change_kind::admit_move);
        else if (status.state == worker_state::rebooting)
            apply(worker, change_kind::confirm_rebooted);
        else if (status.state == worker_state::probation)
        {
            apply(worker, change_kind::confirm_healthy);
            failed_.erase(worker);
        }
    }

    void fail_domain()
    {
        const config::worker& origin =
            bundle_.workers[random_.below(bundle_.workers.size())];
        const bool whole_zone = zones_fail && random_.below(2) == 0;
        for (const auto& [id, place] : places_)
        {
            if (place->zone != origin.zone ||
                (!whole_zone && place->rack != origin.rack))
                continue;
            apply(id, change_kind::mark_down);
            failed_.insert(id);
        }
        ++failures_;
        back_at_ = now_ + std::chrono::seconds{random_.below(600)};
    }

    void recover()
    {
        if (now_ < back_at_)
            return;
        for (const auto& id : failed_)
            if (state_.workers.at(id).state == worker_state::down)
                apply(id, change_kind::mark_returned);
    }

    config::bundle bundle_;
    wave_strategy strategy_;
    base::random_source random_;
    base::wall_time now_ = start_time();
    capacity::fleet_state state_;
    std::map<base::worker_id, const config::worker*> places_;
    std::map<base::worker_id, base::wall_time> next_at_;
    std::set<base::worker_id> failed_;
    base::wall_time back_at_{};
    std::uint64_t incarnation_ = 0;
    std::size_t failures_ = 0;
    std::size_t pauses_ = 0;
    std::size_t drains_ = 0;
    std::size_t moves_ = 0;
};

/// A bundle of random shape whose budgets leave room for at least one drain in
/// each pool while all workers serve.
inline config::bundle random_wave_bundle(base::random_source& random,
                                         bool& zones_fail)
{
    auto bundle = make_bundle(1 + random.below(4), 6 + random.below(7),
                              3 + random.below(2));
    zones_fail = random.below(2) == 0;
    const auto survive = zones_fail ? config::failure_domain::zone
                                    : config::failure_domain::rack;
    add_budgets(bundle, 0, survive);
    const auto state = capacity::initial_state(bundle, start_time());
    const auto findings = capacity::budget_checker(bundle).evaluate(state);
    for (const auto& each : findings)
        for (auto& budget : bundle.budgets)
            if (budget.pool == each.budget.pool)
                budget.min_workers = each.remaining - 1 -
                                     static_cast<std::uint32_t>(random.below(
                                         std::min(each.remaining, 2U)));
    add_wave(bundle, 1 + static_cast<std::uint32_t>(random.below(4)),
             std::chrono::hours{24 * 365});
    return bundle;
}

} // namespace pimentograde::tests

#endif
