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

enum class attempt_step
{
    /// The lease ended and the record says how; see `current`.
    recorded,
    /// Nothing ran and nothing of this attempt will; see `reason`.
    not_started,
    /// The record has moved on or is gone; see `current`.
    superseded,
    /// The store did not answer; nothing of this attempt runs.
    store_failed,
    /// The lease is not resolved yet: the task runs, or its worker does not
    /// answer.
    open,
    /// The worker lost the lease and the record stays as it is.
    lost
};

struct attempt_report
{
    attempt_step step = attempt_step::not_started;
    /// With the complete answer, also when the record holds only its digest.
    std::optional<records::record> current;
    std::string reason;
    /// Worker that refused or could not be reached.
    base::worker_id worker;
};

/// The steps for one attempt of recorded work: slot, reservation, record,
/// start, outcome. Shared by requests and jobs.
class attempt_runner
{
public:
    attempt_runner(runner_hooks hooks, runner_settings settings,
                   std::shared_ptr<records::record_table> table,
                   std::shared_ptr<base::random_source> random);
    ~attempt_runner();
    attempt_runner(const attempt_runner&) = delete;
    attempt_runner& operator=(const attempt_runner&) = delete;

    /// Runs the attempt after `prior`, whose lease, if any, is known to be
    /// unstarted. Returns after the outcome is recorded.
    attempt_report attempt(const records::record& prior,
                           const std::string& payload,
                           const policy::slot_request& request);

    /// Resolves a `started` record by its lease: waits for a running task and
    /// renews its lease, stops an unstarted one. An unstarted attempt is
    /// reported as `not_started` and not recorded when `keep_unstarted`.
    attempt_report resolve(const records::record& started,
                           base::time_point deadline, bool keep_unstarted);

    /// What a caller learns from a record. Fetches an answer that is too long
    /// for the record from the worker.
    base::work_result read_result(const records::record& current);

    /// Asks the worker to end the lease of a record. Ignores failures.
    void stop_lease(const records::record& started);
    /// State of a record's lease. Throws `base::error`.
    provider::lease_status query_lease(const records::record& started);

    [[nodiscard]] const runner_hooks& hooks() const;
    [[nodiscard]] const runner_settings& settings() const;
    [[nodiscard]] records::record_table& table();
    [[nodiscard]] base::random_source& random();

    /// Makes all waiting end soon; leases are left to other instances.
    void halt();
    [[nodiscard]] bool is_halted() const;
    /// Sleeps, or returns early when halted. Returns whether halted.
    bool sleep(base::duration length);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
