#include "dispatch/job_attempt_runner.hpp"

#include "dispatch/reasons.hpp"
#include "dispatch/runner_events.hpp"
#include "log/event.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::dispatch
{

using records::commit_outcome;
using records::record;

job_attempt_runner::job_attempt_runner(std::shared_ptr<attempt_runner> attempts)
    : attempts_(std::move(attempts))
{
}

base::time_point job_attempt_runner::now() const
{
    return attempts_->hooks().time.steady();
}

bool job_attempt_runner::can_run_now(const base::work_identity& identity) const
{
    const auto known = retry_states_.find(identity);
    return known == retry_states_.end() || now() >= known->second.not_before;
}

void job_attempt_runner::forget(const base::work_identity& identity)
{
    retry_states_.erase(identity);
}

void job_attempt_runner::forget_ended()
{
    std::erase_if(retry_states_,
                  [&](const auto& entry)
                  {
                      const auto current = attempts_->table().find(entry.first);
                      return !current || records::is_ended(current->state);
                  });
}

void job_attempt_runner::postpone(const base::work_identity& identity,
                                  base::duration min_delay)
{
    auto& known = retry_states_[identity];
    known.delay = std::clamp(known.delay * 2, attempts_->settings().first_retry,
                             attempts_->settings().longest_retry);
    known.not_before =
        now() + min_delay + attempts_->random().jitter(known.delay);
}

policy::slot_request job_attempt_runner::slot_request_for(
    const record& job, const config::bundle& bundle, const config::queue& queue)
{
    policy::slot_request out;
    out.queue = job.queue;
    out.pool = queue.pool;
    out.department = job.identity.department;
    out.urgency = job.urgency;
    out.size = job.size;
    out.deadline = now() + attempts_->settings().job_slot_wait;
    out.retry = job.failures > 0;
    out.excluded = job.failed_on;
    for (const auto& worker : retry_states_[job.identity].too_large_on)
        out.excluded.push_back(worker);
    const bool all_excluded = std::ranges::none_of(
        bundle.workers,
        [&](const config::worker& worker) {
            return std::ranges::find(out.excluded, worker.id) ==
                   out.excluded.end();
        });
    // Retrying on a worker that failed is better than never running the job.
    if (all_excluded)
        out.excluded.clear();
    return out;
}

attempt_report job_attempt_runner::give_up(const record& job,
                                           std::string_view reason)
{
    const auto written = attempts_->table().commit(
        job.identity, give_up_change(job.attempt, std::string(reason)),
        now() + attempts_->settings().store_attempt);
    if (written.outcome != commit_outcome::applied &&
        written.outcome != commit_outcome::refused)
        return {attempt_outcome::store_failed, std::nullopt, {}, {}};
    log::write(event_job_gave_up, {{"job", job.job.str()}, {"reason", reason}});
    return {attempt_outcome::superseded, written.current, {}, {}};
}

attempt_report job_attempt_runner::after_refusal(const record& job,
                                                 attempt_report report)
{
    if (report.outcome != attempt_outcome::not_started ||
        report.reason != reason::too_large)
        return report;
    auto& known = retry_states_[job.identity];
    if (!report.worker.empty())
        known.too_large_on.insert(report.worker);
    const bool enough = known.too_large_on.size() >=
                        std::min(attempts_->settings().max_failed_workers,
                                 attempts_->hooks().bundle()->workers.size());
    // A refusal without a worker comes from the broker and applies to the whole
    // pool.
    if (report.worker.empty() || enough)
        return give_up(job, reason::too_large);
    return report;
}

attempt_report job_attempt_runner::try_job(const record& job)
{
    const auto bundle = attempts_->hooks().bundle();
    const auto* queue = find_queue(*bundle, job.queue);
    if (queue == nullptr)
    {
        const auto age = attempts_->hooks().time.wall() - job.created_at;
        if (age > attempts_->settings().unknown_queue_grace)
            return give_up(job, reason::unknown_queue);
        return {attempt_outcome::not_started,
                std::nullopt,
                std::string(reason::unknown_queue),
                {}};
    }
    if (!fits_any_worker(*bundle, job.size))
        return give_up(job, reason::too_large);
    return after_refusal(
        job, attempts_->attempt(job, job.payload,
                                slot_request_for(job, *bundle, *queue)));
}

} // namespace pimentograde::dispatch
