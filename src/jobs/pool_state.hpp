#ifndef PIMENTOGRADE_JOBS_POOL_STATE_HPP
#define PIMENTOGRADE_JOBS_POOL_STATE_HPP

#include "base/time.hpp"
#include "jobs/admission.hpp"
#include "jobs/arrival_rate.hpp"
#include "jobs/job.hpp"
#include "jobs/job_preview.hpp"
#include "jobs/lasting_places.hpp"
#include "jobs/near_placement.hpp"
#include "jobs/ordering.hpp"
#include "jobs/quota_share.hpp"
#include "jobs/roster.hpp"
#include "jobs/tenant.hpp"
#include "jobs/tenant_shares.hpp"
#include "jobs/tenant_usage.hpp"
#include "jobs/weighted_use.hpp"
#include "jobs/worker_report.hpp"
#include "jobs/worker_view.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentograde::jobs
{

/// Outcome of submitting a job.
struct submit_result
{
    enum class kind
    {
        accepted,
        /// The job was accepted before; its record may not be stored yet.
        known,
        refused
    };
    kind outcome = kind::accepted;
    admission_decision admission;
    /// The job exceeds its tenant's share.
    bool is_excess = false;
};

/// Status of a job as reported to callers.
enum class reported_status
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

reported_status to_reported(job_status status, bool has_started);

/// Whether another instance can own the pool already.
enum class ownership
{
    /// The instance's lease holds.
    exclusive,
    /// The lease may have run out: the next owner may know more of the runs.
    contested
};

/// Why a worker's runs are lost.
enum class run_loss
{
    /// Its lease expired; it may still report how its runs ended.
    lapsed,
    /// This incarnation of the worker has ended and will not report its runs.
    ended,
    /// The worker has restarted under the same id: the runs of the earlier
    /// incarnation are gone, but the new one may receive orders that are still
    /// in flight.
    restarted
};

std::string_view to_string(run_loss loss);

/// A scheduling decision to be logged.
struct decision
{
    std::string_view what;
    std::string job;
    std::string task;
    int run = 0;
    std::string worker;
    std::string detail;
};

/// A record to write, and the stored revision that the write expects.
struct record_change
{
    std::string job;
    std::string value;
    std::int64_t expected_revision = 0;
};

/// All jobs, workers and runs of one pool. Ensures that a task has at most one
/// run at a time, that steps start after those they depend on, that attempts
/// stay within the queue's limit, and that tasks which an earlier owner may
/// have started wait until its workers have reported.
class pool_state
{
public:
    using decision_hook = std::function<void(const decision&)>;

    explicit pool_state(std::string pool);
    void on_decision(decision_hook hook);

    /// Adds or replaces the policy of one queue. The policy of a queue that is
    /// no longer configured stays in effect for its jobs.
    void set_policy(const queue_policy& policy);
    /// Adds the policy of a queue that has none yet.
    void add_policy(const queue_policy& policy);

    /// Replaces the tenants of the configuration.
    void set_tenants(std::span<const tenant_policy> tenants);
    /// Whether tenants below their weighted part of the used cores go first.
    void set_weighted_order(bool is_on) { has_weighted_order_ = is_on; }
    /// The pool's grants of the tenants' caps.
    [[nodiscard]] quota_share& quota() { return quota_; }
    [[nodiscard]] const quota_share& quota() const { return quota_; }
    /// What the tenants may have running in the pool; not counted unless a
    /// tenant has a cap.
    [[nodiscard]] const tenant_usage& usage() const { return usage_; }

    /// How many times as long a gang runs on more than one rack, or a task away
    /// from the rack of its data.
    void set_remote_factor(double factor) { remote_factor_ = factor; }

    /// Switches on that tasks wait for rack-local places while that pays, by
    /// `decide_locality` in production.
    void set_near_wait(near_placement::rule decide)
    {
        near_.set_rule(std::move(decide));
    }
    /// Whether tasks avoid workers whose runs take longer than expected.
    void set_worker_speed(bool is_used) { uses_speed_ = is_used; }
    /// Where decisions on placement are counted; nowhere if null.
    void set_counters(metrics::registry* counters)
    {
        near_.set_counters(counters);
    }

    /// The longest time for which a worker lists a run that it was told to
    /// stop.
    void set_stop_time(base::duration longest) { stop_time_ = longest; }

    /// What was learned from the queues' jobs.
    [[nodiscard]] const statistics_table& statistics() const
    {
        return statistics_;
    }
    /// Takes over what earlier owners have learned; before jobs are restored.
    void restore_statistics(statistics_table table)
    {
        statistics_ = std::move(table);
    }

    /// `tenant` is empty for a queue that asks for none.
    submit_result submit(std::string_view id, job_spec spec,
                         std::string_view queue, base::time_point now,
                         base::wall_time wall, std::string_view tenant = {});
    /// What would happen to the job if it were submitted now; changes nothing.
    [[nodiscard]] job_preview preview(const job_spec& spec,
                                      std::string_view queue,
                                      std::string_view tenant,
                                      base::time_point now,
                                      base::wall_time wall) const;
    /// Adds a job that an earlier owner of the pool stored.
    void restore(job subject, base::time_point now, base::wall_time wall);
    /// Sets the jobs whose records this owner cannot read. Their runs go on,
    /// and their ends stay listed, for an owner that can.
    void set_unreadable(std::set<std::string, std::less<>> jobs)
    {
        unreadable_ = std::move(jobs);
    }
    [[nodiscard]] bool is_unreadable(std::string_view id) const
    {
        return unreadable_.contains(id);
    }
    /// Returns whether the job is known. Does not change an ended job.
    bool cancel(std::string_view id, base::wall_time wall);
    /// Callers are told that there is no such job: a submission that was sent
    /// before, and arrives late, must not be accepted.
    void deny(std::string_view id, base::time_point now);
    [[nodiscard]] bool is_denied(std::string_view id,
                                 base::time_point now) const;
    /// Removes an open job of whose record no write has been sent, so that the
    /// store cannot hold it. Returns false, and removes nothing, for any other
    /// job.
    bool withdraw(std::string_view id);
    [[nodiscard]] std::optional<reported_status>
    status_of(std::string_view id) const;
    [[nodiscard]] const job* find_job(std::string_view id) const;
    /// Whether the task runs and its worker reports 100 percent, which a
    /// long-running task does while it serves.
    [[nodiscard]] bool is_serving(const task_id& name) const;
    /// Whether the job has changed since its record was last taken for storing.
    [[nodiscard]] bool is_dirty(const job& subject) const
    {
        return dirty_.contains(&subject);
    }
    /// Whether a write of the record is under way.
    [[nodiscard]] static bool is_being_written(const job& subject)
    {
        return subject.written_since != 0;
    }
    /// Tasks that last and are taken for the cause of crashes.
    [[nodiscard]] std::vector<task_id> isolated_tasks() const;
    /// Number of stored open jobs of the queue with no started task.
    [[nodiscard]] int pending(std::string_view queue) const;

    void update_worker(const worker_description& description);
    /// Marks a worker that the store no longer lists; its runs may continue.
    void unlist_worker(std::string_view id, base::time_point now);
    /// Removes the worker's runs, which can no longer exist. Unless the
    /// worker's end was planned, its tasks are noted as possible causes of its
    /// crash; the job of a task that is found to be the cause of repeated
    /// crashes fails. `loss` is not `restarted`: only the report of the new
    /// incarnation tells which runs are gone.
    void lose_runs(std::string_view id, run_loss loss, base::time_point now,
                   base::wall_time wall);
    /// The worker is said to have ended with its machine. Only an owner that
    /// has heard it, and knows of no run or unstored end there, can tell:
    /// otherwise it has been used since, or an earlier owner may have used it.
    /// Returns whether it counts as ended; its late starts are gone then.
    bool end_worker(std::string_view id, base::time_point now,
                    base::wall_time wall);
    /// The lease of a silent worker has ended unless an extension has arrived
    /// late: its long-running tasks may not be away until that is certain.
    void lose_long_running_runs(std::string_view id, base::time_point now,
                                base::wall_time wall);
    /// Whether the worker is no longer listed and nothing depends on asking it:
    /// it has no run, the ends that it has listed are stored, and no start
    /// order without an answer may still arrive.
    [[nodiscard]] bool can_forget(std::string_view id,
                                  base::time_point now) const;
    void forget_worker(std::string_view id);
    /// Places no new runs on the worker until `until` and stops its
    /// long-running tasks, as far as the availability of their steps allows, so
    /// that they start on other workers; does nothing while the others have no
    /// places for all of them. Returns whether the worker has no runs left, and
    /// no end that it alone knows.
    bool prepare_leave(std::string_view id, base::time_point until,
                       base::time_point now);
    /// Replaces the workers whose instances are to be maintained soon.
    void set_leaving_soon(std::span<const std::string> ids);
    void set_reachable(std::string_view id, bool is_reachable);
    /// `sent_at` is the time at which the report was requested. The first
    /// report of a new incarnation of the worker removes the runs that ended
    /// with the earlier one; runs whose start order is under way or was
    /// acknowledged later than `sent_at` stay, and those without an answer are
    /// stopped.
    void apply_report(std::string_view id, const worker_report& report,
                      base::time_point sent_at, base::time_point now,
                      base::wall_time wall,
                      ownership held = ownership::exclusive);
    /// Whether the run is still to be started: it has not been given up or
    /// stopped since it was planned.
    [[nodiscard]] bool awaits_start(const start_order& order) const;
    void apply_start_answer(const start_order& order, start_answer answer,
                            base::time_point now);
    void apply_stop_answer(const stop_order& order, bool is_acknowledged,
                           base::time_point now);
    [[nodiscard]] const std::map<std::string, worker_view, std::less<>>&
    workers() const
    {
        return workers_;
    }

    /// Adds a worker that an earlier owner may have used, after the jobs have
    /// been restored. Without `deadline` passed or a report, its runs are those
    /// of the entry; if the entry does not say them, all inherited jobs wait.
    void inherit_worker(const roster_entry& entry, base::time_point deadline,
                        base::time_point now);
    /// Returns the roster to store: workers that are listed, may still have
    /// runs, or may still receive a start order without an answer. Starts
    /// nothing on silent workers until they are recorded again.
    [[nodiscard]] std::vector<roster_entry> roster(base::time_point now);
    /// The roster at the end of the ownership; nothing is started afterwards.
    /// It says the workers' runs only if all records are stored.
    [[nodiscard]] std::vector<roster_entry> final_roster(base::time_point now);
    /// New start orders without an answer count at most twice a second.
    [[nodiscard]] bool is_roster_outdated(base::time_point now) const;
    /// The roster has been stored.
    void note_recorded(std::span<const roster_entry> roster);
    /// Nothing runs on the worker after `at` unless its lease is extended.
    void set_lease_end(std::string_view id, base::time_point at);
    /// The last end that may be acknowledged once it is stored; `before` if
    /// there is none. Ends of jobs whose records cannot be read must stay.
    [[nodiscard]] std::int64_t storable_end(const worker_report& report,
                                            std::int64_t before) const;
    /// Until when the worker's ends must not be acknowledged.
    [[nodiscard]] base::time_point
    withholds_ends_until(std::string_view id) const;
    /// A poll that acknowledges ends is sent.
    void begin_acknowledgement(std::string_view id, base::time_point now);
    /// The poll has ended; it may still take effect if `may_arrive`.
    void end_acknowledgement(std::string_view id, bool may_arrive);
    /// Whether such a poll to its previous incarnation may still reach the
    /// worker, so that an end there could be lost.
    [[nodiscard]] bool may_forget_ends(std::string_view id,
                                       base::time_point now) const;
    /// A worker has answered a call, but not an earlier one.
    void note_left_unanswered(base::time_point now)
    {
        left_unanswered_at_ = now;
    }
    /// Whether workers of the pool have lately left calls unanswered.
    [[nodiscard]] bool leaves_unanswered(base::time_point now) const;
    /// Chooses which tasks start now, and on which workers. While the ownership
    /// is contested, no task starts again whose run is only taken for gone.
    std::vector<start_order> plan(base::time_point now, base::wall_time wall,
                                  ownership held = ownership::exclusive);
    std::vector<stop_order> take_stops();

    /// Number of the latest change that has to be stored.
    [[nodiscard]] std::uint64_t change_number() const { return changes_; }
    /// All changes up to this number are stored.
    [[nodiscard]] std::uint64_t stored_change() const;
    /// Whether `take_changes` would return a record.
    [[nodiscard]] bool has_unwritten() const;
    /// Takes at most `limit` records that have to be written. A record is not
    /// taken again until the outcome of its write is noted.
    std::vector<record_change> take_changes(std::size_t limit);
    void note_stored(std::string_view id, std::int64_t revision);
    /// The store has `revision`, for example from a write without an answer.
    /// The record is written again on top of it.
    void note_store_revision(std::string_view id, std::int64_t revision);
    /// The write failed; `may_be_stored` when it may still take effect.
    void note_not_stored(std::string_view id, bool may_be_stored);
    /// Ids of the ended jobs that are stored and have been kept for
    /// `retention`, to be removed. To be called from time to time; the time
    /// counts from the first call after the end or the takeover, since the time
    /// of day may jump and differs between instances.
    [[nodiscard]] std::vector<std::string>
    expired_jobs(base::time_point now, base::duration retention);
    void remove_job(std::string_view id);

    [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
    /// Remaining work of the open jobs that are not long-running, core-seconds.
    [[nodiscard]] double backlog() const;
    /// The part of `backlog` that excess jobs hold.
    [[nodiscard]] double excess_backlog() const;
    /// Work of the tasks that are ready but wait for resources, of jobs that
    /// can still meet their objectives, core-seconds.
    [[nodiscard]] double waiting_work(base::time_point now,
                                      base::wall_time wall) const;
    /// Rate of submitted work as the number of cores needed to keep up.
    /// Repeated submissions of a refused job count once.
    [[nodiscard]] double arriving_cores(base::time_point now) const
    {
        return arrivals_.rate_at(now);
    }
    /// Cores of the workers that accept starts, without those that long-running
    /// tasks use.
    [[nodiscard]] double usable_cores(base::time_point now) const;
    /// The usable cores that are used by other than long-running tasks.
    [[nodiscard]] double active_cores(base::time_point now) const;

private:
    struct plan_basis;
    struct waiting_job;

    job* find(std::string_view id);
    base::time_point first_submitted_at(std::string_view id,
                                        base::time_point now);
    void note_usable_cores(base::time_point now);
    [[nodiscard]] double known_peak_cores(base::time_point now) const;
    [[nodiscard]] admission_inputs inputs_for(const job& subject,
                                              base::time_point now,
                                              base::wall_time wall) const;
    /// Whether the new job's first tasks could start now, after the tasks that
    /// wait already.
    [[nodiscard]] bool has_room_for(const job& subject, base::time_point now,
                                    base::wall_time wall) const;
    [[nodiscard]] weighted_use tenant_use() const;
    [[nodiscard]] double expected_cores() const;
    worker_view* find_worker(std::string_view id);
    [[nodiscard]] const queue_policy& policy_of(const job& subject) const;
    queue_statistics& statistics_of(const job& subject);
    [[nodiscard]] const queue_statistics&
    known_statistics(const job& subject) const;
    void erase_job(std::string_view id);
    void mark_dirty(job& subject);
    /// The write of the record has to be repeated.
    void mark_unwritten(job& subject);
    void end_write(job& subject);
    void end_job(job& subject, job_status status, base::wall_time wall);
    void release_if_idle(job& subject);
    void begin_run(job& subject, std::size_t position, int index, int run,
                   worker_view& worker, run_state state, base::time_point now);
    void clear_run(job& subject, const task_id& id, task& entry);
    [[nodiscard]] std::optional<tenant_place>
    place_of(const task_id& task,
             base::time_point until = base::time_point::max()) const;
    void count_run(const worker_view& worker, const task_id& task);
    void count_late_starts(const worker_view& worker);
    void count_other_runs(const worker_view& worker);
    void recount_tenants();
    void hide_runs(const worker_view& worker, const resource_amount& capacity,
                   base::time_point deadline, base::time_point now);
    void begin_quota_plan(std::span<worker_view* const> workers,
                          base::time_point now, base::wall_time wall);
    /// Whether the grant of the job's tenant does not allow that so many tasks
    /// of the step start; they count as waiting then.
    bool is_held_back(const job& subject, std::size_t position, int count);
    void inherit_run(worker_view& worker, const roster_run& inherited,
                     base::time_point now);
    void inherit_late_start(worker_view& worker,
                            const roster_late_start& inherited,
                            base::time_point now);
    [[nodiscard]] static std::vector<roster_late_start>
    late_starts_for_roster(const worker_view& worker, base::time_point now);
    [[nodiscard]] std::vector<roster_run>
    runs_for_roster(const worker_view& worker, base::time_point now);
    [[nodiscard]] bool has_unstored_ends(const worker_view& worker) const;
    /// It has listed what no record holds.
    [[nodiscard]] bool knows_more_than_store(const worker_view& worker) const
    {
        return worker.lists_unreadable || has_unstored_ends(worker);
    }
    void forget_ends(const worker_view& worker);
    [[nodiscard]] roster_mark wanted_mark(const worker_view& worker,
                                          base::time_point now) const;
    void request_stop(const task_id& id, int run, std::string_view worker,
                      std::string_view reason);
    void stop_run(const task_id& id, task& entry, std::string_view reason,
                  base::time_point now);
    void apply_listed_run(worker_view& worker, const listed_run& row,
                          base::time_point now);
    void apply_end(worker_view& worker, const listed_end& row,
                   base::time_point now, base::wall_time wall);
    void apply_done(job& subject, const worker_view& worker,
                    const listed_end& row, task& entry, base::time_point now,
                    base::wall_time wall);
    void apply_failure(job& subject, const listed_end& row, task& entry,
                       base::time_point now, base::wall_time wall);
    void reconcile_unlisted_runs(worker_view& worker,
                                 const worker_report& report,
                                 base::time_point sent_at,
                                 base::time_point now);
    void log_unexpected_run(const worker_view& worker, const listed_run& row,
                            const task* entry) const;
    void note_other_runs(worker_view& worker, const worker_report& report);
    [[nodiscard]] bool lists_unreadable(const worker_report& report) const;
    void note_progress(worker_view& worker, const listed_run& row,
                       const task_id& id, task& entry, const step_spec& part,
                       base::time_point now);
    [[nodiscard]] bool are_inherited_runs_known(base::time_point now) const;
    [[nodiscard]] bool are_all_runs_certain() const;
    /// Whether the task would start since a run of it is taken for gone,
    /// without the worker's word.
    [[nodiscard]] static bool rests_on_inference(const job& subject,
                                                 const task& entry,
                                                 const plan_basis& basis);
    [[nodiscard]] static bool may_start(const job& subject, const task& entry,
                                        const plan_basis& basis);
    /// `free` is, for each resource, the largest free amount on any worker.
    std::vector<waiting_job> waiting_jobs(const resource_amount& free,
                                          base::time_point now,
                                          base::wall_time wall);
    /// Resources of all waiting tasks.
    [[nodiscard]] static resource_amount
    demand_of(std::span<const waiting_job> waiting);
    void plan_step(job& subject, std::size_t position,
                   std::span<worker_view* const> workers,
                   const plan_basis& basis, std::vector<start_order>& orders);
    void plan_gang(job& subject, std::size_t position,
                   std::span<worker_view* const> workers,
                   const plan_basis& basis, std::vector<start_order>& orders);
    [[nodiscard]] std::vector<std::string>
    racks_for(job& subject, std::size_t position,
              std::span<worker_view* const> workers, base::time_point now);
    bool start_gang(job& subject, std::size_t position, const std::string& rack,
                    std::span<worker_view* const> workers,
                    const plan_basis& basis, std::vector<start_order>& orders);
    void log_starts(std::span<const start_order> orders) const;
    [[nodiscard]] bool runs_remotely(const job& subject, std::size_t position,
                                     const worker_view& worker) const;
    std::vector<room_release> expected_releases(const worker_view& worker,
                                                base::time_point now);
    enum class forecast_scope
    {
        /// Workers with the label.
        label,
        /// Workers of the rack.
        rack,
        all
    };
    rack_forecast& forecast_of(forecast_scope scope, const std::string& name,
                               std::span<worker_view* const> workers,
                               base::time_point now);
    /// Like `choose_worker_for`; takes no place that a task ahead waits for if
    /// there is another.
    worker_view* choose_beside_waits(job& subject, std::size_t position,
                                     int index, const std::string& rack,
                                     std::span<worker_view* const> workers,
                                     base::time_point now);
    locality_case locality_case_of(const job& subject, std::size_t position,
                                   base::time_point now);
    [[nodiscard]] bool plans_waits() const
    {
        return uses_speed_ || near_.is_enabled();
    }
    [[nodiscard]] static bool may_wait(const job& subject,
                                       std::size_t position);
    /// Whether the worker suits the task but for room.
    [[nodiscard]] bool is_worth_waiting_for(const worker_view& worker,
                                            const job& subject,
                                            std::size_t position,
                                            const task& entry) const;
    void note_speed(job& subject, std::size_t position, worker_view& worker,
                    base::duration length, base::time_point now);
    void refresh_speeds(std::span<worker_view* const> workers,
                        base::time_point now);
    bool waits_for_faster(job& subject, std::size_t position, int index,
                          const worker_view& worker,
                          std::span<worker_view* const> workers,
                          base::time_point now);
    bool waits_near(job& subject, std::size_t position, int index,
                    const worker_view& worker,
                    std::span<worker_view* const> workers,
                    base::time_point now);
    bool gang_waits_near(job& subject, std::size_t position,
                         std::span<worker_view* const> workers,
                         base::time_point now);
    void note_near_decision(job& subject, std::size_t position,
                            const locality_decision& chosen,
                            double place_seconds, base::time_point now);
    void note_near_starts(job& subject, std::size_t position,
                          std::span<const start_order> starts,
                          base::time_point now);
    int same_step_count(const worker_view& worker, const job& subject,
                        std::size_t position) const;
    void resolve_runs(worker_view& worker);
    void apply_restart(worker_view& worker, const worker_report& report,
                       base::time_point sent_at, base::time_point now,
                       base::wall_time wall);
    [[nodiscard]] std::set<task_id>
    runs_after_restart(const worker_view& worker, const worker_report& report,
                       base::time_point sent_at) const;
    void lose_run(job& subject, const task_id& name, task& entry, run_loss loss,
                  base::time_point now);
    void check_causes(const std::map<task_id, int>& runs, base::time_point now,
                      base::wall_time wall);
    void settle_late_starts(worker_view& worker, base::time_point now);
    void note_orders_under_way(worker_view& worker, base::time_point now);
    void note_late_start(worker_view& worker, const task_id& name, int run,
                         task& entry, base::time_point now);
    void release_late_starts(worker_view& worker);
    void note_arrived(worker_view& worker, const task_id& name, int run,
                      task& entry);
    /// Whether the task may start only where an earlier start may still arrive.
    [[nodiscard]] bool is_bound_to_late_start(const task& entry,
                                              const step_spec& part,
                                              base::time_point now) const;
    /// `kept` are the tasks whose runs are known to have begun later.
    void note_crash(worker_view& worker, run_loss loss,
                    const std::set<task_id>& kept, base::time_point now);
    /// Marks the crashes under tasks that share their time with losses of
    /// several other workers.
    void note_loss(const worker_view& worker, std::span<const task_id> suspects,
                   base::time_point now);
    [[nodiscard]] bool is_lost_in_burst(const task_id& name) const;
    void note_suspect(worker_view& worker, const task_id& name, run_loss loss,
                      bool at_start, bool is_only_suspect);
    void confirm_crashes(worker_view& worker, base::time_point now,
                         base::wall_time wall);
    void check_inherited_suspects(base::time_point now, base::wall_time wall);
    void handle_cause(job& subject, const task_id& id, task& entry,
                      base::time_point now, base::wall_time wall);
    [[nodiscard]] double crash_chance_at_start(base::time_point now);
    void note_alive(worker_view& worker, base::time_point at);
    void note_crash_change(job& subject);
    std::uint64_t record_start(job& subject, task& entry);
    [[nodiscard]] bool is_same_unit(const task_id& left,
                                    const task_id& right) const;
    worker_view* choose_worker_for(job& subject, std::size_t position,
                                   int index, const std::string& rack,
                                   std::span<worker_view* const> workers,
                                   base::time_point now);
    /// Room on the worker once the tasks there that end have ended. `is_own`
    /// names tasks that wait for the same start, and so do not end before it.
    [[nodiscard]] resource_amount room_beside_lasting(
        const worker_view& worker,
        const std::function<bool(const task_id&)>& is_own) const;
    [[nodiscard]] bool can_host_later(const worker_view& worker,
                                      const placement_request& request) const;
    void release_held_workers(std::span<worker_view* const> workers,
                              base::time_point now);
    [[nodiscard]] bool is_crashing(base::time_point now) const;
    void hold_worker(task& suspect, const placement_request& request,
                     std::span<worker_view* const> workers,
                     base::time_point now);
    void evacuate(worker_view& worker, base::time_point now);
    void hold_unknown_worker(std::string_view id, base::time_point until);
    /// Whether the long-running tasks that run on the worker, or wait for a
    /// place, have places without it.
    [[nodiscard]] bool can_leave(const worker_view& leaving,
                                 base::time_point now) const;
    /// Gives places to the long-running tasks that are stopped, are being
    /// stopped or have not started.
    [[nodiscard]] lasting_places
    places_on(const std::function<bool(const worker_view&)>& is_usable) const;
    bool take_place(lasting_places& places, const job& subject,
                    std::size_t position) const;
    [[nodiscard]] bool may_be_stopping(const worker_view& worker) const;
    [[nodiscard]] bool may_interrupt(const job& subject, const task_id& id,
                                     base::time_point now) const;
    void log_decision(const decision& entry) const;

    std::string pool_;
    /// Orders jobs by id, since pointers differ between executions.
    struct by_id
    {
        using is_transparent = void;
        bool operator()(const job* left, const job* right) const
        {
            return left->id < right->id;
        }
    };
    std::map<std::string, job, std::less<>> jobs_;
    /// Jobs that have not ended.
    std::set<job*, by_id> open_;
    /// Jobs whose record has to be stored.
    std::set<job*, by_id> dirty_;
    /// Jobs with a write of their record under way.
    std::set<job*, by_id> writing_;
    std::map<std::string, worker_view, std::less<>> workers_;
    std::set<std::string, std::less<>> unreadable_;
    /// Until when workers that are not known get no runs once they are, since
    /// they were released.
    std::map<std::string, base::time_point, std::less<>> held_unknown_;
    std::map<std::string, queue_policy, std::less<>> policies_;
    tenant_table tenants_;
    tenant_shares shares_;
    bool has_weighted_order_ = is_weighted_order_on;
    tenant_usage usage_;
    quota_share quota_;
    statistics_table statistics_;
    /// Time of the first submission of each refused job. Its objective counts
    /// from there when the caller submits the job again.
    std::map<std::string, base::time_point, std::less<>> first_refused_at_;
    base::time_point next_refusal_removal_{};
    /// Jobs that callers were told do not exist, with the time.
    std::map<std::string, base::time_point, std::less<>> denied_at_;
    base::time_point next_denial_removal_{};
    std::vector<stop_order> stops_;
    arrival_rate arrivals_;
    /// Times of crashes that no task has caused by its start.
    std::deque<base::time_point> unexplained_crashes_;
    /// A worker that was lost, and the runs that may have caused it.
    struct worker_loss
    {
        base::time_point at;
        std::string worker;
        std::map<task_id, int> suspects;
    };
    std::deque<worker_loss> recent_losses_;
    /// Tasks with crashes in the records of an earlier owner.
    std::vector<task_id> inherited_suspects_;
    /// Time of the first plan.
    std::optional<base::time_point> planned_since_;
    /// Time of the last crash that a start may have caused.
    std::optional<base::time_point> crash_at_start_at_;
    /// A task waited for a worker to start apart or run alone, in the last
    /// plan.
    bool has_waiting_suspect_ = false;
    /// Time of the last call that a worker left unanswered while it answered
    /// others.
    std::optional<base::time_point> left_unanswered_at_;
    double remote_factor_ = 1.0;
    near_placement near_;
    bool uses_speed_ = false;
    /// A slow worker had room for the task that was placed last.
    bool passes_slow_worker_ = false;
    /// See `usual_log_ratio`.
    double usual_log_ratio_ = 0.0;
    base::time_point next_speed_refresh_{};
    base::duration stop_time_{};
    std::size_t recorded_workers_ = 0;
    /// A worker was forgotten without its word, since no run could exist there
    /// any more.
    bool has_given_up_worker_ = false;
    /// Time of the last `roster`.
    base::time_point roster_taken_at_{};
    double peak_cores_ = 0.0;
    base::time_point peak_at_{};
    std::uint64_t changes_ = 0;
    decision_hook decision_hook_;
};

} // namespace pimentograde::jobs

#endif
