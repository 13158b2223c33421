#ifndef PIMENTOGRADE_JOBS_ADMISSION_HPP
#define PIMENTOGRADE_JOBS_ADMISSION_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// What decides whether a new job is taken in.
struct admission_inputs
{
    /// Work of the accepted jobs that wait or run, core-seconds.
    double backlog = 0.0;
    /// Cores that accept work.
    double cores = 0.0;
    /// Longest chain of the new job, seconds.
    double chain = 0.0;
    /// Length of its objective, seconds.
    double objective = 0.0;
    /// Long-running jobs only need room at some time.
    bool is_long_running = false;
};

struct admission_decision
{
    bool is_accepted = true;
    /// When to ask again; meaningful for a refusal.
    base::duration retry_after{};
    /// Expected wait for room, seconds.
    double expected_wait = 0.0;
};

/// Refuses a job that cannot end within a multiple of its objective behind the
/// backlog. Answers bursts beyond what a pool can work off before the results
/// are of no use: the caller learns at once when to return.
admission_decision decide_admission(const admission_inputs& inputs);

} // namespace pimentograde::jobs

#endif
