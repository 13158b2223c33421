#ifndef PIMENTOGRADE_DISPATCH_ATTEMPT_RUNNER_HPP
#define PIMENTOGRADE_DISPATCH_ATTEMPT_RUNNER_HPP

#include "dispatch/lease_result.hpp"
#include "dispatch/record_changes.hpp"
#include "dispatch/runner_hooks.hpp"

#include <memory>
#include <optional>
#include <string>

namespace pimentograde::dispatch
{

enum class attempt_outcome
{
    /// The lease ended and its outcome is recorded; see `current`.
    recorded,
    /// The attempt did not run and can no longer run; see `reason`.
    not_started,
    /// The record was changed by another process or removed; see `current`.
    superseded,
    /// The store did not answer; the attempt does not run.
    store_failed,
    /// The lease has not ended yet: the task is running, or its worker does
    /// not answer.
    open,
    /// The worker lost the lease; the record is unchanged.
    lost
};

struct attempt_report
{
    attempt_outcome outcome = attempt_outcome::not_started;
    /// Contains the complete answer, even when the stored record has only its
    /// digest.
    std::optional<records::record> current;
    std::string reason;
    /// Worker that refused the task or could not be reached.
    base::worker_id worker;
};

/// Performs one attempt of recorded work: acquires a slot, reserves a lease on
/// the worker, records the attempt, starts the task and records its outcome.
/// Used for requests and jobs.
class attempt_runner
{
public:
    attempt_runner(runner_hooks hooks, runner_settings settings,
                   std::shared_ptr<records::record_table> table,
                   std::shared_ptr<base::random_source> random);
    ~attempt_runner();
    attempt_runner(const attempt_runner&) = delete;
    attempt_runner& operator=(const attempt_runner&) = delete;

    /// Runs the attempt that follows `prior`. If `prior` has a lease, the
    /// caller must know that it never started. Returns after the outcome is
    /// recorded.
    attempt_report attempt(const records::record& prior,
                           const std::string& payload,
                           const policy::slot_request& request);

    /// Determines the outcome of a `started` record from its lease. Waits for a
    /// running task and renews its lease; stops a lease that has not started.
    /// With `keep_unstarted`, such an attempt is reported as `not_started` and
    /// its end is not recorded.
    attempt_report resolve(const records::record& started,
                           base::time_point deadline, bool keep_unstarted);

    /// Converts a record to the caller's result. Fetches the answer from the
    /// worker when it was too long for the record.
    base::work_result read_result(const records::record& current);

    /// Asks the worker to stop the lease of a record. Ignores failures.
    void stop_lease(const records::record& started);
    /// Returns the state of a record's lease. Throws `base::error`.
    provider::lease_status query_lease(const records::record& started);

    [[nodiscard]] const runner_hooks& hooks() const;
    [[nodiscard]] const runner_settings& settings() const;
    [[nodiscard]] records::record_table& table();
    [[nodiscard]] base::random_source& random();

    /// Interrupts all waits. Unfinished leases are left to other instances.
    void halt();
    [[nodiscard]] bool is_halted() const;
    /// Sleeps, or returns early when halted. Returns true if halted.
    bool sleep(base::duration length);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
