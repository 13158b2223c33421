#ifndef PIMENTOGRADE_CAPACITY_WAVE_VIEW_HPP
#define PIMENTOGRADE_CAPACITY_WAVE_VIEW_HPP

#include "capacity/wave_planner.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::capacity
{

/// `zone/rack` of each worker.
using place_index = std::map<base::worker_id, std::string>;

struct wave_member
{
    const base::worker_id* id = nullptr;
    const worker_status* status = nullptr;
    std::string rack;
    base::wall_time due{};
    bool done = false;
};

struct wave_view
{
    const config::wave* wave = nullptr;
    const wave_status* status = nullptr;
    std::vector<wave_member> members;
    wave_progress progress;
    /// Racks with a worker that is done or out.
    std::set<std::string> begun_racks;
};

/// Whether the worker still has to be maintained in this pass.
bool is_pending(const wave_member& member);

/// A wave with the workers of its pools, in the order of racks. Points into
/// its arguments.
wave_view make_wave_view(const config::wave& wave, const wave_status& status,
                         const fleet_state& state, const place_index& places);

/// The failure that pauses the wave: a worker of its pools is down and one of
/// their budgets no longer survives a further failure. Empty when none does.
std::string failure_reason(const wave_view& view, const serving_ledger& ledger);

} // namespace pimentograde::capacity

#endif
