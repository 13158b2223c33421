#ifndef PIMENTOGRADE_DISPATCH_JOB_ATTEMPT_RUNNER_HPP
#define PIMENTOGRADE_DISPATCH_JOB_ATTEMPT_RUNNER_HPP

#include "dispatch/attempt_runner.hpp"

#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace pimentograde::dispatch
{

/// Decides for each job which workers its next attempt may use, when it may run
/// and when the job is given up.
class job_attempt_runner
{
public:
    explicit job_attempt_runner(std::shared_ptr<attempt_runner> attempts);

    /// Makes one attempt at an accepted job, or ends the job if it can never
    /// run.
    attempt_report try_job(const records::record& job);

    /// Delays the next attempt by `least` plus a jittered exponential backoff.
    void postpone(const base::work_identity& identity,
                  base::duration min_delay);
    [[nodiscard]] bool can_run_now(const base::work_identity& identity) const;
    void forget(const base::work_identity& identity);
    void forget_ended();

private:
    /// Retry state of waiting work. Not persisted.
    struct retry_state
    {
        base::time_point not_before{};
        base::duration delay{};
        /// Workers that refused the task as too large.
        std::set<base::worker_id> too_large_on;
    };

    [[nodiscard]] base::time_point now() const;
    policy::slot_request slot_request_for(const records::record& job,
                                          const config::bundle& bundle,
                                          const config::queue& queue);
    attempt_report give_up(const records::record& job, std::string_view reason);
    attempt_report after_refusal(const records::record& job,
                                 attempt_report report);

    std::shared_ptr<attempt_runner> attempts_;
    std::map<base::work_identity, retry_state> retry_states_;
};

} // namespace pimentograde::dispatch

#endif
