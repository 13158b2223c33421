#include "node/fleet_manager.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/pool_claims.hpp"
#include "platform/keys.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

namespace json = boost::json;

namespace
{

constexpr std::string_view role = fleet_role;
constexpr std::chrono::milliseconds round_interval{100};
// The platform charges for each listing.
constexpr std::chrono::milliseconds listing_interval{250};
constexpr std::chrono::milliseconds call_timeout{1200};
// Bounds the concurrent calls for machines of a wave.
constexpr std::size_t max_concurrent_orders = 16;
constexpr std::chrono::seconds record_retry{1};
constexpr std::chrono::milliseconds load_timeout{400};
// A worker that is being freed gets no new runs for this long after each
// request, which covers an order that takes until its timeout.
constexpr std::chrono::milliseconds release_hold{2500};
// Added to the pause between two holders for orders still in flight.
constexpr std::chrono::milliseconds in_flight_margin{400};

std::string wave_record_key(std::int64_t number)
{
    return "pimentograde-fleet/wave/" + std::to_string(number);
}

std::string_view to_string(platform::machine_answer answer)
{
    switch (answer)
    {
    case platform::machine_answer::done:
        return "done";
    case platform::machine_answer::busy:
        return "busy";
    case platform::machine_answer::fenced_off:
        return "fenced_off";
    case platform::machine_answer::not_in_wave:
        return "not_in_wave";
    case platform::machine_answer::invalid:
        break;
    }
    return "invalid";
}

} // namespace

fleet_manager::fleet_manager(session& members, pool_gateway& gateway,
                             platform::store_client& store,
                             net::http_client& http,
                             net::endpoint machine_service, timing times)
    : session_(members), gateway_(gateway), store_(store),
      machines_client_(http, std::move(machine_service)), times_(times),
      moves_(inventory_, times.orders_per_second,
             {[this] { return may_order(base::steady_now()); },
              [this](const std::string& machine)
              { return is_in_wave(machine); },
              [this](const fleet::machine& entry) { return release(entry); },
              [this](const fleet::machine_move& move)
              {
                  order_move(move);
              }})
{
}

fleet_manager::~fleet_manager()
{
    stop();
}

void fleet_manager::start()
{
    fibers_.spawn_restarting("order machines", [this] { run(); });
}

void fleet_manager::stop()
{
    stop_.set();
    fibers_.join();
}

void fleet_manager::set_configuration(const platform::configuration& current)
{
    inventory_.pools = current.pools;
    roles_ = roles_of(current);
}

void fleet_manager::set_wave(const fleet::maintenance_wave& wave,
                             base::time_point now)
{
    known_waves_.insert_or_assign(wave.number, wave);
    wave_first_seen_.emplace(wave.number, now);
}

void fleet_manager::run()
{
    while (!stop_.wait_for(round_interval))
    {
        const base::time_point now = base::steady_now();
        try
        {
            if (hold_role(now))
                run_round(now);
            if (!std::exchange(service_answers_, true))
                log::write(event_machine_service_failed,
                           {{"state", "answers again"}});
        }
        catch (const std::exception& failure)
        {
            if (std::exchange(service_answers_, false))
                log::write(event_machine_service_failed,
                           {{"reason", failure.what()}});
        }
    }
}

bool fleet_manager::hold_role(base::time_point now)
{
    const holder* current = session_.holder_of(role);
    if (!session_.is_registered() || inventory_.pools.empty())
    {
        reset_role_state();
        return false;
    }
    if (current != nullptr && session_.is_own(*current))
    {
        if (fence_ != current->revision)
        {
            reset_role_state();
            fence_ = current->revision;
            orders_allowed_from_ = now + claim_pause_;
            log::write(event_pool_claimed,
                       {{"pool", "fleet"}, {"fence", *fence_}});
        }
        return true;
    }
    reset_role_state();
    const bool resumes =
        current != nullptr && session_.is_own_previous_process(*current);
    if (current != nullptr && !resumes)
    {
        role_free_since_ = {};
        return false;
    }
    // The full pause is not needed if a previous process of this instance held
    // the role: no other instance has sent orders since.
    claim_pause_ = resumes ? base::duration(in_flight_margin)
                           : times_.holder_pause + in_flight_margin;
    if (role_free_since_ == base::time_point{})
        role_free_since_ = now;
    if (now - role_free_since_ >=
        session_.delay_before_claim(role, roles_, now))
        session_.claim(role);
    return false;
}

void fleet_manager::reset_role_state()
{
    fence_.reset();
    waves_.clear();
    recorded_done_counts_.clear();
    completed_waves_.clear();
    moves_.clear();
}

bool fleet_manager::may_order(base::time_point now) const
{
    const holder* current = session_.holder_of(role);
    return fence_ && current != nullptr && current->revision == *fence_ &&
           now >= orders_allowed_from_ && !stop_.is_set() &&
           session_.holds_lease(base::suspend_aware_now());
}

platform::machine_authority fleet_manager::authority() const
{
    return {session_.own().name, *fence_,
            [this]
            {
                return may_order(base::steady_now());
            }};
}

void fleet_manager::refresh_machines(base::time_point now)
{
    if (now - machines_listed_at_ < listing_interval)
        return;
    machines_listed_at_ = now;
    inventory_.set_machines(machines_client_.list(now + call_timeout));
}

void fleet_manager::refresh_loads()
{
    const auto leaving = workers_leaving_soon();
    net::task_group queries;
    for (const auto& pool : inventory_.pools)
    {
        if (pool.is_standby)
            continue;
        peer::query_load query{pool.name, {}};
        if (const auto found = leaving.find(pool.name); found != leaving.end())
            query.leaving_soon = found->second;
        queries.spawn(
            [this, query = std::move(query)]
            {
                inventory_.set_load(
                    query.pool,
                    gateway_.load(query, base::steady_now() + load_timeout));
            });
    }
    queries.join();
}

// Workers, by pool, on machines that a wave has yet to maintain.
std::map<std::string, std::vector<std::string>>
fleet_manager::workers_leaving_soon() const
{
    using stage = fleet::maintenance_stage;
    std::map<std::string, std::vector<std::string>> result;
    for (const auto& [number, wave] : waves_)
    {
        if (completed_waves_.contains(number))
            continue;
        for (const stage current : {stage::pending, stage::preparing})
            for (const std::string& name : wave.machines_in(current))
            {
                const fleet::machine* entry = inventory_.find(name);
                if (entry != nullptr && !entry->worker.empty())
                    result[entry->pool].push_back(entry->worker);
            }
    }
    return result;
}

void fleet_manager::run_round(base::time_point now)
{
    refresh_machines(now);
    refresh_loads();
    for (const auto& [number, wave] : known_waves_)
    {
        if (completed_waves_.contains(number))
            continue;
        auto found = waves_.find(number);
        if (found == waves_.end())
        {
            found = waves_
                        .emplace(number, fleet::wave_progress(
                                             wave, wave_first_seen_[number]))
                        .first;
            restore_wave(found->second);
        }
        advance_wave(found->second, now);
        try_record_wave(found->second, now);
    }
    moves_.run_round(now);
}

void fleet_manager::advance_wave(fleet::wave_progress& wave,
                                 base::time_point now)
{
    using stage = fleet::maintenance_stage;
    for (const std::string& name : wave.wave().machines)
    {
        if (const fleet::machine* entry = inventory_.find(name))
            wave.note_listed(*entry, times_.maintenance_time,
                             machines_listed_at_);
        else if (!inventory_.machines().empty())
            wave.note_gone(name);
    }
    if (!may_order(now))
        return;
    wave.choose([this](const std::string& machine)
                { return inventory_.machine_load(machine); },
                times_.maintenance_time, now);
    const auto repeated = wave.unacknowledged();
    for_each_concurrently(wave.machines_in(stage::preparing),
                          [&](const std::string& name)
                          { maintain_if_free(wave, name); });
    for_each_concurrently(repeated,
                          [&](const std::string& name)
                          {
                              if (may_order(base::steady_now()))
                                  order_maintenance(wave, name);
                          });
}

// Sequential calls would delay the moves for most of a load burst.
void fleet_manager::for_each_concurrently(
    std::span<const std::string> machines,
    const std::function<void(const std::string&)>& work)
{
    while (!machines.empty())
    {
        const auto batch =
            machines.first(std::min(machines.size(), max_concurrent_orders));
        machines = machines.subspan(batch.size());
        net::task_group calls;
        for (const std::string& name : batch)
            calls.spawn(
                [&]
                {
                    try
                    {
                        work(name);
                    }
                    catch (const std::exception& failure)
                    {
                        log::write(
                            event_machine_service_failed,
                            {{"machine", name}, {"reason", failure.what()}});
                    }
                });
        calls.join();
    }
}

void fleet_manager::maintain_if_free(fleet::wave_progress& wave,
                                     const std::string& machine)
{
    const fleet::machine* entry = inventory_.find(machine);
    if (entry == nullptr)
        return;
    const bool is_free = entry->worker.empty() || release(*entry);
    if (is_free && may_order(base::steady_now()))
        order_maintenance(wave, machine);
}

void fleet_manager::order_maintenance(fleet::wave_progress& wave,
                                      const std::string& machine)
{
    const fleet::machine* listed = inventory_.find(machine);
    const fleet::machine entry = listed == nullptr ? fleet::machine{} : *listed;
    const auto pending = wave.unacknowledged();
    const bool is_repeated =
        std::find(pending.begin(), pending.end(), machine) != pending.end();
    wave.note_ordered(machine, base::steady_now());
    const auto answer =
        machines_client_.maintain(authority(), machine, wave.wave().number,
                                  base::steady_now() + call_timeout);
    log::write(event_machine_order, {{"order", "maintain"},
                                     {"machine", machine},
                                     {"worker", entry.worker},
                                     {"wave", wave.wave().number},
                                     {"fence", *fence_},
                                     {"answer", to_string(answer)}});
    if (answer == platform::machine_answer::done)
    {
        wave.note_acknowledged(machine, base::steady_now());
        if (!entry.worker.empty())
            gateway_.end_worker(entry.pool, entry.worker,
                                base::steady_now() + load_timeout);
    }
    else if (answer == platform::machine_answer::invalid ||
             answer == platform::machine_answer::not_in_wave)
        wave.note_gone(machine);
    else if (!is_repeated)
        wave.note_refused(machine);
}

void fleet_manager::restore_wave(fleet::wave_progress& wave)
{
    const auto stored = store_.get(wave_record_key(wave.wave().number));
    if (!stored)
        return;
    boost::system::error_code failure;
    const json::value parsed = json::parse(stored->value, failure);
    if (failure || !parsed.is_array())
        return;
    std::vector<std::string> done;
    for (const json::value& row : parsed.get_array())
        if (row.is_string())
            done.emplace_back(row.get_string());
    wave.restore_done(done);
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
    if ((recorded != recorded_done_counts_.end() &&
         recorded->second == done.size()) ||
        !fence_)
        return;
    const bool is_complete = wave.is_complete();
    const auto result = store_.commit(
        {{{session::role_key(role), *fence_}},
         {{wave_record_key(number), json::serialize(json::value_from(done)), 0},
          {platform::wave_status_key(number),
           platform::write_wave_status(is_complete), 0}},
         {}});
    if (result.outcome != platform::commit_result::kind::committed)
        return;
    recorded_done_counts_[number] = done.size();
    log::write(event_wave, {{"wave", number},
                            {"done", done.size()},
                            {"machines", wave.wave().machines.size()},
                            {"state", is_complete ? "completed" : "running"}});
    if (is_complete)
        completed_waves_.insert(number);
}

bool fleet_manager::is_in_wave(const std::string& machine) const
{
    using stage = fleet::maintenance_stage;
    for (const auto& [number, wave] : waves_)
    {
        if (completed_waves_.contains(number))
            continue;
        for (const stage current : {stage::preparing, stage::ordered})
        {
            const auto names = wave.machines_in(current);
            if (std::find(names.begin(), names.end(), machine) != names.end())
                return true;
        }
    }
    return false;
}

void fleet_manager::order_move(const fleet::machine_move& move)
{
    const fleet::machine entry = *inventory_.find(move.machine);
    const auto answer = machines_client_.move(
        authority(), move.machine, move.to, base::steady_now() + call_timeout);
    log::write(event_machine_order, {{"order", "move"},
                                     {"machine", move.machine},
                                     {"worker", entry.worker},
                                     {"from", move.from},
                                     {"to", move.to},
                                     {"fence", *fence_},
                                     {"answer", to_string(answer)}});
    if (answer == platform::machine_answer::done && !entry.worker.empty())
        gateway_.end_worker(entry.pool, entry.worker,
                            base::steady_now() + load_timeout);
}

bool fleet_manager::release(const fleet::machine& entry)
{
    return gateway_.release_worker(entry.pool, entry.worker, release_hold,
                                   base::steady_now() + load_timeout);
}

} // namespace pimentograde::node
