#ifndef PIMENTOGRADE_JOBS_JOB_HPP
#define PIMENTOGRADE_JOBS_JOB_HPP

#include "jobs/crash_history.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/locality_wait.hpp"
#include "jobs/run_time_model.hpp"
#include "jobs/task_id.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::jobs
{

enum class job_status
{
    open,
    completed,
    failed,
    cancelled
};

/// State of a run as known to the pool's owner.
enum class run_state
{
    /// The start order is in flight.
    ordered,
    /// The start or stop order got no answer: it may still take effect.
    unsettled,
    running,
    /// A stop order is in flight.
    stopping,
    /// The worker has acknowledged the stop.
    stopped
};

/// A run that may exist on a worker.
struct active_run
{
    int number = 0;
    std::string worker;
    run_state state = run_state::ordered;
    /// Time of the last change of `state` or of the last repeated stop order.
    base::time_point since{};
    base::time_point ordered_at{};
    int percent = 0;
    /// Time of the last report with a changed `percent`.
    base::time_point progressed_at{};
    /// The start order got no answer and the worker has not listed the run
    /// since: the order may still take effect.
    bool is_unconfirmed = false;
    /// A later report of the worker lacked the run, or it is not known when the
    /// order was sent: if it is still to arrive, it does so late.
    bool is_overdue = false;
    /// Taken from the roster of an earlier owner, which may have seen its end
    /// since and started the task again.
    bool is_from_roster = false;
    /// Until then a stop order without an answer may be carried out.
    base::time_point stops_by{};
};

/// Progress of one task and its current run.
struct task
{
    int last_run = 0;
    /// Numbers of the runs that have failed.
    std::vector<int> failed_runs;
    /// Lapsed runs whose outcome their worker has not reported yet.
    int unresolved_runs = 0;
    bool is_done = false;
    /// Latest checkpoint that a worker reported; empty for none.
    std::string checkpoint;
    /// Workers that crashed under it.
    crash_history crashes;

    /// The fields below are not stored: a new owner of the pool learns the runs
    /// from the workers' reports.
    std::optional<active_run> active;
    /// Number of the run that has ended as done; 0 if an earlier owner noted
    /// it.
    int done_run = 0;
    base::time_point not_before{};
    /// Its last run was given up without the worker's word: the lease had
    /// lapsed, or the worker had ended or restarted.
    bool is_given_up = false;
    /// Taken for the cause of crashes, but lasting: it goes on alone.
    bool is_isolated = false;
    /// Since when workers are kept free for it, see `pool_state::hold_worker`.
    base::time_point holds_since{};
    /// Worker of the last failed run; the next run prefers another one.
    std::string failed_on;
    /// Worker that a start order without an answer may still reach, and until
    /// when. The next run starts there: a later incarnation of the worker,
    /// which knows of no stop, then has no second run beside it.
    std::string late_start_on;
    base::time_point late_start_until{};

    /// How it is to be started.
    [[nodiscard]] suspicion level() const
    {
        return is_isolated && !crashes.empty() ? suspicion::runs_alone
                                               : crashes.level();
    }
};

/// A step's wait for rack-local places; not stored.
struct step_wait
{
    /// Start of the step's only wait.
    std::optional<base::time_point> since;
    /// A task of the step waits, as of the last plan.
    bool is_waiting = false;
    bool is_over = false;
    /// Expected length of the wait when it began.
    double expected_seconds = 0.0;
    /// Of the last decision.
    locality_reason reason = locality_reason::no_estimate;
};

struct step
{
    std::vector<task> tasks;
    int done = 0;
    int active = 0;
    /// Since when it waits for room on one rack; not stored.
    std::optional<base::time_point> awaits_rack_since;
    step_wait near_wait;

    [[nodiscard]] bool is_done() const
    {
        return done == static_cast<int>(tasks.size());
    }
    /// Number of tasks that are neither done nor started.
    [[nodiscard]] int waiting() const
    {
        return static_cast<int>(tasks.size()) - done - active;
    }
};

/// Totals of the expected run times of a job's tasks.
struct job_estimates
{
    /// Length of the critical path through the steps, seconds.
    double critical_path = 0.0;
    /// Length of the critical path without the completed steps, seconds.
    double critical_path_left = 0.0;
    /// Work of all tasks, core-seconds.
    double work = 0.0;
    /// Work of the tasks that are not done, core-seconds.
    double work_left = 0.0;
};

/// An accepted job and its progress.
struct job
{
    std::string id;
    std::string queue;
    /// Tenant that submitted the job; empty if the queue asks for none.
    std::string tenant;
    /// It exceeded its tenant's share when it was submitted. Not stored: a
    /// restored job counts as within the share.
    bool is_excess = false;
    /// The queue's policy at the submission, for owners that start when the
    /// queue is no longer configured; without a name if it is not known.
    queue_policy policy;
    job_spec spec;
    job_status status = job_status::open;
    base::wall_time accepted_wall{};
    base::time_point accepted_at{};
    base::wall_time ended_wall{};
    /// Since when this owner keeps the record of the ended job.
    std::optional<base::time_point> kept_since;
    /// One entry for each step of each occurrence, occurrences first.
    std::vector<step> steps;
    job_estimates estimates;
    bool has_started = false;
    /// Restored from an earlier owner's record: runs that are not known yet may
    /// exist.
    bool is_inherited = false;

    /// Workers that have listed ends of its runs that are not known to be
    /// stored.
    std::set<std::string, std::less<>> ended_on;

    /// The store has acknowledged a record of the job.
    bool is_stored = false;
    /// Status in the last record that was sent to the store, and in the last
    /// one that the store acknowledged. Callers get the latter.
    job_status written_status = job_status::open;
    job_status stored_status = job_status::open;
    /// Number of changes of the tasks' crash histories: all, in the last record
    /// that was sent to the store, and in the last one that it acknowledged.
    int crash_changes = 0;
    int written_crash_changes = 0;
    int stored_crash_changes = 0;
    /// A write without an answer may have stored the record.
    bool may_be_stored = false;
    /// Numbers of the first change that is not yet written, and of the first
    /// one in the write under way; 0: none.
    std::uint64_t unwritten_since = 0;
    std::uint64_t written_since = 0;
    std::int64_t stored_revision = 0;

    /// Creates the empty progress of all steps.
    void prepare_steps();
    /// Recomputes `estimates` from the current run time model and the remaining
    /// tasks.
    void refresh_estimates(const run_time_model& run_times);
    [[nodiscard]] std::size_t step_count() const { return spec.steps.size(); }
    [[nodiscard]] const step_spec& spec_of(std::size_t position) const;
    /// Returns null when the job has no such step.
    [[nodiscard]] const step_spec* find_spec(const task_id& name) const;
    [[nodiscard]] int occurrence_of(std::size_t position) const;
    /// Returns null when the job has no such task.
    task* find(const task_id& name);
    [[nodiscard]] const task* find(const task_id& name) const;
    [[nodiscard]] std::size_t position_of(const task_id& name) const;
    [[nodiscard]] task_id id_of(std::size_t position, int index) const;
    /// Whether all steps that it depends on are done and the occurrence is due.
    [[nodiscard]] bool is_step_ready(std::size_t position,
                                     base::wall_time now) const;
    [[nodiscard]] bool all_done() const;
    /// Whether a caller of the tenant may see and cancel the job. A caller
    /// without a tenant (of a public queue or an earlier version) may, and so
    /// may all callers if the job's record names no tenant.
    [[nodiscard]] bool is_accessible_to(std::string_view caller_tenant) const;
};

} // namespace pimentograde::jobs

#endif
