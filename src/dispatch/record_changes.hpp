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
    /// Ran and failed, or was stopped after the task started.
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

/// Limits after which an idempotent job is not retried.
struct failure_limits
{
    std::size_t workers = 3;
    std::size_t failures = 6;
};

/// Creates the record of a new submission: no attempt, state `accepted`.
records::record new_record(const base::submission& work);

/// Adds the record `fresh`, unless its identity already has one.
records::record_change accept_change(records::record fresh);

/// The worker's reservation that an attempt will start.
struct reservation
{
    base::worker_id worker;
    std::uint64_t incarnation = 0;
    base::lease_id lease;
};

/// Records attempt `prior.attempt + 1`. Refuses when the record has changed
/// since `prior`. If `prior` is `started`, the caller must have proof that its
/// lease never started. Creates the record of a request; that of a job must
/// exist.
records::record_change begin_change(records::record prior,
                                    reservation reserved);

/// Whether the record has this attempt after a commit of `begin_change`.
bool has_begun(const records::commit_result& result,
               const reservation& reserved);

/// Records the end of the attempt with this lease; refuses when another lease
/// is recorded. A job returns to `accepted` after an unstarted attempt, and an
/// idempotent job also after a failed or lost one, within the limits. A lost
/// attempt of other work leaves the record unchanged.
records::record_change end_change(base::lease_id lease, attempt_result result,
                                  failure_limits limits);

/// Records that the work of `prior` was not run. Refuses when the record has
/// changed since. If `prior` is `started`, the caller must have proof that its
/// lease never started.
records::record_change refuse_change(records::record prior, std::string reason);

/// Ends an accepted job: as `failed` if an earlier attempt failed, otherwise as
/// `not_run`.
records::record_change give_up_change(std::uint32_t attempt,
                                      std::string reason);

/// Cancels a job. An accepted job ends as for `give_up_change`; a started one
/// is marked, so that it is stopped.
records::record_change cancel_change(base::job_id job);

/// Ends the attempt with this lease with the outcome that an operator gives.
records::record_change settle_change(base::lease_id lease, bool succeeded,
                                     std::string reason);

} // namespace pimentograde::dispatch

#endif
