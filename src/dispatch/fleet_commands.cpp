#include "dispatch/fleet_commands.hpp"

#include "base/error.hpp"
#include "capacity/budget_checker.hpp"
#include "capacity/wave_planner.hpp"

#include <algorithm>
#include <string>

namespace pimentograde::dispatch
{

using capacity::change_kind;
using capacity::fleet_change;
using capacity::fleet_state;
using capacity::hold_kind;
using capacity::wave_pause;
using capacity::worker_state;

namespace
{

const capacity::worker_status& find_worker(const fleet_state& state,
                                           const base::worker_id& worker,
                                           std::string_view step)
{
    const auto found = state.workers.find(worker);
    if (found == state.workers.end())
        throw base::error(base::error_code::not_found, std::string(step),
                          worker.str(), "worker is not in the fleet state");
    return found->second;
}

const capacity::wave_status& find_wave(const fleet_state& state,
                                       std::string_view wave,
                                       std::string_view step)
{
    const auto found = state.waves.find(std::string(wave));
    if (found == state.waves.end())
        throw base::error(base::error_code::not_found, std::string(step),
                          std::string(wave), "wave is not in the fleet state");
    return found->second;
}

void require_budgets(const config::bundle& bundle, const fleet_state& state,
                     const base::worker_id& worker, std::string_view step)
{
    capacity::serving_ledger ledger(bundle, state);
    if (const auto breach = ledger.breach_without(worker))
        throw base::error(base::error_code::refused, std::string(step),
                          worker.str(), breach->reason());
}

fleet_change worker_change(change_kind kind, const base::worker_id& worker)
{
    fleet_change change;
    change.kind = kind;
    change.worker = worker;
    return change;
}

fleet_change wave_change(change_kind kind, std::string_view wave)
{
    fleet_change change;
    change.kind = kind;
    change.wave = wave;
    return change;
}

} // namespace

std::optional<fleet_change> hold_change(const fleet_state& state,
                                        const base::worker_id& worker)
{
    const auto& status = find_worker(state, worker, "hold worker");
    if (status.hold == hold_kind::hold)
        return std::nullopt;
    if (status.hold == hold_kind::drain)
        throw base::error(base::error_code::refused, "hold worker",
                          worker.str(),
                          "the worker is already drained by an operator");
    fleet_change change = worker_change(change_kind::set_hold, worker);
    change.hold = hold_kind::hold;
    return change;
}

std::optional<fleet_change> drain_change(const config::bundle& bundle,
                                         const fleet_state& state,
                                         const base::worker_id& worker)
{
    const auto& status = find_worker(state, worker, "drain worker");
    if (status.hold == hold_kind::drain)
        return std::nullopt;
    // A worker that is not serving is already counted as missing.
    if (status.state == worker_state::serving)
        require_budgets(bundle, state, worker, "drain worker");
    fleet_change change = worker_change(change_kind::set_hold, worker);
    change.hold = hold_kind::drain;
    return change;
}

std::optional<fleet_change> release_change(const fleet_state& state,
                                           const base::worker_id& worker)
{
    const auto& status = find_worker(state, worker, "release worker");
    if (status.hold != hold_kind::none)
        return worker_change(change_kind::clear_hold, worker);
    const bool moves =
        !status.target.empty() && (status.state == worker_state::draining ||
                                   status.state == worker_state::moving);
    if (!moves)
        return std::nullopt;
    return worker_change(change_kind::cancel_drain, worker);
}

std::optional<fleet_change> start_wave_change(const config::bundle& bundle,
                                              const fleet_state& state,
                                              std::string_view wave)
{
    const auto& status = find_wave(state, wave, "start wave");
    const auto plan = capacity::wave_planner(bundle).plan(state, state.written);
    const auto progress = std::find_if(
        plan.progress.begin(), plan.progress.end(),
        [&](const capacity::wave_progress& each) { return each.name == wave; });
    const bool finished = progress != plan.progress.end() &&
                          progress->phase == capacity::wave_phase::finished;
    if (status.pause == wave_pause::ordered && !finished)
        throw base::error(
            base::error_code::refused, "start wave", std::string(wave),
            "the wave is paused by an operator; resume it instead");
    if (status.immediate && !finished)
        return std::nullopt;
    return wave_change(change_kind::start_wave, wave);
}

std::optional<fleet_change> pause_wave_change(const fleet_state& state,
                                              std::string_view wave,
                                              std::string_view reason)
{
    if (find_wave(state, wave, "pause wave").pause == wave_pause::ordered)
        return std::nullopt;
    fleet_change change = wave_change(change_kind::pause_wave, wave);
    change.pause = wave_pause::ordered;
    change.reason = reason.empty() ? "by an operator" : reason;
    return change;
}

std::optional<fleet_change> resume_wave_change(const fleet_state& state,
                                               std::string_view wave)
{
    const auto& status = find_wave(state, wave, "resume wave");
    if (status.pause == wave_pause::none)
        return std::nullopt;
    if (status.pause == wave_pause::failure)
        throw base::error(base::error_code::refused, "resume wave",
                          std::string(wave),
                          "the wave resumes automatically after the failure: " +
                              status.pause_reason);
    return wave_change(change_kind::resume_wave, wave);
}

std::optional<fleet_change> move_change(const config::bundle& bundle,
                                        const fleet_state& state,
                                        const base::worker_id& worker,
                                        const base::pool_name& pool)
{
    const auto& status = find_worker(state, worker, "create move");
    if (status.pool == pool || status.target == pool)
        return std::nullopt;
    const bool known = std::any_of(bundle.pools.begin(), bundle.pools.end(),
                                   [&](const config::pool& each)
                                   { return each.name == pool; });
    if (!known)
        throw base::error(base::error_code::not_found, "create move",
                          pool.str(), "the bundle has no such pool");
    require_budgets(bundle, state, worker, "create move");
    fleet_change change = worker_change(change_kind::start_drain, worker);
    change.pool = pool;
    return change;
}

} // namespace pimentograde::dispatch
