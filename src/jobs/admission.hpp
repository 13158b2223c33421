#ifndef PIMENTOGRADE_JOBS_ADMISSION_HPP
#define PIMENTOGRADE_JOBS_ADMISSION_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// Bounds of the delay that a refused caller is asked to wait.
inline constexpr std::chrono::seconds min_retry_after{1};
inline constexpr std::chrono::seconds max_retry_after{20};

/// Inputs of the admission decision for a new job.
struct admission_inputs
{
    /// Remaining work of the accepted jobs, core-seconds; for a job within its
    /// tenant's share without that of excess jobs.
    double backlog = 0.0;
    /// Number of cores that accept work.
    double cores = 0.0;
    /// Length of the new job's critical path, seconds.
    double critical_path = 0.0;
    /// Time left until the job's objective ends, seconds.
    double objective = 0.0;
    /// Long-running jobs are always accepted: they can wait for free resources.
    bool is_long_running = false;
    /// The job exceeds its tenant's share.
    bool is_excess = false;
    /// The job's first tasks could start now; only read for excess jobs.
    bool has_room = true;
};

struct admission_decision
{
    bool is_accepted = true;
    /// Refused since it exceeds its tenant's share and would have to wait.
    bool exceeds_share = false;
    /// Delay before the caller should submit again; set for a refusal.
    base::duration retry_after{};
    /// Expected queueing time, seconds.
    double expected_wait = 0.0;
};

/// Refuses a job that cannot end within a multiple of its objective because of
/// the backlog. During a burst that a pool cannot process before the results
/// become useless, the caller gets an immediate refusal with a retry delay.
/// An excess job is refused whenever it would have to wait: it must not delay
/// the jobs of other tenants.
admission_decision decide_admission(const admission_inputs& inputs);

} // namespace pimentograde::jobs

#endif
