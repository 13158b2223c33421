// Maintenance waves: frees machines, orders their maintenance and records the
// progress.

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/fleet_manager.hpp"

#include <algorithm>

namespace pimentograde::node
{

namespace
{

constexpr std::chrono::seconds record_retry{1};

} // namespace

void fleet_manager::advance_wave(fleet::wave_progress& wave,
                                 base::time_point now)
{
    for (const std::string& name : wave.wave().machines)
    {
        if (const fleet::machine* entry = inventory_.find(name))
            wave.note_listed(*entry, times_.maintenance_time,
                             inventory_.listed_at());
        else if (!inventory_.machines().empty())
            wave.note_missing(name, inventory_.listed_at());
    }
    if (!may_order())
        return;
    wave.choose(
        [this](const std::string& machine)
        {
            return recent_.is_held_back(machine)
                       ? std::nullopt
                       : inventory_.machine_load(machine);
        },
        times_.maintenance_time, now);
    // Orders without an answer are sent again. Their workers are freed again
    // too: the order may not have been carried out, and tasks have started.
    auto candidates = wave.unacknowledged();
    std::erase_if(candidates, [&](const std::string& name)
                  { return recent_.is_held_back(name); });
    const auto prepared = wave.machines_in(fleet::maintenance_stage::preparing);
    candidates.insert(candidates.end(), prepared.begin(), prepared.end());
    const auto machines = release_machines(candidates);
    std::vector<fleet::recorded_order> orders;
    orders.reserve(machines.size());
    for (const std::string& name : machines)
        orders.push_back({name, wave.wave().number});
    if (orders.empty())
        return;
    unavailable_machines unavailable{
        wave.wave().number,
        wave.machines_in(fleet::maintenance_stage::ordered)};
    unavailable.machines.insert(unavailable.machines.end(), machines.begin(),
                                machines.end());
    if (!record_orders(orders, std::span(&unavailable, 1)))
        return;
    for_each_concurrently(machines,
                          [&](const std::string& name)
                          {
                              if (may_order())
                                  order_maintenance(wave, name);
                          });
}

std::vector<std::string>
fleet_manager::release_machines(std::span<const std::string> machines)
{
    std::vector<std::string> free;
    for_each_concurrently(
        machines,
        [&](const std::string& name)
        {
            const fleet::machine* entry = inventory_.find(name);
            if (entry != nullptr && (entry->worker.empty() || release(*entry)))
                free.push_back(name);
        });
    return free;
}

void fleet_manager::order_maintenance(fleet::wave_progress& wave,
                                      const std::string& machine)
{
    const fleet::machine* listed = inventory_.find(machine);
    const fleet::machine entry = listed == nullptr ? fleet::machine{} : *listed;
    const auto pending = wave.unacknowledged();
    const bool is_repeated =
        std::find(pending.begin(), pending.end(), machine) != pending.end();
    const base::time_point now = base::steady_now();
    const auto listing_age = base::count_millis(now - inventory_.listed_at());
    wave.note_ordered(machine, now);
    const auto answer =
        send_order(entry,
                   [&]
                   {
                       return machines_client_.maintain(
                           authority(), machine, wave.wave().number,
                           base::steady_now() + call_timeout);
                   });
    log::write(event_machine_order, {{"order", "maintain"},
                                     {"machine", machine},
                                     {"worker", entry.worker},
                                     {"wave", wave.wave().number},
                                     {"fence", *fence_},
                                     {"unavailable", wave.unavailable()},
                                     {"max_down", wave.wave().max_down},
                                     {"listing_age_ms", listing_age},
                                     {"answer", to_string(answer)}});
    if (answer == platform::machine_answer::done)
        wave.note_acknowledged(machine, base::steady_now());
    else if (answer == platform::machine_answer::invalid ||
             answer == platform::machine_answer::not_in_wave)
        wave.note_gone(machine);
    else if (!is_repeated)
        wave.note_refused(machine, base::steady_now());
}

fleet::wave_progress&
fleet_manager::progress_of(const fleet::maintenance_wave& wave,
                           base::time_point now)
{
    if (const auto known = waves_.find(wave.number); known != waves_.end())
    {
        if (known->second.wave() != wave)
            known->second.update(wave);
        return known->second;
    }
    fleet::wave_progress progress(wave, wave_first_seen_[wave.number]);
    progress.restore_done(records_.read_done(wave.number));
    for (const std::string& machine : records_.read_ordered(wave.number))
        progress.restore_ordered(machine, now);
    for (const std::string& machine : recent_.machines_of_wave(wave.number))
        progress.restore_ordered(machine, now);
    return waves_.emplace(wave.number, std::move(progress)).first->second;
}

// The store may be unavailable while the machine service still takes orders.
void fleet_manager::try_record_wave(fleet::wave_progress& wave,
                                    base::time_point now)
{
    if (now < next_record_at_)
        return;
    try
    {
        record_wave(wave);
    }
    catch (const base::error& failure)
    {
        next_record_at_ = now + record_retry;
        log::write(event_wave_not_recorded,
                   {{"wave", wave.wave().number}, {"reason", failure.what()}});
    }
}

void fleet_manager::record_wave(fleet::wave_progress& wave)
{
    const std::int64_t number = wave.wave().number;
    const auto done = wave.done();
    const auto recorded = recorded_done_counts_.find(number);
    const bool is_complete = wave.is_complete();
    const bool is_recorded = recorded != recorded_done_counts_.end() &&
                             recorded->second == done.size();
    // The last machines of a wave may have left the fleet instead.
    if ((is_recorded && !is_complete) || !fence_)
        return;
    if (!records_.write_wave(*fence_, wave))
        return;
    recorded_done_counts_[number] = done.size();
    log::write(event_wave, {{"wave", number},
                            {"done", done.size()},
                            {"machines", wave.wave().machines.size()},
                            {"state", is_complete ? "completed" : "running"}});
    if (is_complete)
        completed_waves_.insert(number);
}

} // namespace pimentograde::node
