#ifndef PIMENTOGRADE_JOBS_ROSTER_HPP
#define PIMENTOGRADE_JOBS_ROSTER_HPP

#include "base/time.hpp"
#include "jobs/task_id.hpp"
#include "jobs/worker_view.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::jobs
{

/// A run that may exist on a worker, as its owner leaves it to the next one.
struct roster_run
{
    task_id task;
    int run = 0;
    /// The worker has listed it; otherwise its start order may still arrive.
    bool is_confirmed = false;
    /// The worker is not known to have survived the start.
    bool is_starting = false;

    bool operator==(const roster_run&) const = default;
};

/// A start order without an answer that may still arrive, whatever became of
/// its task.
struct roster_late_start
{
    task_id task;
    int run = 0;
    /// Upper bound of the time after which it no longer arrives. It counts from
    /// the next owner's loading, since the time in the store is not known.
    base::duration time_left{};

    bool operator==(const roster_late_start&) const = default;
};

/// A worker that the owner of a pool may have used.
struct roster_entry
{
    worker_description worker;
    /// The last request to the worker failed.
    bool is_silent = false;
    /// All runs that may exist on the worker. Set while the owner starts
    /// nothing more there: the worker is silent, or the ownership ends. The
    /// owner records the worker anew before it starts another run.
    std::optional<std::vector<roster_run>> runs{};
    /// Tasks whose runs lapsed on the worker and whose outcome is not known.
    std::vector<task_id> unresolved{};
    /// Upper bound of the time after which no run exists on the worker unless
    /// the next owner extends its lease. Set when the ownership ends.
    std::optional<base::duration> lease_left{};
    std::vector<roster_late_start> late_starts{};
    /// Upper bound of the time in which an order to its instance may end it,
    /// since it was released. Set when the ownership ends.
    std::optional<base::duration> hold_left{};

    bool operator==(const roster_entry&) const = default;
};

std::string encode_roster(std::span<const roster_entry> roster);
/// Throws `base::error` with `invalid`.
std::vector<roster_entry> decode_roster(std::string_view text);

} // namespace pimentograde::jobs

#endif
