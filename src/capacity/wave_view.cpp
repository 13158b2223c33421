#include "capacity/wave_view.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pimentograde::capacity
{

namespace
{

// Share of the period over which due times are spread. The rest is slack for
// drains that had to wait.
constexpr double spread_share = 0.9;

bool is_out_for(const wave_member& member, const config::wave& wave)
{
    return member.status->state != worker_state::serving &&
           member.status->wave == wave.name;
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

} // namespace

bool is_pending(const wave_member& member)
{
    return !member.done && member.status->hold == hold_kind::none;
}

wave_view make_wave_view(const config::wave& wave, const wave_status& status,
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

} // namespace pimentograde::capacity
