#ifndef PIMENTOGRADE_JOBS_LOCALITY_WAIT_HPP
#define PIMENTOGRADE_JOBS_LOCALITY_WAIT_HPP

#include "base/time.hpp"

#include <optional>
#include <string_view>

namespace pimentograde::jobs
{

/// A task, or gang, that could start remotely now. A start is rack-local if it
/// is on the rack of the data, or for a gang on one rack, and remote otherwise.
struct locality_case
{
    /// Until the rack-local place is expected to be free, after the tasks that
    /// wait for the same rack and rank before it, seconds. Empty if it cannot
    /// be estimated.
    std::optional<double> place_seconds;
    /// Whether the runs that have to end before have reported progress.
    bool is_certain = false;
    /// Tasks that wait for the same rack and rank before it.
    int waiting_ahead = 0;
    /// Some worker of the rack could host it if it were idle.
    bool has_place_ever = true;
    /// Expected run time on a rack-local place, seconds.
    double run_seconds = 0.0;
    double remote_factor = 1.0;
    /// Sum of the delays of other jobs by the capacity that the remote run
    /// holds for longer, seconds; 0 while the pool has room for them.
    double delay_of_others = 0.0;
    /// Until the step must end for the job to meet its objective, seconds.
    double objective_seconds = 0.0;
    /// How long the step has waited already, seconds.
    double waited_seconds = 0.0;
    /// Another task of the job runs.
    bool is_job_running = false;
};

enum class locality_reason
{
    /// Wait.
    place_expected,
    /// Start remotely.
    no_place_ever,
    no_estimate,
    waited_enough,
    place_too_late,
    objective
};

std::string_view to_string(locality_reason reason);

struct locality_decision
{
    bool waits = false;
    locality_reason reason = locality_reason::no_estimate;
    /// Expected gain of the wait over a remote start now, seconds.
    double gain_seconds = 0.0;
};

/// Decides whether the task waits for a rack-local place. It does while it is
/// expected to end earlier than after a remote start now, within a total wait
/// of (`remote_factor` - 1) times its run time.
locality_decision decide_locality(const locality_case& input);

/// The current run of a task as far as its end can be estimated from it.
struct run_progress
{
    double elapsed_seconds = 0.0;
    /// Time from the start to the last change of `percent`.
    double progressed_seconds = 0.0;
    int percent = 0;
    /// Expected run time on that worker, seconds.
    double expected_seconds = 0.0;
};

struct run_rest
{
    double seconds = 0.0;
    /// It follows from the run's progress.
    bool is_certain = false;
};

/// Time until the run ends; empty if it is overdue or its progress has stopped.
std::optional<run_rest> rest_of_run(const run_progress& run);

} // namespace pimentograde::jobs

#endif
