#include "fleet/wave_progress.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace pimentograde::fleet
{

namespace
{

// Machines of pools with a longer backlog are not chosen unless the wave is
// short of time.
constexpr double max_quiet_backlog_seconds = 0.5;
// Time to free a machine before its maintenance: the duration of the longest
// usual task.
constexpr std::chrono::seconds preparation_time{3};
// Reserve for an outage of the platform or a change of the role's holder.
constexpr std::chrono::seconds outage_reserve_time{5};
// At most one in this many machines of the wave's limit may be in preparation
// while it has long-running tasks.
constexpr int long_running_share_divisor = 4;
// A machine that all listings have lacked for this long has left the fleet. One
// listing may lack a machine, since its pages are no snapshot.
constexpr std::chrono::seconds absence_confirmation{3};
// Factor on the maintenance time: a list may still show a machine as up that
// has just been ordered down.
constexpr double stale_listing_factor = 1.25;

} // namespace

wave_progress::wave_progress(maintenance_wave wave, base::time_point seen_at)
    : wave_(std::move(wave)), seen_at_(seen_at)
{
    for (const std::string& machine : wave_.machines)
        machines_.emplace(machine, machine_state{});
}

void wave_progress::update(const maintenance_wave& wave)
{
    const std::set<std::string> wanted(wave.machines.begin(),
                                       wave.machines.end());
    std::erase_if(machines_,
                  [&](const auto& item)
                  {
                      const machine_state& state = item.second;
                      const bool may_be_down =
                          state.stage == maintenance_stage::ordered ||
                          state.is_listed_down;
                      return !wanted.contains(item.first) && !may_be_down;
                  });
    for (const std::string& machine : wave.machines)
        machines_.try_emplace(machine, machine_state{});
    wave_ = wave;
}

void wave_progress::restore_done(std::span<const std::string> machines)
{
    for (const std::string& machine : machines)
        if (const auto found = machines_.find(machine);
            found != machines_.end())
            found->second.stage = maintenance_stage::done;
}

void wave_progress::restore_ordered(const std::string& machine,
                                    base::time_point now)
{
    const auto found = machines_.find(machine);
    if (found != machines_.end() &&
        found->second.stage != maintenance_stage::done)
        note_ordered(machine, now);
}

int wave_progress::unavailable() const
{
    return static_cast<int>(
        std::count_if(machines_.begin(), machines_.end(),
                      [](const auto& item)
                      {
                          const machine_state& state = item.second;
                          return state.stage == maintenance_stage::preparing ||
                                 state.stage == maintenance_stage::ordered ||
                                 (state.stage == maintenance_stage::pending &&
                                  state.is_listed_down);
                      }));
}

int wave_progress::count(maintenance_stage stage) const
{
    return static_cast<int>(std::count_if(
        machines_.begin(), machines_.end(),
        [&](const auto& item) { return item.second.stage == stage; }));
}

bool wave_progress::is_urgent(base::duration maintenance_time,
                              base::time_point now) const
{
    const int cap = std::max(wave_.max_down, 1);
    const int rounds = (count(maintenance_stage::pending) + cap - 1) / cap + 1;
    const base::duration needed =
        rounds * (maintenance_time + preparation_time) + outage_reserve_time;
    return now + needed >= seen_at_ + wave_.time_limit;
}

std::vector<wave_progress::candidate> wave_progress::candidates(
    const std::function<std::optional<machine_load>(const std::string&)>&
        load_of,
    bool include_busy) const
{
    std::vector<candidate> result;
    for (const auto& [name, state] : machines_)
    {
        if (state.stage != maintenance_stage::pending)
            continue;
        const auto load = load_of(name);
        if (!load)
            continue;
        const bool is_busy = load->pool_backlog > max_quiet_backlog_seconds;
        if (!is_busy || include_busy)
            result.push_back({name, is_busy, load->long_running, load->runs});
    }
    std::sort(result.begin(), result.end(),
              [](const candidate& left, const candidate& right)
              {
                  return std::tie(left.is_busy, left.long_running, left.runs,
                                  left.name) < std::tie(right.is_busy,
                                                        right.long_running,
                                                        right.runs, right.name);
              });
    return result;
}

int wave_progress::preparing_with_long_running() const
{
    return static_cast<int>(std::count_if(
        machines_.begin(), machines_.end(),
        [](const auto& item)
        {
            return item.second.stage == maintenance_stage::preparing &&
                   item.second.has_long_running;
        }));
}

void wave_progress::choose(
    const std::function<std::optional<machine_load>(const std::string&)>&
        load_of,
    base::duration maintenance_time, base::time_point now)
{
    int room = wave_.max_down - unavailable();
    if (room <= 0)
        return;
    int long_running_room = wave_.max_down / long_running_share_divisor -
                            preparing_with_long_running();
    const auto start_preparing = [&](const candidate& chosen)
    {
        machine_state& state = machines_[chosen.name];
        state = {};
        state.stage = maintenance_stage::preparing;
        state.since = now;
        state.has_long_running = chosen.long_running > 0;
        --room;
    };
    const auto chosen = candidates(load_of, is_urgent(maintenance_time, now));
    for (const candidate& entry : chosen)
        if (room > 0 && long_running_room > 0 && entry.long_running > 0)
        {
            start_preparing(entry);
            --long_running_room;
        }
    for (const candidate& entry : chosen)
        if (room > 0 &&
            machines_[entry.name].stage == maintenance_stage::pending)
            start_preparing(entry);
}

std::vector<std::string>
wave_progress::machines_in(maintenance_stage stage) const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : machines_)
        if (state.stage == stage)
            names.push_back(name);
    return names;
}

void wave_progress::note_ordered(const std::string& machine,
                                 base::time_point now)
{
    machine_state& state = machines_[machine];
    state = {};
    state.stage = maintenance_stage::ordered;
    state.since = now;
}

void wave_progress::note_acknowledged(const std::string& machine,
                                      base::time_point now)
{
    note_ordered(machine, now);
    machines_[machine].is_acknowledged = true;
}

std::vector<std::string> wave_progress::unacknowledged() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : machines_)
        if (state.stage == maintenance_stage::ordered && !state.is_acknowledged)
            names.push_back(name);
    return names;
}

void wave_progress::note_refused(const std::string& machine,
                                 base::time_point now)
{
    machine_state& state = machines_[machine];
    state = {};
    state.since = now;
    state.is_listed_down = true;
}

void wave_progress::note_gone(const std::string& machine)
{
    machines_[machine].stage = maintenance_stage::done;
}

void wave_progress::note_missing(const std::string& machine,
                                 base::time_point listed_at)
{
    const auto found = machines_.find(machine);
    if (found == machines_.end() ||
        found->second.stage == maintenance_stage::done)
        return;
    machine_state& state = found->second;
    if (state.missing_since == base::time_point{})
        state.missing_since = listed_at;
    if (listed_at - state.missing_since < absence_confirmation)
        return;
    state.stage = maintenance_stage::missing;
    state.is_listed_down = false;
}

void wave_progress::note_listed(const machine& entry,
                                base::duration maintenance_time,
                                base::time_point listed_at)
{
    const auto found = machines_.find(entry.id);
    if (found == machines_.end())
        return;
    machine_state& state = found->second;
    state.missing_since = {};
    if (state.stage == maintenance_stage::missing)
        state = {};
    // The listing may show the state from before the refused order.
    if (state.stage == maintenance_stage::pending && listed_at <= state.since)
        return;
    state.is_listed_down = entry.status == machine_status::in_maintenance;
    if (state.stage != maintenance_stage::ordered ||
        entry.status != machine_status::up)
        return;
    const auto min_down_time = std::chrono::duration_cast<base::duration>(
        maintenance_time * stale_listing_factor);
    // Unacknowledged orders are sent again, so they do not count as done here.
    if (state.is_acknowledged && listed_at - state.since >= min_down_time)
        state.stage = maintenance_stage::done;
}

bool wave_progress::is_complete() const
{
    return count(maintenance_stage::done) + count(maintenance_stage::missing) ==
           static_cast<int>(machines_.size());
}

std::vector<std::string> wave_progress::done() const
{
    return machines_in(maintenance_stage::done);
}

} // namespace pimentograde::fleet
