#ifndef PIMENTOGRADE_CAPACITY_FLEET_OBSERVER_HPP
#define PIMENTOGRADE_CAPACITY_FLEET_OBSERVER_HPP

#include "capacity/fleet_change.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace pimentograde::capacity
{

/// What one round of questions told about one worker.
struct worker_sighting
{
    base::worker_id worker;
    /// Whether the worker answered. The next fields count only then.
    bool reported = false;
    /// The answer is too old to decide from, because the planner was paused
    /// since. It counts neither as a report nor as a missing one.
    bool outdated = false;
    /// The worker refuses new work.
    bool refuses_work = false;
    std::uint32_t slots_used = 0;
    std::uint64_t incarnation = 0;
    /// The platform's list names it as leaving.
    bool listed_leaving = false;
};

struct observer_settings
{
    /// A worker without a report for this long is down.
    base::duration down_after = std::chrono::seconds{2};
    /// ... and has missed at least this many rounds. After a pause of the
    /// planner one lost answer is no proof.
    int missed_rounds = 3;
    /// Good reports in a row that end probation.
    int good_reports = 3;
    /// A reboot that takes longer counts as a failure.
    base::duration reboot_limit = std::chrono::minutes{10};
    /// The platform's list lags by at most this much: a worker that refuses
    /// work without being listed as leaving for this long was drained by a
    /// planner that acted late, and is brought back.
    base::duration list_lag = std::chrono::seconds{10};
    /// Gap between rounds after which earlier sightings no longer count: the
    /// planner itself was paused.
    base::duration longest_gap = std::chrono::seconds{10};
};

/// Turns reports of workers into changes of the fleet state. Its memory covers
/// only what this planner has seen itself, so a new planner, or one that was
/// paused, starts the waiting times again.
class fleet_observer
{
public:
    explicit fleet_observer(observer_settings settings = {});

    /// Changes that follow from this round. When no worker at all reports, the
    /// fault is taken to be on the observer's side and nothing follows.
    std::vector<fleet_change> observe(const fleet_state& state,
                                      std::span<const worker_sighting> round,
                                      base::wall_time now);

private:
    struct memory
    {
        base::wall_time last_report{};
        int good_reports = 0;
        int missed = 0;
        std::uint64_t incarnation = 0;
        std::optional<base::wall_time> live_since;
    };

    std::optional<fleet_change> judge_silent(const worker_status& status,
                                             memory& of,
                                             base::wall_time now) const;
    std::optional<fleet_change> judge(const worker_status& status,
                                      const worker_sighting& seen, memory& of,
                                      base::wall_time now) const;
    std::optional<fleet_change> judge_draining(const worker_status& status,
                                               const worker_sighting& seen,
                                               memory& of,
                                               base::wall_time now) const;

    observer_settings settings_;
    std::map<base::worker_id, memory> workers_;
    base::wall_time last_round_{};
};

} // namespace pimentograde::capacity

#endif
