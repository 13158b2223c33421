#ifndef PIMENTOGRADE_JOBS_WORKER_REPORT_HPP
#define PIMENTOGRADE_JOBS_WORKER_REPORT_HPP

#include "jobs/task_id.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::jobs
{

/// How a run ended.
enum class end_kind
{
    done,
    /// By its own fault or the worker's.
    failed,
    stopped,
    /// The worker's lease ran out.
    lapsed,
    /// Another member of the gang ended.
    broken,
    /// The other members of the gang did not arrive in time.
    alone
};

/// A run that a worker lists as present.
struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    /// Progress, or 100 for a long-running task that is at work.
    int percent = 0;
};

/// A run that a worker lists as ended.
struct listed_end
{
    /// Rises within one life of the worker.
    std::int64_t number = 0;
    task_id task;
    int run = 0;
    end_kind how = end_kind::done;
    std::string checkpoint;
};

/// What a worker lists under the fence of its pool's owner.
struct worker_report
{
    /// Start of this life of the worker, Unix milliseconds.
    std::int64_t born_ms = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
    /// The worker has more ends to list than one answer holds.
    bool is_truncated = false;
};

/// A start that the planner has decided on.
struct start_order
{
    task_id task;
    int run = 0;
    std::string worker;
    std::string payload;
    std::string checkpoint;
};

struct stop_order
{
    task_id task;
    int run = 0;
    std::string worker;
    /// Why, for the log.
    std::string reason;
};

/// A worker's answer to a start order.
enum class start_answer
{
    started,
    no_room,
    /// A run that is not lower has ended or was stopped there.
    outdated_run,
    /// The order's time limit had passed when it arrived.
    too_late,
    /// The order itself is not valid there.
    rejected,
    /// The worker is unhealthy and has done nothing.
    unhealthy,
    /// The connection failed before anything was sent.
    not_sent,
    /// The order may still take effect.
    unknown
};

std::string_view to_string(end_kind how);
std::string_view to_string(start_answer answer);

} // namespace pimentograde::jobs

#endif
