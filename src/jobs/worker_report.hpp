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
    /// Because of a fault of the task or the worker.
    failed,
    stopped,
    /// The worker's lease expired.
    lapsed,
    /// Another member of the gang ended.
    broken,
    /// The other members of the gang did not start in time.
    alone
};

/// Progress of a run that is done, or of a long-running task that serves.
inline constexpr int full_percent = 100;

/// A run that a worker lists as present.
struct listed_run
{
    task_id task;
    int run = 0;
    std::string checkpoint;
    /// Progress, or 100 for a long-running task that is serving.
    int percent = 0;
};

/// A run that a worker lists as ended.
struct listed_end
{
    /// Increases within one incarnation of the worker.
    std::int64_t number = 0;
    task_id task;
    int run = 0;
    end_kind how = end_kind::done;
    std::string checkpoint;
};

/// Runs that a worker reports under the fence of its pool's owner.
struct worker_report
{
    /// Start of this incarnation of the worker, Unix milliseconds.
    std::int64_t born_ms = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
    /// The worker has more ended runs than fit into one answer.
    bool is_truncated = false;
};

/// A run to be started on a worker.
struct start_order
{
    task_id task;
    int run = 0;
    std::string worker;
    std::string payload;
    std::string checkpoint;
    /// Number of the change that must be stored before the order is sent; 0 for
    /// none.
    std::uint64_t required_change = 0;
    /// It is to be sent only while no other owner of the pool can exist: that
    /// one may have heard of a run which this one takes for gone.
    bool needs_exclusive_ownership = false;
};

struct stop_order
{
    task_id task;
    int run = 0;
    std::string worker;
    /// Reason for the stop, for the log.
    std::string reason;
};

/// A worker's answer to a start order.
enum class start_answer
{
    started,
    no_room,
    /// A run of the task with the same or a higher number has ended or was
    /// stopped on the worker.
    outdated_run,
    /// The order arrived after its time limit.
    too_late,
    /// The worker considers the order invalid.
    rejected,
    /// The worker is unhealthy and ignored the order.
    unhealthy,
    /// The owner may not send it, or no longer.
    not_sent,
    /// The connection failed before anything was sent.
    unreachable,
    /// Not sent: another owner may have used the worker before it restarted.
    unconfirmed,
    /// The connection broke before the answer, as when the worker crashes: the
    /// order may take effect later, also at the worker's next incarnation.
    cut_off,
    /// No answer in time: the same.
    unknown
};

std::string_view to_string(end_kind how);
std::string_view to_string(start_answer answer);

} // namespace pimentograde::jobs

#endif
