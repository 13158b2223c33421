#ifndef PIMENTOGRADE_DISPATCH_JOB_ATTEMPTS_HPP
#define PIMENTOGRADE_DISPATCH_JOB_ATTEMPTS_HPP

#include "dispatch/attempt_runner.hpp"

#include <map>
#include <memory>
#include <set>
#include <string_view>

namespace pimentograde::dispatch
{

/// Attempts of jobs: where the next one runs, when it may run, and when a job
/// is given up.
class job_attempts
{
public:
    explicit job_attempts(std::shared_ptr<attempt_runner> attempts);

    /// One attempt of an accepted job, or its end when it can never run.
    attempt_report try_job(const records::record& job);

    /// Leaves work alone for `least` and a doubling, jittered time.
    void postpone(const base::work_identity& identity, base::duration least);
    [[nodiscard]] bool may_run(const base::work_identity& identity) const;
    void forget(const base::work_identity& identity);
    void forget_ended();

private:
    /// What this process remembers about waiting work; lost with the process.
    struct work_memory
    {
        base::time_point not_before{};
        base::duration delay{};
        /// Workers that found the task too large.
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
    std::map<base::work_identity, work_memory> memory_;
};

} // namespace pimentograde::dispatch

#endif
