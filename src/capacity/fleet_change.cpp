#include "capacity/fleet_change.hpp"

#include "base/error.hpp"

#include <algorithm>
#include <array>

namespace pimentograde::capacity
{

namespace
{

// Weight of the newest worker in the running mean of the time out of service.
constexpr double newest_weight = 0.25;

constexpr std::array<std::string_view, 15> kind_names{
    "start_drain",   "mark_leaving", "confirm_drained", "confirm_rebooted",
    "admit_move",    "cancel_drain", "confirm_healthy", "mark_down",
    "mark_returned", "set_hold",     "clear_hold",      "start_wave",
    "begin_pass",    "pause_wave",   "resume_wave"};

struct context
{
    fleet_state& state;
    const fleet_change& change;
    base::wall_time now;
};

[[noreturn]] void refuse(const fleet_change& change, std::string_view why)
{
    throw base::error(
        base::error_code::refused, std::string(to_string(change.kind)),
        change.worker.empty() ? change.wave : change.worker.str(), why);
}

void require(const context& in, bool allowed, std::string_view why)
{
    if (!allowed)
        refuse(in.change, why);
}

void enter(const context& in, worker_status& status, worker_state next)
{
    status.state = next;
    status.since = in.now;
    if (next == worker_state::serving)
        status.out_since = base::wall_time{};
    else if (status.out_since == base::wall_time{})
        status.out_since = in.now;
}

bool in_service(const worker_status& status)
{
    return status.state == worker_state::serving ||
           status.state == worker_state::probation;
}

void clear_purpose(worker_status& status)
{
    status.wave.clear();
    status.target = base::pool_name{};
}

void start_drain(const context& in, worker_status& status)
{
    const bool for_wave = !in.change.wave.empty();
    const bool for_move = !in.change.pool.empty();
    require(in, for_wave != for_move, "needs either a wave or a pool");
    require(in, status.state == worker_state::serving,
            "the worker is not serving");
    require(in, status.hold == hold_kind::none, "an operator holds the worker");
    require(in, in.change.pool != status.pool, "already in this pool");
    require(in, !for_wave || in.state.waves.contains(in.change.wave),
            "unknown wave");
    status.wave = in.change.wave;
    status.target = in.change.pool;
    enter(in, status, worker_state::draining);
}

void mark_leaving(const context& in, worker_status& status)
{
    require(in, in_service(status) || status.state == worker_state::draining,
            "the worker is out of service");
    clear_purpose(status);
    status.leaving = true;
    if (status.state != worker_state::draining)
        enter(in, status, worker_state::draining);
}

void confirm_drained(const context& in, worker_status& status)
{
    require(in, status.state == worker_state::draining, "not draining");
    require(in, in.change.slots_used == 0, "tasks still run on the worker");
    require(in, status.hold != hold_kind::drain,
            "an operator holds it drained");
    require(in, !status.leaving, "the worker is leaving");
    if (!status.target.empty())
    {
        enter(in, status, worker_state::moving);
        return;
    }
    require(in, !status.wave.empty(), "the drain has no next step");
    require(in, in.change.incarnation != 0, "incarnation missing");
    status.incarnation = in.change.incarnation;
    enter(in, status, worker_state::rebooting);
}

void confirm_rebooted(const context& in, worker_status& status)
{
    require(in, status.state == worker_state::rebooting, "not rebooting");
    require(in,
            in.change.incarnation != 0 &&
                in.change.incarnation != status.incarnation,
            "no reboot since the drain");
    status.maintained = in.now;
    status.incarnation = 0;
    enter(in, status, worker_state::probation);
}

void admit_move(const context& in, worker_status& status)
{
    require(in, status.state == worker_state::moving, "not drained for a move");
    require(in, !status.target.empty(), "the move has no target");
    status.pool = status.target;
    status.target = base::pool_name{};
    status.moved = in.now;
    enter(in, status, worker_state::probation);
}

void cancel_drain(const context& in, worker_status& status)
{
    require(in,
            status.state == worker_state::draining ||
                status.state == worker_state::moving,
            "not draining");
    require(in, status.hold != hold_kind::drain,
            "an operator holds it drained");
    clear_purpose(status);
    status.leaving = false;
    enter(in, status, worker_state::probation);
}

void confirm_healthy(const context& in, worker_status& status)
{
    require(in, status.state == worker_state::probation, "not in probation");
    const auto wave = in.state.waves.find(status.wave);
    if (wave != in.state.waves.end())
    {
        const base::duration taken = in.now - status.out_since;
        base::duration& mean = wave->second.worker_time;
        const auto mixed =
            mean == base::duration{}
                ? base::duration{taken}
                : std::chrono::duration_cast<base::duration>(
                      newest_weight * taken + (1 - newest_weight) * mean);
        // The document holds milliseconds.
        mean = std::chrono::floor<std::chrono::milliseconds>(mixed);
    }
    clear_purpose(status);
    enter(in, status, worker_state::serving);
}

void mark_down(const context& in, worker_status& status)
{
    require(in, status.state != worker_state::down, "already down");
    status.wave.clear();
    status.leaving = false;
    status.incarnation = 0;
    enter(in, status, worker_state::down);
}

void mark_returned(const context& in, worker_status& status)
{
    require(in, status.state == worker_state::down, "not down");
    // Only a connection may have failed and tasks may still run, so a pending
    // move starts again with the drain.
    const bool drains =
        !status.target.empty() || status.hold == hold_kind::drain;
    enter(in, status,
          drains ? worker_state::draining : worker_state::probation);
}

void set_hold(const context& in, worker_status& status)
{
    require(in, in.change.hold != hold_kind::none, "needs a kind of hold");
    if (in.change.hold == hold_kind::drain)
    {
        require(in,
                status.state != worker_state::moving &&
                    status.state != worker_state::rebooting,
                "a move or reboot is in progress");
        clear_purpose(status);
        if (in_service(status))
            enter(in, status, worker_state::draining);
    }
    status.hold = in.change.hold;
}

void clear_hold(const context& in, worker_status& status)
{
    require(in, status.hold != hold_kind::none, "not held");
    const bool drained = status.hold == hold_kind::drain;
    status.hold = hold_kind::none;
    if (drained && status.state == worker_state::draining && !status.leaving)
        enter(in, status, worker_state::probation);
}

void apply_to_worker(const context& in, worker_status& status)
{
    switch (in.change.kind)
    {
    case change_kind::start_drain:
        return start_drain(in, status);
    case change_kind::mark_leaving:
        return mark_leaving(in, status);
    case change_kind::confirm_drained:
        return confirm_drained(in, status);
    case change_kind::confirm_rebooted:
        return confirm_rebooted(in, status);
    case change_kind::admit_move:
        return admit_move(in, status);
    case change_kind::cancel_drain:
        return cancel_drain(in, status);
    case change_kind::confirm_healthy:
        return confirm_healthy(in, status);
    case change_kind::mark_down:
        return mark_down(in, status);
    case change_kind::mark_returned:
        return mark_returned(in, status);
    case change_kind::set_hold:
        return set_hold(in, status);
    case change_kind::clear_hold:
        return clear_hold(in, status);
    default:
        refuse(in.change, "not a change of a worker");
    }
}

void apply_to_wave(const context& in, wave_status& status)
{
    switch (in.change.kind)
    {
    case change_kind::start_wave:
    case change_kind::begin_pass:
        status.started = in.now;
        status.immediate = in.change.kind == change_kind::start_wave;
        break;
    case change_kind::pause_wave:
        require(in, in.change.pause != wave_pause::none, "needs a cause");
        require(in, status.pause != wave_pause::ordered,
                "already paused by an operator");
        status.pause = in.change.pause;
        status.pause_reason = in.change.reason;
        return;
    case change_kind::resume_wave:
        require(in, status.pause != wave_pause::none, "not paused");
        break;
    default:
        refuse(in.change, "not a change of a wave");
    }
    status.pause = wave_pause::none;
    status.pause_reason.clear();
}

template <class Table, class Key>
auto& find_in(Table& table, const Key& key, const fleet_change& change,
              const std::string& name)
{
    const auto found = table.find(key);
    if (found == table.end())
        throw base::error(base::error_code::not_found,
                          std::string(to_string(change.kind)), name,
                          "not in the fleet state");
    return found->second;
}

} // namespace

std::string_view to_string(change_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

void apply_change(fleet_state& state, const fleet_change& change,
                  base::wall_time now)
{
    const context in{state, change, now};
    if (change.kind >= change_kind::start_wave)
    {
        wave_status& status =
            find_in(state.waves, change.wave, change, change.wave);
        wave_status next = status;
        apply_to_wave(in, next);
        status = std::move(next);
        return;
    }
    worker_status& status =
        find_in(state.workers, change.worker, change, change.worker.str());
    worker_status next = status;
    apply_to_worker(in, next);
    status = std::move(next);
}

} // namespace pimentograde::capacity
