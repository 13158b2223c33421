#ifndef PIMENTOGRADE_DISPATCH_FLEET_COMMANDS_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_COMMANDS_HPP

#include "capacity/fleet_change.hpp"
#include "config/bundle.hpp"

#include <optional>
#include <string_view>

namespace pimentograde::dispatch
{

/// Each function returns the change that the command requires, or nullopt when
/// `state` already has it, for example because an earlier write took effect but
/// its response was lost. Throws `base::error`: `refused` with the reason, or
/// `not_found`.

std::optional<capacity::fleet_change>
hold_change(const capacity::fleet_state& state, const base::worker_id& worker);

/// Refuses a drain that would violate an availability budget.
std::optional<capacity::fleet_change>
drain_change(const config::bundle& bundle, const capacity::fleet_state& state,
             const base::worker_id& worker);

/// Clears the worker's hold. If it has none, cancels an unfinished move.
std::optional<capacity::fleet_change>
release_change(const capacity::fleet_state& state,
               const base::worker_id& worker);

std::optional<capacity::fleet_change>
start_wave_change(const config::bundle& bundle,
                  const capacity::fleet_state& state, std::string_view wave);

std::optional<capacity::fleet_change>
pause_wave_change(const capacity::fleet_state& state, std::string_view wave,
                  std::string_view reason);

std::optional<capacity::fleet_change>
resume_wave_change(const capacity::fleet_state& state, std::string_view wave);

/// Refuses a move that would violate an availability budget of the worker's
/// current pool.
std::optional<capacity::fleet_change>
move_change(const config::bundle& bundle, const capacity::fleet_state& state,
            const base::worker_id& worker, const base::pool_name& pool);

} // namespace pimentograde::dispatch

#endif
