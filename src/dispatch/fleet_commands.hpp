#ifndef PIMENTOGRADE_DISPATCH_FLEET_COMMANDS_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_COMMANDS_HPP

#include "capacity/fleet_change.hpp"
#include "config/bundle.hpp"

#include <optional>
#include <string_view>

namespace pimentograde::dispatch
{

/// Each returns the change that brings `state` to what the command asks for,
/// or empty when it is there already, for example because an earlier write took
/// effect although its response was lost. Each throws `base::error`, with
/// `refused` and the reason or with `not_found`.

std::optional<capacity::fleet_change>
hold_change(const capacity::fleet_state& state, const base::worker_id& worker);

/// Refuses a drain that would break a budget.
std::optional<capacity::fleet_change>
drain_change(const config::bundle& bundle, const capacity::fleet_state& state,
             const base::worker_id& worker);

/// Ends a hold; without one, gives up a move that is not finished.
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

/// Refuses a move that would break a budget of the worker's present pool.
std::optional<capacity::fleet_change>
move_change(const config::bundle& bundle, const capacity::fleet_state& state,
            const base::worker_id& worker, const base::pool_name& pool);

} // namespace pimentograde::dispatch

#endif
