#ifndef PIMENTOGRADE_DISPATCH_REQUEST_RUNNER_HPP
#define PIMENTOGRADE_DISPATCH_REQUEST_RUNNER_HPP

#include "dispatch/attempt_runner.hpp"
#include "dispatch/in_flight_table.hpp"

#include <cstddef>
#include <memory>

namespace pimentograde::dispatch
{

/// Whether the same key may have been submitted before.
enum class submission_origin
{
    /// The caller may have submitted the key before, possibly through another
    /// instance. `not_run` is returned only after it is recorded.
    possible_retry,
    /// The caller guarantees that it has never submitted the key and will wait
    /// for this answer before submitting it again. A refusal needs no record.
    first
};

/// Runs requests. Idempotent requests have no record; others have one and run
/// at most once.
class request_runner
{
public:
    request_runner(std::shared_ptr<attempt_runner> attempts,
                   std::shared_ptr<in_flight_table> in_flight);
    /// Waits for the requests in progress.
    ~request_runner();
    request_runner(const request_runner&) = delete;
    request_runner& operator=(const request_runner&) = delete;

    /// Suspends the fiber until the result is known or `work.time_limit` has
    /// passed. Recorded work continues after the limit; a later submission with
    /// the same identity returns its result.
    base::work_result
    run(const base::submission& work,
        submission_origin origin = submission_origin::possible_retry);

    /// Returns the recorded result of an identity. Throws `base::error` when
    /// the store does not answer.
    base::work_result find(const base::work_identity& identity,
                           base::time_point deadline);

    /// Refuses new work and waits for requests in progress. Returns true if all
    /// ended before the deadline.
    bool drain(base::time_point deadline);
    [[nodiscard]] std::size_t running() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
