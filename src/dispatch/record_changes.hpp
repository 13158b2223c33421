#ifndef PIMENTOGRADE_DISPATCH_RECORD_CHANGES_HPP
#define PIMENTOGRADE_DISPATCH_RECORD_CHANGES_HPP

#include "base/work.hpp"
#include "provider/worker_operations.hpp"
#include "records/record_shard.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace pimentograde::dispatch
{

/// How a recorded attempt ended at the worker.
enum class lease_end
{
    done,
    /// Ran and failed, or was stopped after it started.
    failed,
    /// Never ran and can no longer run.
    unstarted,
    /// The worker lost the lease; the task may have run.
    lost
};

struct attempt_result
{
    lease_end end = lease_end::lost;
    std::string answer;
    std::string reason;
    base::duration run_time{};
};

/// Limits after which an idempotent job is not tried again.
struct failure_limits
{
    std::size_t workers = 3;
    std::size_t failures = 6;
};

/// A new record of a submission: no attempt, state `accepted`.
records::record new_record(const base::submission& work);

/// Records that `fresh` was accepted, unless its identity has a record.
records::record_change accept_change(records::record fresh);

/// The reservation that an attempt is about to start.
struct reservation
{
    base::worker_id worker;
    std::uint64_t incarnation = 0;
    base::lease_id lease;
};

/// Records attempt `prior.attempt + 1`. Refuses when the record has moved on
/// from `prior`; a `started` prior must be proven unstarted by the caller. A
/// request's record is created; a job's must exist.
records::record_change begin_change(records::record prior,
                                    reservation reserved);

/// Whether a commit of `begin_change` left this attempt recorded.
bool has_begun(const records::commit_result& result,
               const reservation& reserved);

/// Records the end of the attempt with this lease; refuses when another is
/// recorded. An unstarted attempt and a failed or lost one of an idempotent
/// job return the job to `accepted`, within the limits. A lost attempt of
/// other work leaves the record as it is.
records::record_change end_change(base::lease_id lease, attempt_result result,
                                  failure_limits limits);

/// Records that the work of `prior` was not run. Refuses when the record has
/// moved on; a `started` prior must be proven unstarted by the caller.
records::record_change refuse_change(records::record prior, std::string reason);

/// Ends an accepted job that has failed before as `failed`, another as
/// `not_run`.
records::record_change give_up_change(std::uint32_t attempt,
                                      std::string reason);

/// Ends an accepted job as `not_run`; marks a started one, so that it is
/// stopped.
records::record_change cancel_change(base::job_id job);

/// Ends the attempt with this lease by an operator's word.
records::record_change settle_change(base::lease_id lease, bool succeeded,
                                     std::string reason);

} // namespace pimentograde::dispatch

#endif
