#include "node/fleet_manager.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/pool_claims.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

namespace
{

constexpr std::string_view role = fleet_role;
constexpr std::chrono::milliseconds round_interval{100};
// The platform charges for each listing.
constexpr std::chrono::milliseconds listing_interval{250};
// Bounds the concurrent calls for machines of a wave.
constexpr std::size_t max_concurrent_orders = 16;
// A worker that is being freed gets no new runs for this long after each
// request, which covers an order that takes until its timeout.
constexpr std::chrono::milliseconds release_hold{2500};
// Added to the pause between two holders for orders still in flight.
constexpr std::chrono::milliseconds in_flight_margin{400};
// Orders are sent within this time from the beginning of their recording. The
// store is rarely slower.
constexpr std::chrono::milliseconds record_validity{600};
// Orders rest on the listing: later the machines may have other workers or
// pools. Covers a slow listing, the release and the record of an order.
constexpr std::chrono::seconds max_listing_age{3};

} // namespace

fleet_manager::fleet_manager(session& members, pool_gateway& gateway,
                             platform::store_client& store,
                             net::http_client& http,
                             net::endpoint machine_service, timing times)
    : session_(members), gateway_(gateway),
      machines_client_(http, std::move(machine_service)), times_(times),
      moves_(inventory_, times.orders_per_second,
             {[this] { return may_order(); },
              [this](const std::string& machine)
              { return is_reserved(machine); },
              [this](std::span<const fleet::machine_move> moves)
              { return record_moves(moves); },
              [this](const fleet::machine& entry) { return release(entry); },
              [this](const fleet::machine_move& move)
              {
                  order_move(move);
              }}),
      records_(store)
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
    const auto known = known_waves_.find(wave.number);
    if (known != known_waves_.end() && known->second != wave)
    {
        completed_waves_.erase(wave.number);
        recorded_done_counts_.erase(wave.number);
    }
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
    recent_.clear();
    ordered_workers_.clear();
    // The machines may have new workers by the next time.
    inventory_.set_machines({}, {});
}

// Orders that earlier holders may have sent. Their records are written under
// the role, so none is added after this holder's claim, and they expire.
void fleet_manager::read_earlier_orders(base::time_point now)
{
    if (recent_.is_read() &&
        (!recent_.is_waiting() || now - records_read_at_ < listing_interval))
        return;
    records_read_at_ = now;
    const bool is_first = !recent_.is_read();
    const auto earlier = records_.read_orders(*fence_);
    recent_.set_inherited(earlier.orders, earlier.is_readable);
    if (is_first)
        log::write(event_fleet_takeover,
                   {{"fence", *fence_},
                    {"held_back", earlier.orders.size()},
                    {"is_readable", earlier.is_readable ? 1 : 0}});
}

bool fleet_manager::may_order() const
{
    const holder* current = session_.holder_of(role);
    return fence_ && current != nullptr && current->revision == *fence_ &&
           recent_.is_read() && !stop_.is_set() &&
           base::steady_now() - inventory_.listed_at() < max_listing_age &&
           session_.holds_lease(base::suspend_aware_now());
}

// A record covers orders that are sent soon after it was written.
bool fleet_manager::may_send() const
{
    return may_order() &&
           base::suspend_aware_now() - recorded_at_ < record_validity;
}

bool fleet_manager::record_orders(std::span<const fleet::recorded_order> orders,
                                  std::span<const unavailable_machines> waves)
{
    const base::time_point begun_at = base::suspend_aware_now();
    try
    {
        if (!may_order() ||
            !records_.write_orders(*fence_, orders, waves,
                                   times_.holder_pause + record_validity +
                                       in_flight_margin))
            return false;
    }
    catch (const base::error& failure)
    {
        log::write(event_orders_not_recorded,
                   {{"orders", orders.size()}, {"reason", failure.what()}});
        return false;
    }
    recorded_at_ = begun_at;
    return true;
}

bool fleet_manager::record_moves(std::span<const fleet::machine_move> moves)
{
    std::vector<fleet::recorded_order> orders;
    orders.reserve(moves.size());
    for (const fleet::machine_move& move : moves)
        orders.push_back({move.machine, 0});
    return record_orders(orders, {});
}

platform::machine_authority fleet_manager::authority() const
{
    return {session_.own().name, *fence_,
            [this]
            {
                return may_send();
            }};
}

void fleet_manager::refresh_machines(base::time_point now)
{
    if (now - listing_requested_at_ < listing_interval)
        return;
    listing_requested_at_ = now;
    inventory_.set_machines(machines_client_.list(now + call_timeout), now);
}

void fleet_manager::end_workers()
{
    const auto ended = ordered_workers_.take_ended(
        [this](const std::string& machine) { return inventory_.find(machine); },
        inventory_.listed_at());
    net::task_group calls;
    for (const auto& entry : ended)
        calls.spawn(
            [&]
            {
                gateway_.end_worker(entry.pool, entry.worker,
                                    base::steady_now() + load_timeout);
            });
    calls.join();
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
    end_workers();
    refresh_loads();
    read_earlier_orders(now);
    for (const auto& [number, wave] : known_waves_)
    {
        if (completed_waves_.contains(number))
            continue;
        fleet::wave_progress& progress = progress_of(wave, now);
        advance_wave(progress, now);
        try_record_wave(progress, now);
    }
    moves_.set_machines_to_free(machines_to_free());
    moves_.run_round(now);
}

// Machines, by pool, whose long-running tasks have to move for a wave.
std::map<std::string, std::size_t> fleet_manager::machines_to_free() const
{
    std::map<std::string, std::size_t> result;
    for (const auto& [number, wave] : waves_)
    {
        if (completed_waves_.contains(number))
            continue;
        for (const std::string& name :
             wave.machines_in(fleet::maintenance_stage::preparing))
        {
            const auto load = inventory_.machine_load(name);
            if (load && load->long_running > 0)
                ++result[inventory_.find(name)->pool];
        }
    }
    return result;
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

bool fleet_manager::is_reserved(const std::string& machine) const
{
    return is_in_wave(machine) || recent_.is_held_back(machine);
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

platform::machine_answer
fleet_manager::send_order(const fleet::machine& entry,
                          const std::function<platform::machine_answer()>& send)
{
    try
    {
        const auto answer = send();
        // A busy machine is leaving by an order that this holder does not know.
        if (answer == platform::machine_answer::done ||
            answer == platform::machine_answer::busy)
            ordered_workers_.note_ordered(entry, base::steady_now());
        return answer;
    }
    catch (const base::error&)
    {
        // It may have been carried out.
        ordered_workers_.note_ordered(entry, base::steady_now());
        throw;
    }
}

void fleet_manager::order_move(const fleet::machine_move& move)
{
    const fleet::machine entry = *inventory_.find(move.machine);
    const auto answer = send_order(entry,
                                   [&]
                                   {
                                       return machines_client_.move(
                                           authority(), move.machine, move.to,
                                           base::steady_now() + call_timeout);
                                   });
    log::write(event_machine_order, {{"order", "move"},
                                     {"machine", move.machine},
                                     {"worker", entry.worker},
                                     {"from", move.from},
                                     {"to", move.to},
                                     {"fence", *fence_},
                                     {"answer", to_string(answer)}});
}

bool fleet_manager::release(const fleet::machine& entry)
{
    return gateway_.release_worker(entry.pool, entry.worker, release_hold,
                                   base::steady_now() + load_timeout);
}

} // namespace pimentograde::node
