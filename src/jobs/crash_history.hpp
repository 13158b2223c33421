#ifndef PIMENTOGRADE_JOBS_CRASH_HISTORY_HPP
#define PIMENTOGRADE_JOBS_CRASH_HISTORY_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::jobs
{

/// What is known of a crash under a task.
enum class crash_evidence
{
    /// The start had no answer: the run may not have begun.
    start_unanswered,
    /// The worker may be partitioned, or may have restarted before the run
    /// began; its next report says more.
    unconfirmed,
    /// The run was on the worker, and the worker has ended.
    confirmed,
    /// No crash yet: stored before the task starts again, since its owner may
    /// end together with the worker.
    starting
};

/// A worker that ended unexpectedly while a task was on it.
struct worker_crash
{
    int run = 0;
    std::string worker;
    /// A restarted worker may have another id at the same address.
    std::string address;
    /// The worker is not known to have survived the start of the run.
    bool at_start = false;
    /// No other task could have caused the crash.
    bool is_only_suspect = false;
    crash_evidence evidence = crash_evidence::unconfirmed;
    /// Several workers without the task were lost at about the same time.
    bool is_in_burst = false;

    bool operator==(const worker_crash&) const = default;
};

/// How a task is started while it may be the cause of crashes.
enum class suspicion
{
    none,
    /// While no other start on the same worker is recent, so that a crash has
    /// one suspect.
    starts_apart,
    /// On a worker without other runs.
    runs_alone
};

/// The crashes under one task. Several tasks share a worker, so a crash has
/// several suspects; the history says how to find the one that causes them,
/// and when it is found. Designed for tasks that crash each worker that starts
/// them, beside innocent tasks that must complete.
class crash_history
{
public:
    /// The first crash of each run counts: its start order may have reached
    /// any later incarnation of the worker, or none. Once the run is known to
    /// have been on the worker, that counts instead.
    void add(worker_crash crash);
    /// The run has not begun, or has ended. Returns whether it was `starting`.
    bool withdraw_start(int run);
    /// The owner that recorded starts has ended: their workers may have
    /// crashed.
    void note_new_owner();
    /// The worker is known to have ended under the task.
    void confirm(std::string_view worker);
    /// The crash under the run was one of a burst. Returns whether that is new.
    bool note_burst(int run);
    /// The worker lists the run, or how it ended. Returns whether a crash was
    /// withdrawn.
    bool withdraw(int run, std::string_view worker);
    /// A worker has survived the task's start, so the task has not caused the
    /// crashes at its starts. Returns whether one of them has no other suspect.
    bool note_survived_start();
    void clear() { crashes_.clear(); }

    [[nodiscard]] bool empty() const { return crashes_.empty(); }
    [[nodiscard]] suspicion level() const;
    /// Whether the task is the cause: workers have crashed under it at several
    /// addresses, the last one with no other suspect, and it is known that most
    /// of its runs had begun. `chance` is that of a
    /// crash at the start of an innocent task; the more likely it is, the more
    /// crashes are needed.
    [[nodiscard]] bool is_cause(double chance) const;
    /// Whether a worker has crashed at the address.
    [[nodiscard]] bool contains_address(std::string_view address) const;
    [[nodiscard]] const std::vector<worker_crash>& crashes() const
    {
        return crashes_;
    }

private:
    std::vector<worker_crash> crashes_;
};

} // namespace pimentograde::jobs

#endif
