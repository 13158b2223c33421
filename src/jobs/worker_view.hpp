#ifndef PIMENTOGRADE_JOBS_WORKER_VIEW_HPP
#define PIMENTOGRADE_JOBS_WORKER_VIEW_HPP

#include "base/time.hpp"
#include "jobs/crash_history.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/run_knowledge.hpp"
#include "jobs/task_id.hpp"
#include "jobs/worker_speed.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentograde::jobs
{

/// Description of a worker as published by the platform.
struct worker_description
{
    std::string id;
    /// `address:port`.
    std::string address;
    std::string pool;
    std::string zone;
    std::vector<std::string> labels;
    resource_amount capacity;
    bool is_draining = false;
    /// Start of this incarnation of the worker, Unix milliseconds; 0 when
    /// unknown.
    std::int64_t born_ms = 0;
    /// Minimum time left while the worker drains.
    base::duration remaining{};

    bool operator==(const worker_description&) const = default;
};

/// Detects workers on which runs fail or stall and quarantines them. Covers
/// workers that look healthy but are not.
class worker_health
{
public:
    void note_done();
    /// Consecutive failures of one job count once, since the job itself may be
    /// at fault.
    void note_failure(const std::string& job, base::time_point now);
    void note_stall(base::time_point now);
    /// The worker refused an order because it is unhealthy.
    void note_refusal(base::time_point now);
    [[nodiscard]] bool is_quarantined(base::time_point now) const;

private:
    void quarantine(base::time_point now);

    int failure_streak_ = 0;
    int quarantines_ = 0;
    std::string last_failed_job_;
    base::time_point quarantined_until_{};
};

/// What the stored roster says about a worker.
enum class roster_mark
{
    absent,
    /// The owner may start runs on it: only the worker knows them all.
    with_starts,
    /// The roster holds all its runs, and the owner starts no others.
    without_starts
};

/// A run whose start its worker is not known to have survived.
struct recent_start
{
    task_id task;
    /// Latest time at which the run can have begun; the largest time while it
    /// may still begin.
    base::time_point begun_by{};
};

/// A start order without an answer: it may still arrive, also at the worker's
/// next incarnation, which knows nothing of a stop that the previous one had
/// acknowledged.
struct unanswered_start
{
    task_id task;
    int run = 0;
    base::time_point arrives_by{};
    /// The stored roster names it.
    bool is_recorded = false;
    /// The incarnation that has reported last has acknowledged a stop: it will
    /// not carry out the order.
    bool is_stopped = false;
    /// When it was last asked for that.
    base::time_point stop_sent_at{};
};

/// State of a worker as known to the pool's owner.
struct worker_view
{
    worker_description description;
    /// Start of the incarnation that has reported last, Unix milliseconds. Of
    /// an inherited worker, the one that the earlier owner knew; 0 when
    /// unknown.
    std::int64_t born_ms = 0;
    /// The worker is listed in the store.
    bool is_listed = true;
    /// Whether `runs` holds all runs that may exist on it.
    run_knowledge knowledge;
    /// The roster of an earlier owner names it.
    bool is_inherited = false;
    /// Runs start only on workers recorded with starts, so that the next owner
    /// asks them for their runs.
    roster_mark recorded = roster_mark::absent;
    /// Number of its runs in the stored roster, if that says them.
    std::size_t recorded_runs = 0;
    /// Unless its lease is extended again, nothing runs on it after this time.
    base::time_point lease_ends_by{};
    /// Time of its last report.
    base::time_point reported_at{};
    /// Since then it has refused the orders of earlier owners.
    base::time_point heard_since{};
    /// The last request to it succeeded.
    bool is_reachable = false;
    /// The last request to it failed.
    bool is_silent = false;
    resource_amount used;
    /// It lists runs beside `runs`; they are to be stopped.
    bool lists_other_runs = false;
    /// Room of these runs.
    resource_amount used_by_others;
    /// Their tasks.
    std::vector<task_id> other_runs;
    /// One of these runs is of an unknown task.
    bool has_unknown_runs = false;
    /// It lists runs or ends of jobs whose records cannot be read.
    bool lists_unreadable = false;
    /// The CPU part of `used` that long-running tasks use, thousandths of a
    /// core.
    std::int64_t long_running_millis = 0;
    std::map<task_id, int> runs;
    /// Tasks whose runs lapsed on this worker and whose outcome is not reported
    /// yet.
    std::vector<task_id> unresolved;
    /// Highest number of the ended runs that have been applied.
    std::int64_t applied_end = 0;
    std::vector<unanswered_start> unanswered;
    /// Its last report holds so many ends that it may not list all of them.
    bool lists_many_ends = false;
    /// Until then a poll that acknowledged ends and got no answer may still be
    /// carried out, also by the next incarnation.
    base::time_point late_acknowledgement_until{};
    /// The same for the poll that waits for its answer.
    base::time_point acknowledgement_under_way_until{};
    /// Until then such a poll to the previous incarnation may make this one
    /// forget ends that nobody has read, so it gets no new runs.
    base::time_point forgets_ends_until{};
    worker_health health;
    worker_speed speed;
    /// How many times as long runs take here; 1 unless it is clearly slow.
    double slowness = 1.0;
    /// It gets no new runs until then, since its instance is to be maintained
    /// or moved.
    base::time_point leaving_until{};
    /// Until then an order to its instance may end it, since it was released.
    base::time_point released_until{};
    /// Its instance is to be maintained soon: a long-running task placed here
    /// would have to be moved again.
    bool is_leaving_soon = false;
    /// It gets no new runs until then, since it rejected a start for lack of
    /// resources.
    base::time_point no_room_until{};
    std::vector<recent_start> recent_starts;
    /// Tasks under which it has crashed, unless it reports their runs.
    std::vector<task_id> unconfirmed_crashes;
    /// Tasks that may be the cause of crashes and have started here lately, or
    /// run alone: no other tasks are started.
    std::vector<task_id> observed;
    /// Until then only tasks that start apart or run alone are started.
    base::time_point held_until{};

    /// Returns the time after which the order no longer arrives, and no run
    /// that it began goes on without further orders.
    base::time_point note_unanswered(const task_id& task, int run,
                                     base::time_point now);
    /// The poll that acknowledged ends has ended; it may still take effect if
    /// `may_arrive`.
    void end_acknowledgement(bool may_arrive);
    /// Until when an acknowledgement may reach the worker, whichever
    /// incarnation.
    [[nodiscard]] base::time_point acknowledges_until() const;
    /// The order has arrived.
    void note_arrived(const task_id& task, int run);
    /// Until when its ends must not be acknowledged, the past if they may be:
    /// an order that may still arrive begins a run at the next incarnation.
    /// That must not follow an acknowledged end of its task, and its own end
    /// must not be forgotten by an acknowledgement that was meant for this
    /// incarnation.
    [[nodiscard]] base::time_point withholds_ends_until() const;
    /// Whether a start order of the task may still arrive.
    [[nodiscard]] bool awaits_late_start(const task_id& task) const;
    [[nodiscard]] bool awaits_late_starts(base::time_point now) const;
    [[nodiscard]] bool has_unrecorded_late_starts(base::time_point now) const;
    /// The stored roster names this start.
    void note_recorded(const task_id& task, int run);
    /// The worker has acknowledged the stop of this run, and so of all earlier
    /// ones.
    void note_late_start_stopped(const task_id& task, int run);
    /// The next incarnation knows of no stop.
    void forget_late_stops();
    /// The worker was alive at `at`. Returns the tasks whose start it has
    /// survived.
    std::vector<task_id> note_alive(base::time_point at);
    /// The run began by `at` unless it is known to have begun earlier.
    void note_begun(const task_id& task, base::time_point at);
    void forget_start(const task_id& task);
    void stop_observing(const task_id& task);
    [[nodiscard]] bool is_starting(const task_id& task) const;
    /// Whether it is kept for tasks that may be the cause of crashes.
    [[nodiscard]] bool is_reserved(base::time_point now) const
    {
        return !observed.empty() || now < held_until;
    }
    /// Whether so many runs have begun that others should wait until it has
    /// survived these, while workers of the pool crash.
    [[nodiscard]] bool has_many_recent_starts() const;
    /// Whether its end was planned: it drains, or its instance was to be
    /// maintained or moved a moment ago.
    [[nodiscard]] bool may_end_as_planned(base::time_point now) const;
    /// The description with the incarnation that the runs belong to, which the
    /// store may list later.
    [[nodiscard]] worker_description described_as_known() const;
    [[nodiscard]] resource_amount free() const;
    [[nodiscard]] bool accepts_starts(base::time_point now) const;
    [[nodiscard]] bool accepts_starts_if_it_stays(base::time_point now) const;
    /// Whether the worker is listed or may still have runs.
    [[nodiscard]] bool may_run_something() const
    {
        return is_listed || !knowledge.is_certain() || !runs.empty();
    }
    /// What the roster should say about it if all ends that it has listed are
    /// stored.
    [[nodiscard]] roster_mark wanted_mark(base::time_point now) const;
    [[nodiscard]] bool has_label(const std::string& label) const;
    /// The last label; empty if the worker has none.
    [[nodiscard]] std::string rack() const;
};

} // namespace pimentograde::jobs

#endif
