#include "capacity/wave_planner.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace pimentograde::capacity
{

std::string_view to_string(wave_phase phase)
{
    switch (phase)
    {
    case wave_phase::finished:
        return "finished";
    case wave_phase::running:
        return "running";
    case wave_phase::scheduled:
        return "scheduled";
    case wave_phase::paused:
        break;
    }
    return "paused";
}

namespace
{

// Share of the period over which due times are spread. The rest is slack for
// drains that had to wait.
constexpr double spread_share = 0.9;

struct wave_member
{
    const base::worker_id* id = nullptr;
    const worker_status* status = nullptr;
    std::string rack;
    base::wall_time due{};
    bool done = false;
};

struct wave_view
{
    const config::wave* wave = nullptr;
    const wave_status* status = nullptr;
    std::vector<wave_member> members;
    wave_progress progress;
    /// Racks with a worker that is done or out.
    std::set<std::string> begun_racks;
};

using place_index = std::map<base::worker_id, std::string>;

bool is_out_for(const wave_member& member, const config::wave& wave)
{
    return member.status->state != worker_state::serving &&
           member.status->wave == wave.name;
}

bool is_pending(const wave_member& member)
{
    return !member.done && member.status->hold == hold_kind::none;
}

void set_due_times(wave_view& view)
{
    std::sort(view.members.begin(), view.members.end(),
              [](const wave_member& left, const wave_member& right) {
                  return std::tie(left.rack, *left.id) <
                         std::tie(right.rack, *right.id);
              });
    const double step =
        view.status->immediate || view.members.empty()
            ? 0
            : spread_share * static_cast<double>(view.wave->period.count()) /
                  static_cast<double>(view.members.size());
    for (std::size_t rank = 0; rank < view.members.size(); ++rank)
        view.members[rank].due =
            view.status->started +
            std::chrono::duration_cast<std::chrono::milliseconds>(
                base::duration{static_cast<base::duration::rep>(
                    step * static_cast<double>(rank + 1))});
}

wave_view make_view(const config::wave& wave, const wave_status& status,
                    const fleet_state& state, const place_index& places)
{
    wave_view view;
    view.wave = &wave;
    view.status = &status;
    view.progress.name = wave.name;
    const std::set<base::pool_name> pools(wave.pools.begin(), wave.pools.end());
    for (const auto& [id, worker] : state.workers)
    {
        const auto place = places.find(id);
        if (place == places.end() || !pools.contains(worker.pool))
            continue;
        wave_member member{&id, &worker, place->second, {}, false};
        member.done = worker.maintained >= status.started &&
                      worker.maintained != base::wall_time{};
        const bool out = is_out_for(member, wave);
        view.progress.out += out ? 1 : 0;
        view.progress.done += member.done ? 1 : 0;
        view.progress.held += !member.done && !is_pending(member) ? 1 : 0;
        if (out || member.done)
            view.begun_racks.insert(member.rack);
        view.members.push_back(std::move(member));
    }
    view.progress.workers = static_cast<std::uint32_t>(view.members.size());
    set_due_times(view);
    return view;
}

/// The failure that pauses the wave: a worker of its pools is down and one of
/// their budgets no longer survives a further failure.
std::string failure_reason(const wave_view& view, const serving_ledger& ledger)
{
    const auto down =
        std::find_if(view.members.begin(), view.members.end(),
                     [](const wave_member& member)
                     { return member.status->state == worker_state::down; });
    if (down == view.members.end())
        return {};
    for (const base::pool_name& pool : view.wave->pools)
        for (const budget_finding& each : ledger.findings(pool))
            if (!each.holds())
                return down->id->str() + " is down: " + each.reason();
    return {};
}

struct spare_worker
{
    const base::worker_id* id = nullptr;
    const base::pool_name* pool = nullptr;
};

using worker_list = std::vector<spare_worker>;

/// Whether one of `covers` makes room for each worker of `pool`.
bool can_be_covered(const wave_view& view, const base::pool_name& pool,
                    serving_ledger& ledger, const worker_list& covers)
{
    return std::all_of(view.members.begin(), view.members.end(),
                       [&](const wave_member& member)
                       {
                           return member.status->pool != pool ||
                                  std::any_of(covers.begin(), covers.end(),
                                              [&](const spare_worker& cover) {
                                                  return *cover.pool != pool &&
                                                         ledger.allows_with(
                                                             *member.id,
                                                             *cover.id);
                                              });
                       });
}

base::duration scaled_time(const wave_view& view, serving_ledger& ledger,
                           const worker_list& covers,
                           base::duration worker_time, bool pending_only,
                           bool& feasible)
{
    std::map<base::pool_name, std::uint32_t> counts;
    for (const wave_member& each : view.members)
        if (!pending_only || is_pending(each))
            ++counts[each.status->pool];
    base::duration total{};
    for (const auto& [pool, count] : counts)
    {
        const std::uint32_t parallel =
            std::min(view.wave->max_parallel, ledger.room_when_whole(pool));
        if (parallel == 0)
        {
            feasible = feasible && can_be_covered(view, pool, ledger, covers);
            total += 2 * worker_time * count;
            continue;
        }
        total += worker_time * ((count + parallel - 1) / parallel);
    }
    return total;
}

void estimate_end(wave_view& view, serving_ledger& ledger,
                  const worker_list& covers, const wave_settings& settings,
                  base::wall_time now)
{
    bool feasible = view.wave->max_parallel > 0;
    const base::duration bound = scaled_time(
        view, ledger, covers, settings.worker_time, false, feasible);
    if (!feasible)
        return;
    wave_progress& progress = view.progress;
    progress.bound =
        view.status->immediate ? bound : std::max(bound, view.wave->period);
    if (progress.phase == wave_phase::finished)
        return;
    const base::duration each = view.status->worker_time == base::duration{}
                                    ? settings.worker_time
                                    : view.status->worker_time;
    base::wall_time end =
        now + std::chrono::ceil<std::chrono::milliseconds>(
                  scaled_time(view, ledger, covers, each, true, feasible));
    for (const wave_member& member : view.members)
        if (is_pending(member))
            end = std::max(
                end, member.due +
                         std::chrono::ceil<std::chrono::milliseconds>(each));
    progress.expected_end = end;
}

class planning
{
public:
    planning(const config::bundle& bundle, const wave_settings& settings,
             const fleet_state& state, base::wall_time now)
        : settings_(settings), now_(now), state_(state), ledger_(bundle, state)
    {
        for (const config::pool& each : bundle.pools)
            if (each.spare)
                spare_pools_.insert(each.name);
        for (const auto& [id, status] : state.workers)
            if (settings.cover_moves && spare_pools_.contains(status.pool))
                spare_workers_.push_back({&id, &status.pool});
        place_index places;
        for (const config::worker& each : bundle.workers)
            places[each.id] = each.zone.str() + "/" + each.rack.str();
        for (const config::wave& each : bundle.waves)
        {
            const auto status = state.waves.find(each.name);
            if (status != state.waves.end())
                views_.push_back(
                    make_view(each, status->second, state, places));
        }
    }

    wave_plan run()
    {
        // The wave that has the least of its share goes first, so that of two
        // waves that need the same room neither waits forever.
        std::stable_sort(views_.begin(), views_.end(),
                         [](const wave_view& left, const wave_view& right)
                         {
                             const auto rank = [](const wave_progress& of)
                             {
                                 return std::pair(
                                     of.out,
                                     static_cast<double>(of.done) /
                                         std::max<double>(of.workers, 1));
                             };
                             return rank(left.progress) < rank(right.progress);
                         });
        for (wave_view& view : views_)
            plan_one(view);
        if (blocked_.id && settings_.cover_moves)
            cover(blocked_);
        for (wave_view& view : views_)
        {
            estimate_end(view, ledger_, spare_workers_, settings_, now_);
            plan_.progress.push_back(std::move(view.progress));
        }
        return std::move(plan_);
    }

private:
    void plan_one(wave_view& view)
    {
        if (view.status->pause == wave_pause::ordered)
        {
            view.progress.phase = wave_phase::paused;
            view.progress.waits_for = view.status->pause_reason;
            return;
        }
        const bool pending =
            std::any_of(view.members.begin(), view.members.end(), is_pending);
        if (!pending)
        {
            finish(view);
            return;
        }
        if (pause_for_failure(view))
            return;
        drain_next(view);
    }

    void finish(wave_view& view)
    {
        view.progress.phase = wave_phase::finished;
        if (view.status->pause == wave_pause::failure)
            add_wave_change(change_kind::resume_wave, view);
        const bool due = view.wave->period > base::duration{} &&
                         now_ >= view.status->started + view.wave->period;
        if (due && view.progress.out == 0 && !view.members.empty())
            add_wave_change(change_kind::begin_pass, view);
    }

    bool pause_for_failure(wave_view& view)
    {
        const std::string reason = failure_reason(view, ledger_);
        const bool paused = view.status->pause == wave_pause::failure;
        if (reason.empty())
        {
            if (paused)
                add_wave_change(change_kind::resume_wave, view);
            return false;
        }
        view.progress.phase = wave_phase::paused;
        view.progress.waits_for = reason;
        if (!paused)
        {
            fleet_change& change =
                add_wave_change(change_kind::pause_wave, view);
            change.pause = wave_pause::failure;
            change.reason = reason;
        }
        return true;
    }

    void drain_next(wave_view& view)
    {
        std::vector<const wave_member*> ready;
        for (const wave_member& each : view.members)
            if (is_pending(each) && each.due <= now_ &&
                each.status->state == worker_state::serving)
                ready.push_back(&each);
        const bool idle = ready.empty() && view.progress.out == 0;
        view.progress.phase =
            idle ? wave_phase::scheduled : wave_phase::running;
        std::stable_sort(ready.begin(), ready.end(),
                         [&](const wave_member* left, const wave_member* right)
                         {
                             return view.begun_racks.contains(left->rack) &&
                                    !view.begun_racks.contains(right->rack);
                         });
        for (const wave_member* each : ready)
        {
            if (view.progress.out >= view.wave->max_parallel)
            {
                view.progress.waits_for = "the workers that are out";
                return;
            }
            // A worker of a pool without room does not hold up other pools.
            try_drain(view, *each);
        }
    }

    void try_drain(wave_view& view, const wave_member& member)
    {
        if (drained_.contains(*member.id))
            return;
        if (const auto breach = ledger_.breach_without(*member.id))
        {
            view.progress.waits_for = breach->reason();
            if (!blocked_.id && view.progress.out == 0)
                blocked_ = member;
            return;
        }
        ledger_.remove(*member.id);
        drained_.insert(*member.id);
        ++view.progress.out;
        view.progress.waits_for.clear();
        fleet_change& change = add_wave_change(change_kind::start_drain, view);
        change.worker = *member.id;
    }

    /// Moves one worker into the pool of `member`, so that the latter can be
    /// drained. Waits while a move is under way or the pool itself has a worker
    /// out of service, since room may come back without a move.
    void cover(const wave_member& member)
    {
        const base::pool_name& pool = member.status->pool;
        std::set<base::pool_name> busy;
        for (const auto& [id, status] : state_.workers)
        {
            if (!status.target.empty())
                return;
            if (status.state != worker_state::serving || drained_.contains(id))
                busy.insert(status.pool);
        }
        if (busy.contains(pool))
            return;
        for (const bool from_spare : {true, false})
            for (const auto& [id, status] : state_.workers)
            {
                if (spare_pools_.contains(status.pool) != from_spare ||
                    status.pool == pool || status.hold != hold_kind::none ||
                    status.state != worker_state::serving ||
                    drained_.contains(id) || ledger_.breach_without(id) ||
                    !ledger_.allows_with(*member.id, id) ||
                    (!from_spare &&
                     (busy.contains(status.pool) || uses_room(status.pool))))
                    continue;
                fleet_change change;
                change.kind = change_kind::start_drain;
                change.worker = id;
                change.pool = pool;
                change.reason = "covers a maintenance drain";
                plan_.changes.push_back(std::move(change));
                return;
            }
    }

    /// Whether a pending worker of `pool` can be drained as things are. The
    /// pool then keeps its workers.
    [[nodiscard]] bool uses_room(const base::pool_name& pool)
    {
        return std::any_of(
            views_.begin(), views_.end(),
            [&](const wave_view& view)
            {
                return std::any_of(
                    view.members.begin(), view.members.end(),
                    [&](const wave_member& member)
                    {
                        return member.status->pool == pool &&
                               is_pending(member) && member.due <= now_ &&
                               !ledger_.breach_without(*member.id);
                    });
            });
    }

    fleet_change& add_wave_change(change_kind kind, const wave_view& view)
    {
        fleet_change change;
        change.kind = kind;
        change.wave = view.wave->name;
        return plan_.changes.emplace_back(std::move(change));
    }

    const wave_settings& settings_;
    base::wall_time now_;
    const fleet_state& state_;
    serving_ledger ledger_;
    std::set<base::pool_name> spare_pools_;
    worker_list spare_workers_;
    std::vector<wave_view> views_;
    /// The first worker that a budget holds back.
    wave_member blocked_;
    std::set<base::worker_id> drained_;
    wave_plan plan_;
};

} // namespace

wave_planner::wave_planner(const config::bundle& bundle, wave_settings settings)
    : bundle_(bundle), settings_(settings)
{
}

wave_plan wave_planner::plan(const fleet_state& state,
                             base::wall_time now) const
{
    return planning(bundle_, settings_, state, now).run();
}

} // namespace pimentograde::capacity
