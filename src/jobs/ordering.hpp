#ifndef PIMENTOGRADE_JOBS_ORDERING_HPP
#define PIMENTOGRADE_JOBS_ORDERING_HPP

#include "base/time.hpp"
#include "jobs/job.hpp"
#include "jobs/queue_statistics.hpp"

namespace pimentograde::jobs
{

/// Scheduling rank of a job that waits for resources. During a burst of several
/// times a pool's capacity, jobs that can still meet their objectives go first.
/// Within one priority, those with the highest value per remaining work go
/// first, so that started jobs are finished before new ones begin.
struct job_rank
{
    int priority = 0;
    /// Long-running jobs go first: they serve users of their own.
    bool is_long_running = false;
    bool can_meet_objective = true;
    /// Exceeds its tenant's share: what callers send beyond it is of no use to
    /// them while it delays the jobs of others.
    bool is_excess = false;
    /// Its tenant uses more of the pool than its weighted part, see
    /// `weighted_use`.
    bool is_above_part = false;
    /// Value of the job per remaining core-second.
    double yield = 0.0;
    base::time_point accepted_at{};

    /// Whether this job goes before `other`.
    [[nodiscard]] bool goes_before(const job_rank& other) const;
};

job_rank rank_of(const job& subject, const queue_policy& policy,
                 const queue_statistics& statistics, base::time_point now);

/// Time by which the job must end to meet its objective.
base::time_point objective_of(const job& subject, const queue_policy& policy);

} // namespace pimentograde::jobs

#endif
