#ifndef PIMENTOGRADE_JOBS_NEAR_PLACEMENT_HPP
#define PIMENTOGRADE_JOBS_NEAR_PLACEMENT_HPP

#include "base/time.hpp"
#include "jobs/locality_wait.hpp"
#include "jobs/rack_forecast.hpp"
#include "jobs/worker_view.hpp"
#include "metrics/registry.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace pimentograde::jobs
{

/// What one plan knows of the waits for rack-local places: forecasts of racks,
/// and workers whose next room is kept for waiting tasks. Counts how waits end.
class near_placement
{
public:
    using rule = std::function<locality_decision(const locality_case&)>;

    /// Without a rule, no task waits for a rack-local place.
    void set_rule(rule decide) { decide_ = std::move(decide); }
    [[nodiscard]] bool is_enabled() const { return decide_ != nullptr; }
    [[nodiscard]] locality_decision decide(const locality_case& input) const
    {
        return decide_(input);
    }
    /// Null if nobody counts.
    void set_counters(metrics::registry* counters) { counters_ = counters; }

    /// `waiting` is the demand of all waiting jobs, `jobs` their number.
    void begin_plan(std::span<worker_view* const> workers,
                    const resource_amount& waiting, std::size_t jobs);
    /// The key is a label or the name of a rack. Returns null if there is none.
    rack_forecast* find(const std::string& key);
    rack_forecast& add(const std::string& key, rack_forecast forecast);

    /// Keeps the place from tasks that rank behind and have another.
    void reserve(const expected_place& place);
    [[nodiscard]] bool has_reservations() const { return !spare_.empty(); }
    /// The workers on which the task takes no reserved place.
    [[nodiscard]] std::vector<worker_view*>
    unreserved(std::span<worker_view* const> workers,
               const resource_amount& need) const;
    void note_start(worker_view& worker, const resource_amount& need);

    /// Delay of the other waiting jobs, in total, if `need` is held for
    /// `seconds` longer; 0 while the pool has room for all.
    [[nodiscard]] double delay_of_others(const resource_amount& need,
                                         double seconds) const;

    void count_start(bool is_local) const;
    /// A task started elsewhere though a slow worker had room.
    void count_passed_slow() const;
    void count_wait(std::string_view outcome, double seconds) const;

private:
    rule decide_;
    metrics::registry* counters_ = nullptr;
    std::map<std::string, rack_forecast> racks_;
    /// Room beside the reserved places.
    std::map<worker_view*, resource_amount> spare_;
    bool is_full_ = false;
    std::size_t waiting_jobs_ = 0;
    double capacity_millis_ = 0.0;
};

} // namespace pimentograde::jobs

#endif
