#ifndef PIMENTOGRADE_CAPACITY_WAVE_PLANNER_HPP
#define PIMENTOGRADE_CAPACITY_WAVE_PLANNER_HPP

#include "capacity/budget_checker.hpp"
#include "capacity/fleet_change.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pimentograde::capacity
{

struct wave_settings
{
    /// Longest time that one worker is out of service in a wave: drain, reboot
    /// and probation.
    base::duration worker_time = std::chrono::minutes{10};
    /// Whether a spare worker moves into a pool whose budgets otherwise leave
    /// no room for a drain.
    bool cover_moves = true;
};

enum class wave_phase
{
    /// All workers of this pass are done; the next pass starts after the
    /// period.
    finished,
    /// Due workers are drained as budgets allow.
    running,
    /// The next worker is not due yet.
    scheduled,
    paused
};

std::string_view to_string(wave_phase phase);

struct wave_progress
{
    std::string name;
    wave_phase phase = wave_phase::scheduled;
    std::uint32_t workers = 0;
    std::uint32_t done = 0;
    /// Out of service for this wave now.
    std::uint32_t out = 0;
    /// Not part of this pass because an operator holds them.
    std::uint32_t held = 0;
    /// Why no further worker is drained now; empty when one is, or is not due.
    std::string waits_for;
    /// Workers / allowed parallelism × time for one worker, with all workers
    /// up; twice the time where a spare worker has to move in first. Empty
    /// when a budget never allows a drain in one of the pools.
    std::optional<base::duration> bound;
    /// At the measured time for one worker; empty when finished or without a
    /// bound.
    std::optional<base::wall_time> expected_end;
};

struct wave_plan
{
    /// In the order in which they have to be applied.
    std::vector<fleet_change> changes;
    std::vector<wave_progress> progress;
};

/// Decides which workers to drain next for the maintenance waves. It keeps no
/// state of its own: each planner reaches the same plan from the same document.
///
/// One rack is finished before the next is begun. The workers that are out
/// then share a failure domain, so that the worst further failure takes fewer
/// serving workers with it.
///
/// A pool without room for a drain is covered by one or two workers that move
/// in from a spare pool, or that belong to one and have no use in the pool that
/// they covered before. The pools thus share the spare capacity for
/// maintenance.
class wave_planner
{
public:
    /// Keeps a reference to `bundle`.
    explicit wave_planner(const config::bundle& bundle,
                          wave_settings settings = {});

    [[nodiscard]] wave_plan plan(const fleet_state& state,
                                 base::wall_time now) const;

private:
    const config::bundle& bundle_;
    wave_settings settings_;
};

} // namespace pimentograde::capacity

#endif
