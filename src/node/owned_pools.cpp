#include "node/owned_pools.hpp"

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/pool_replies.hpp"

#include <utility>

namespace pimentograde::node
{

namespace
{

using submission_kind = pools::submission_answer::kind;
using job_kind = pools::job_answer::kind;

bool is_final(jobs::reported_status status)
{
    return status != jobs::reported_status::queued &&
           status != jobs::reported_status::running;
}

void log_other_tenant(std::string_view job, std::string_view tenant,
                      std::string_view pool)
{
    log::write(event_other_tenant,
               {{"job", job}, {"tenant", tenant}, {"pool", pool}});
}

} // namespace

owned_pools::owned_pools(session& members, pool_claims& claims,
                         queue_recorder& queues)
    : session_(members), claims_(claims), queues_(queues)
{
}

bool owned_pools::knows_newest(
    const std::optional<peer::queue_assignment>& stated)
{
    return !stated || queues_.knowledge().adopt(*stated);
}

pools::admission owned_pools::admission_of(const pools::pool_owner& owner,
                                           const peer::submit_job& message)
{
    return queues_.knowledge().is_assigned(message.assignment, message.queue,
                                           owner.pool())
               ? pools::admission::all_jobs
               : pools::admission::known_jobs;
}

// An owner that has not loaded the pool, or is ending, refuses also jobs that
// were accepted before; one whose lease may have ended, those that the next
// owner has accepted.
owned_pools::submission_decision
owned_pools::submit(pools::pool_owner& owner, const peer::submit_job& message,
                    jobs::job_spec spec, base::time_point deadline)
{
    auto answer =
        owner.submit(message.job, std::move(spec), message.queue, deadline,
                     admission_of(owner, message), message.tenant);
    if (answer.outcome == submission_kind::other_tenant)
        log_other_tenant(message.job, message.tenant, owner.pool());
    const bool is_decided =
        answer.outcome != submission_kind::refused ||
        certain(owner.status(message.job)).outcome == job_kind::absent;
    return {std::move(answer), is_decided};
}

pools::job_answer owned_pools::status(pools::pool_owner& owner,
                                      const peer::query_job& message)
{
    const bool is_up_to_date = knows_newest(message.assignment);
    const bool is_hidden =
        is_of_other_tenant(owner, message.job, message.tenant);
    if (is_hidden && message.is_before_submission)
        return {job_kind::other_tenant, {}};
    // Otherwise the assignment keeps late submissions from being accepted.
    const bool must_deny = message.is_before_submission && !message.assignment;
    auto answer = must_deny ? owner.status_before_submission(message.job)
                            : owner.status(message.job);
    if (is_hidden)
        answer = {job_kind::absent, {}};
    if (!is_up_to_date && answer.outcome == job_kind::absent)
        answer.outcome = job_kind::unavailable;
    return certain(answer);
}

pools::job_answer owned_pools::cancel(pools::pool_owner& owner,
                                      const peer::cancel_job& message,
                                      base::time_point deadline)
{
    const bool is_up_to_date = knows_newest(message.assignment);
    auto answer = is_of_other_tenant(owner, message.job, message.tenant)
                      ? pools::job_answer{job_kind::absent, {}}
                      : owner.cancel(message.job, deadline);
    if (!is_up_to_date && answer.outcome == job_kind::absent)
        answer.outcome = job_kind::unavailable;
    return certain(answer);
}

std::optional<int> owned_pools::pending(const pools::pool_owner& owner,
                                        const peer::count_pending& message)
{
    // The next owner may have accepted and started jobs.
    if (!knows_newest(message.assignment) ||
        !session_.holds_lease(base::suspend_aware_now()))
        return std::nullopt;
    return owner.pending(message.queue);
}

bool owned_pools::is_of_other_tenant(const pools::pool_owner& owner,
                                     std::string_view job,
                                     std::string_view tenant)
{
    const jobs::job* known =
        owner.answers_callers() ? owner.state().find_job(job) : nullptr;
    if (known == nullptr || known->is_accessible_to(tenant))
        return false;
    log_other_tenant(job, tenant, owner.pool());
    return true;
}

pools::job_answer owned_pools::certain(pools::job_answer answer) const
{
    const base::time_point now = base::suspend_aware_now();
    if (session_.holds_lease(now))
        return answer;
    const bool is_outdated = answer.outcome == job_kind::found &&
                             !is_final(answer.status) &&
                             !session_.is_renewed(now);
    if (answer.outcome == job_kind::absent || is_outdated)
        answer.outcome = job_kind::unavailable;
    return answer;
}

void owned_pools::add_handlers(peer::peer_server::builder& server)
{
    server.handle<peer::submit_job>(
        [this](const peer::call_context&, const peer::submit_job& message)
        {
            const auto owner = claims_.find(message.pool);
            if (owner == nullptr)
                throw base::error(base::error_code::refused, "submit job",
                                  message.pool, "the pool is not owned here");
            jobs::job subject =
                jobs::decode_record(message.job, message.record);
            if (admission_of(*owner, message) == pools::admission::all_jobs)
                owner->add_policy(subject.policy);
            const auto decision =
                submit(*owner, message, std::move(subject.spec),
                       base::steady_now() + message.time_left);
            if (!decision.is_final)
                throw base::error(base::error_code::refused, "submit job",
                                  message.pool, decision.answer.reason);
            return to_reply(decision.answer);
        });
    server.handle<peer::query_job>(
        [this](const peer::call_context&, const peer::query_job& message)
        {
            const auto owner = claims_.find(message.pool);
            return to_reply(owner == nullptr
                                ? pools::job_answer{job_kind::unavailable, {}}
                                : status(*owner, message));
        });
    server.handle<peer::cancel_job>(
        [this](const peer::call_context&, const peer::cancel_job& message)
        {
            const auto owner = claims_.find(message.pool);
            return to_reply(
                owner == nullptr
                    ? pools::job_answer{job_kind::unavailable, {}}
                    : cancel(*owner, message,
                             base::steady_now() + message.time_left));
        });
    server.handle<peer::count_pending>(
        [this](const peer::call_context&, const peer::count_pending& message)
        {
            const auto owner = claims_.find(message.pool);
            const auto count =
                owner == nullptr ? std::nullopt : pending(*owner, message);
            return peer::pending_reply{count.has_value(), count.value_or(0)};
        });
    server.handle<peer::query_load>(
        [this](const peer::call_context&, const peer::query_load& message)
        {
            const auto owner = claims_.find(message.pool);
            return owner == nullptr ? peer::pool_load{}
                                    : answer_load(*owner, message);
        });
    server.handle<peer::release_worker>(
        [this](const peer::call_context&, const peer::release_worker& message)
        {
            const auto owner = claims_.find(message.pool);
            return peer::release_worker_reply{owner != nullptr &&
                                              apply_release(*owner, message)};
        });
}

} // namespace pimentograde::node
