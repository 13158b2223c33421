#ifndef PIMENTOGRADE_CAPACITY_FLEET_CHANGE_HPP
#define PIMENTOGRADE_CAPACITY_FLEET_CHANGE_HPP

#include "capacity/fleet_state.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentograde::capacity
{

enum class change_kind
{
    /// `serving` → `draining`, for a wave (`wave`) or a move (`pool`).
    start_drain,
    /// The platform takes the worker away: → `draining`, with no next step.
    mark_leaving,
    /// `draining` → `rebooting` (wave) or `moving` (move). Needs
    /// `slots_used` 0 as proof, and the worker's `incarnation`.
    confirm_drained,
    /// `rebooting` → `probation`. Needs another `incarnation` as proof.
    confirm_rebooted,
    /// `moving` → `probation` in the target pool.
    admit_move,
    /// `draining` or `moving` → `probation` in the old pool.
    cancel_drain,
    /// `probation` → `serving`.
    confirm_healthy,
    /// Any → `down`.
    mark_down,
    /// `down` → `probation`, or → `draining` when a drain was ordered.
    mark_returned,
    /// Sets `hold`; with `hold_kind::drain` also → `draining`.
    set_hold,
    /// Ends a hold; a worker drained by it goes → `probation`.
    clear_hold,
    /// An operator starts a pass of `wave` now.
    start_wave,
    /// The next pass of `wave`, spread over its period.
    begin_pass,
    /// Pauses `wave`: `pause` says whether by failure or by an operator.
    pause_wave,
    resume_wave
};

std::string_view to_string(change_kind kind);

/// One step of the fleet state. Only the fields that the kind names are used.
struct fleet_change
{
    change_kind kind = change_kind::start_drain;
    base::worker_id worker;
    std::string wave;
    base::pool_name pool;
    std::string reason;
    std::uint32_t slots_used = 0;
    std::uint64_t incarnation = 0;
    hold_kind hold = hold_kind::none;
    wave_pause pause = wave_pause::none;
};

/// Applies one change. Throws `base::error` with `refused` and leaves `state`
/// as it was when the change would skip a state, move a worker that is not
/// drained, or serve two purposes at once; with `not_found` for an unknown
/// worker or wave.
void apply_change(fleet_state& state, const fleet_change& change,
                  base::wall_time now);

} // namespace pimentograde::capacity

#endif
