#include "capacity/wave_planner.hpp"

#include "capacity/wave_view.hpp"

#include <algorithm>
#include <array>
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

struct cover_worker
{
    base::worker_id id;
    base::pool_name pool;
};

using cover_list = std::vector<cover_worker>;

/// The first worker of `covers` that makes room for `worker`, alone or, in a
/// pool that is spread evenly over its domains, together with a second one.
const cover_worker* find_cover(const base::worker_id& worker,
                               const base::pool_name& pool,
                               serving_ledger& ledger, const cover_list& covers)
{
    for (const cover_worker& first : covers)
        if (first.pool != pool &&
            ledger.allows_with(worker, std::array{first.id}))
            return &first;
    for (const cover_worker& first : covers)
        for (const cover_worker& second : covers)
            if (first.pool != pool && second.pool != pool &&
                first.id < second.id &&
                ledger.allows_with(worker, std::array{first.id, second.id}))
                return &first;
    return nullptr;
}

bool can_be_covered(const wave_view& view, const base::pool_name& pool,
                    serving_ledger& ledger, const cover_list& covers)
{
    return std::all_of(view.members.begin(), view.members.end(),
                       [&](const wave_member& member)
                       {
                           return member.status->pool != pool ||
                                  !ledger.breach_without(*member.id) ||
                                  find_cover(*member.id, pool, ledger, covers);
                       });
}

base::duration scaled_time(const wave_view& view, serving_ledger& ledger,
                           const cover_list& covers, base::duration worker_time,
                           bool pending_only, bool& feasible)
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
            // At worst a move before each drain, or two before the first.
            total += worker_time * (2 * count + 1);
            continue;
        }
        total += worker_time * ((count + parallel - 1) / parallel);
    }
    return total;
}

void estimate_end(wave_view& view, serving_ledger& ledger,
                  const cover_list& covers, const wave_settings& settings,
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
        for (const config::worker& each : bundle.workers)
        {
            const auto found = state.workers.find(each.id);
            if (found == state.workers.end() || !settings.cover_moves ||
                (!spare_pools_.contains(each.pool) &&
                 !spare_pools_.contains(found->second.pool)))
                continue;
            spare_workers_.push_back({each.id, found->second.pool});
        }
        place_index places;
        for (const config::worker& each : bundle.workers)
            places[each.id] = each.zone.str() + "/" + each.rack.str();
        for (const config::wave& each : bundle.waves)
        {
            const auto status = state.waves.find(each.name);
            if (status != state.waves.end())
                views_.push_back(
                    make_wave_view(each, status->second, state, places));
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
        if (!blocked_.empty() && settings_.cover_moves)
            cover();
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
        if (ready.empty() && view.progress.out == 0)
        {
            explain_idle(view);
            return;
        }
        view.progress.phase = wave_phase::running;
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

    /// Nothing can be drained: either nothing is due, or the due workers are
    /// out of service for another reason.
    void explain_idle(wave_view& view) const
    {
        view.progress.phase = wave_phase::scheduled;
        for (const wave_member& each : view.members)
        {
            if (!is_pending(each) || each.due > now_)
                continue;
            view.progress.phase = wave_phase::running;
            view.progress.waits_for =
                each.id->str() + ", which is " +
                std::string(to_string(each.status->state));
            return;
        }
    }

    void try_drain(wave_view& view, const wave_member& member)
    {
        if (drained_.contains(*member.id))
            return;
        if (const auto breach = ledger_.breach_without(*member.id))
        {
            view.progress.waits_for = breach->reason();
            if (view.progress.out == 0)
                blocked_.push_back(&member);
            return;
        }
        ledger_.remove(*member.id);
        drained_.insert(*member.id);
        ++view.progress.out;
        view.progress.waits_for.clear();
        fleet_change& change = add_wave_change(change_kind::start_drain, view);
        change.worker = *member.id;
    }

    /// Moves one worker into the pool of a blocked worker, so that the latter
    /// can be drained, now or after a second such move. Waits while a move is
    /// under way or a worker of the pool is about to return, since room may
    /// come back without a move.
    void cover()
    {
        std::set<base::pool_name> busy;
        std::set<base::pool_name> covered;
        for (const auto& [id, status] : state_.workers)
        {
            if (!status.target.empty())
                return;
            const bool returns = status.state != worker_state::serving &&
                                 status.state != worker_state::down &&
                                 status.hold != hold_kind::drain &&
                                 !status.leaving;
            if (returns || drained_.contains(id))
                busy.insert(status.pool);
            if (status.moved != base::wall_time{})
                covered.insert(status.pool);
        }
        // Finishing a pool that has a cover saves moving it there again.
        std::stable_partition(blocked_.begin(), blocked_.end(),
                              [&](const wave_member* each)
                              { return covered.contains(each->status->pool); });
        std::set<base::pool_name> tried;
        for (const wave_member* each : blocked_)
        {
            const base::pool_name& pool = each->status->pool;
            if (busy.contains(pool))
                return;
            if (!tried.insert(pool).second)
                continue;
            const cover_list willing = willing_covers(pool, busy);
            const cover_worker* chosen =
                find_cover(*each->id, pool, ledger_, willing);
            if (!chosen)
                continue;
            fleet_change change;
            change.kind = change_kind::start_drain;
            change.worker = chosen->id;
            change.pool = pool;
            change.reason = "covers a maintenance drain";
            plan_.changes.push_back(std::move(change));
            return;
        }
    }

    /// Spare workers that may move to `pool`: those in spare pools first, then
    /// those that cover another pool and are of no use there now.
    [[nodiscard]] cover_list
    willing_covers(const base::pool_name& pool,
                   const std::set<base::pool_name>& busy)
    {
        cover_list willing;
        for (const bool at_home : {true, false})
            for (const cover_worker& each : spare_workers_)
            {
                const worker_status& status = state_.workers.at(each.id);
                if (spare_pools_.contains(each.pool) == at_home &&
                    each.pool != pool && status.hold == hold_kind::none &&
                    status.state == worker_state::serving &&
                    !drained_.contains(each.id) &&
                    (at_home ||
                     (!busy.contains(each.pool) && !uses_room(each.pool))) &&
                    !ledger_.breach_without(each.id))
                    willing.push_back(each);
            }
        return willing;
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
    cover_list spare_workers_;
    std::vector<wave_view> views_;
    /// Workers that a budget holds back, in the order of their turns.
    std::vector<const wave_member*> blocked_;
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
