#include "dispatch/fleet_snapshot.hpp"

#include "capacity/budget_checker.hpp"

#include <boost/json/array.hpp>

#include <map>
#include <utility>

namespace pimentograde::dispatch
{

namespace json = boost::json;

namespace
{

json::object wave_json(const capacity::wave_progress& progress,
                       const capacity::fleet_state& state)
{
    json::object out;
    out["name"] = progress.name;
    out["phase"] = capacity::to_string(progress.phase);
    out["workers"] = progress.workers;
    out["done"] = progress.done;
    out["out"] = progress.out;
    out["held"] = progress.held;
    out["waits_for"] = progress.waits_for;
    if (progress.bound)
        out["bound_ms"] = base::count_millis(*progress.bound);
    else
        out["bound_ms"] = nullptr;
    if (progress.expected_end)
        out["expected_end_ms"] = base::to_millis(*progress.expected_end);
    const auto status = state.waves.find(progress.name);
    if (status == state.waves.end())
        return out;
    out["started_ms"] = base::to_millis(status->second.started);
    out["immediate"] = status->second.immediate;
    out["pause"] = capacity::to_string(status->second.pause);
    out["pause_reason"] = status->second.pause_reason;
    return out;
}

json::array workers_not_serving_or_held(const capacity::fleet_state& state)
{
    json::array out;
    for (const auto& [id, status] : state.workers)
    {
        if (status.state == capacity::worker_state::serving &&
            status.hold == capacity::hold_kind::none)
            continue;
        json::object worker;
        worker["id"] = id.str();
        worker["pool"] = status.pool.str();
        worker["state"] = capacity::to_string(status.state);
        worker["since_ms"] = base::to_millis(status.since);
        worker["wave"] = status.wave;
        worker["target"] = status.target.str();
        worker["hold"] = capacity::to_string(status.hold);
        worker["leaving"] = status.leaving;
        out.emplace_back(std::move(worker));
    }
    return out;
}

} // namespace

json::object make_snapshot(const fleet_report& report,
                           const capacity::fleet_state& state,
                           const config::bundle* bundle,
                           const capacity::wave_settings& settings,
                           base::wall_time now)
{
    json::object out;
    out["role"] = report.planner ? "planner" : "standby";
    out["lease_holder"] = report.lease_holder;
    out["store_available"] = report.store_available;
    if (!report.store_available)
        out["notice"] = "no new drains, moves or waves: " + report.store_error;
    out["steps"] = report.steps;
    out["conflicts"] = report.conflicts;
    out["workers_answering"] = report.workers_answering;
    out["version"] = state.version;
    std::map<std::string_view, std::uint64_t> counts;
    for (const auto& [id, status] : state.workers)
        ++counts[capacity::to_string(status.state)];
    json::object states;
    for (const auto& [name, count] : counts)
        states[name] = count;
    out["states"] = std::move(states);
    out["workers_not_serving_or_held"] = workers_not_serving_or_held(state);
    if (!bundle || state.version == 0)
        return out;
    json::array waves;
    const auto plan =
        capacity::wave_planner(*bundle, settings).plan(state, now);
    for (const auto& each : plan.progress)
        waves.emplace_back(wave_json(each, state));
    out["waves"] = std::move(waves);
    json::array broken;
    for (const auto& each : capacity::budget_checker(*bundle).evaluate(state))
        if (each.broken_now())
            broken.emplace_back(each.reason());
    out["broken_budgets"] = std::move(broken);
    return out;
}

} // namespace pimentograde::dispatch
