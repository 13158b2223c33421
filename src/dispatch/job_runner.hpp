#ifndef PIMENTOGRADE_DISPATCH_JOB_RUNNER_HPP
#define PIMENTOGRADE_DISPATCH_JOB_RUNNER_HPP

#include "dispatch/request_runner.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace pimentograde::dispatch
{

/// Accepts jobs, and runs the accepted jobs in the record shards that this
/// member owns. Also resolves requests whose instance was lost.
class job_runner
{
public:
    job_runner(std::shared_ptr<attempt_runner> attempts,
               std::shared_ptr<in_flight_table> in_flight);
    /// Stops the scan and waits for it.
    ~job_runner();
    job_runner(const job_runner&) = delete;
    job_runner& operator=(const job_runner&) = delete;

    /// Starts the periodic scan of owned shards.
    void start();

    /// Returns `accepted` once the record is written.
    base::work_result
    submit(const base::submission& work,
           submission_origin origin = submission_origin::possible_retry);

    /// Returns the current result of a job of this caller. A started job whose
    /// worker does not answer is `unknown`. Throws `base::error` when the store
    /// does not answer.
    base::work_result find(const base::job_id& job,
                           const base::department_name& department,
                           const base::caller_name& caller,
                           base::time_point deadline);

    /// Cancels a job. The result is `not_run` if it never started, `failed` if
    /// it was stopped, or `done` if it finished before the cancellation. Throws
    /// `base::error` when the store does not answer.
    base::work_result cancel(const base::job_id& job,
                             const base::department_name& department,
                             const base::caller_name& caller,
                             base::time_point deadline);

    /// Ends a job whose outcome is lost, as done or failed. Never ends it as
    /// `not_run`, since it is unknown whether the task ran. If the worker still
    /// has the outcome, that is recorded instead. Throws `base::error`.
    base::work_result settle(const base::job_id& job, bool succeeded,
                             std::string_view operator_name,
                             base::time_point deadline);

    /// Stops starting jobs and waits for the running ones. Returns false if the
    /// deadline passes first.
    bool drain(base::time_point deadline);

    [[nodiscard]] std::size_t running() const;
    /// Accepted jobs of owned shards that wait to be started here.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
