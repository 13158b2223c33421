#ifndef PIMENTOGRADE_JOBS_JOB_SPEC_HPP
#define PIMENTOGRADE_JOBS_JOB_SPEC_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentograde::jobs
{

/// Resources of a worker, or those that a task needs.
struct resource_amount
{
    /// Thousandths of a core.
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t gpus = 0;

    resource_amount& operator+=(const resource_amount& other);
    resource_amount& operator-=(const resource_amount& other);
    [[nodiscard]] bool covers(const resource_amount& need) const;
    bool operator==(const resource_amount&) const = default;
};

/// One step of a job: a number of identical tasks.
struct step_spec
{
    int task_count = 1;
    resource_amount need;
    /// The submitter's rough estimate of one task's run time.
    base::duration estimate{};
    /// Indexes of the steps that must be done before this one starts.
    std::vector<int> after;
    bool is_checkpointing = false;
    /// The tasks make progress only while all of them run.
    bool is_gang = false;
    bool needs_same_rack = false;
    /// Copies of a task may run at the same time.
    bool is_speculative = false;
    /// The tasks run until the job is cancelled.
    bool is_long_running = false;
    /// The tasks only use processor time that other tasks leave idle.
    bool is_filler = false;
    std::string required_label;
    std::string data_rack;
    std::string image;
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    int max_per_worker = 0;
    /// Number of tasks that the system may make unavailable at the same time.
    int max_unavailable = 0;
    /// Limit on the tail latency of long-running tasks; 0 for none.
    base::duration latency_goal{};

    bool operator==(const step_spec&) const = default;
};

/// A job as submitted by a caller.
struct job_spec
{
    /// Passed unchanged to every task.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of scheduled occurrences; 0 for a job that runs once,
    /// immediately.
    int repeat_count = 0;
    base::wall_time first_due{};
    base::duration repeat_interval{};

    [[nodiscard]] int occurrences() const;
    [[nodiscard]] bool is_long_running() const;
    bool operator==(const job_spec&) const = default;
};

/// Scheduling policy of one queue's jobs.
struct queue_policy
{
    std::string name;
    std::string pool;
    /// Lower values are scheduled first.
    int priority = 0;
    int max_attempts = 1;
    /// The latency objective is `stretch` times the length of the job's
    /// critical path plus `target`.
    double stretch = 1.0;
    base::duration target{};
};

/// Throws `base::error` with `invalid` for a job that can never run: it has no
/// steps, depends on a step that is not an earlier one, or has values out of
/// range.
void validate(const job_spec& spec);

} // namespace pimentograde::jobs

#endif
