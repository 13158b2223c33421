#include "node/pool_gateway.hpp"

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "log/event.hpp"
#include "node/events.hpp"
#include "node/pool_replies.hpp"
#include "pools/job_writer.hpp"

#include <boost/fiber/future.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace pimentograde::node
{

namespace
{

using submission_kind = pools::submission_answer::kind;
using job_kind = pools::job_answer::kind;

// Retry interval for callers; a takeover of a pool takes about 3 s.
constexpr std::chrono::seconds takeover_retry{1};
// Time reserved for sending the response to the caller.
constexpr std::chrono::milliseconds reply_reserve{150};

// Callers of a pool without an owner should learn at once when to come back.
constexpr std::chrono::milliseconds lookup_limit{100};
// Bounds the memory of lookups that a slow store leaves open.
constexpr std::size_t max_lookups = 16;
// The other instances are asked after a lookup without an answer.
constexpr std::chrono::milliseconds inquiry_limit{150};
constexpr std::size_t max_inquiries = 16;

base::duration time_left(base::time_point deadline)
{
    return std::max<base::duration>(
        deadline - reply_reserve - base::steady_now(), base::duration::zero());
}

pools::submission_answer other_tenant_answer()
{
    return {
        submission_kind::other_tenant, {}, "another tenant's job has the id"};
}

} // namespace

pool_gateway::pool_gateway(session& members, pool_claims& claims,
                           queue_recorder& queues,
                           platform::store_client& store, bool has_predecessor)
    : session_(members), claims_(claims), queues_(queues), store_(store),
      owned_(members, claims, queues), clients_(members),
      forwarded_(has_predecessor, base::steady_now())
{
}

void pool_gateway::note_member_left(const member& entry, base::time_point now)
{
    forwarded_.note_member_left(entry.name, entry.incarnation, now);
}

void pool_gateway::note_member_present(const member& entry)
{
    forwarded_.note_member_present(entry.name, entry.incarnation);
}

template <class Message>
typename Message::reply_type pool_gateway::send_to(const net::endpoint& where,
                                                   const Message& message,
                                                   base::time_point deadline)
{
    // The holder that `where` belongs to may change during the call.
    peer::peer_client& client = clients_.at(where);
    peer_liveness& liveness = liveness_[where];
    liveness.begin_call(base::steady_now());
    try
    {
        auto reply = client.send(message, deadline);
        liveness.end_call(true, base::steady_now());
        return reply;
    }
    catch (const base::error& failure)
    {
        liveness.end_call(failure.code() != base::error_code::timeout,
                          base::steady_now());
        throw;
    }
}

pools::submission_answer pool_gateway::submit(
    const jobs::queue_policy& queue, const peer::queue_assignment& assignment,
    const named_job& job, jobs::job_spec spec, base::time_point deadline)
{
    if (claims_.find(queue.pool) == nullptr)
    {
        const holder* current = session_.holder_of(pool_role(queue.pool));
        if (current == nullptr)
            return refuse_unless_stored(assignment, job,
                                        "the pool has no owner");
        if (!liveness_[current->address].should_submit(base::steady_now()))
            return refuse_unless_stored(assignment, job,
                                        "the pool's owner does not answer");
    }
    forwarded_.note_forwarded(assignment.queue, job.id, base::steady_now());
    const owned_pools::submission_decision decision =
        forward(queue, assignment, job, std::move(spec), deadline);
    if (decision.answer.outcome == submission_kind::accepted)
        forwarded_.note_accepted(assignment.queue, job.id, job.tenant);
    if (decision.answer.outcome == submission_kind::refused ||
        decision.answer.outcome == submission_kind::other_tenant)
        forwarded_.note_refused(assignment.queue, job.id);
    if (decision.is_final)
        return decision.answer;
    return refuse_unless_stored(assignment, job, decision.answer.reason);
}

owned_pools::submission_decision pool_gateway::forward(
    const jobs::queue_policy& queue, const peer::queue_assignment& assignment,
    const named_job& job, jobs::job_spec spec, base::time_point deadline)
{
    peer::submit_job message{
        queue.pool,          queue.name, std::string(job.id),    {},
        time_left(deadline), assignment, std::string(job.tenant)};
    if (const auto owner = claims_.find(queue.pool))
        return owned_.submit(*owner, message, std::move(spec),
                             deadline - reply_reserve);
    jobs::job subject;
    subject.queue = queue.name;
    subject.policy = queue;
    subject.spec = std::move(spec);
    message.record = jobs::encode_record(subject);
    try
    {
        const holder* current = session_.holder_of(pool_role(queue.pool));
        return {from_reply(send_to(current->address, message, deadline)), true};
    }
    catch (const base::error& failure)
    {
        if (failure.effect_unknown())
            return {{submission_kind::unknown, {}, failure.what()}, true};
        return {{submission_kind::refused, takeover_retry, failure.what()},
                false};
    }
}

pools::submission_answer pool_gateway::refuse(
    const jobs::queue_policy& queue, const peer::queue_assignment& assignment,
    const named_job& job, std::string reason, base::time_point deadline)
{
    // Only such a query tells another tenant's job from an absent one.
    const bool is_before_submission = !job.tenant.empty();
    auto known =
        owner_status(queue, assignment, job, deadline, is_before_submission);
    if (known.outcome == job_kind::unavailable)
        known = stored_status(queue.pool, assignment, job);
    if (known.outcome == job_kind::other_tenant)
        return other_tenant_answer();
    if (known.outcome == job_kind::found)
        return {submission_kind::accepted, {}, "accepted before"};
    // The caller comes back, so the owner must go on to accept the job. An
    // earlier call may have forwarded it, and the owner may be storing it.
    const bool is_excluded =
        known.outcome == job_kind::absent &&
        !forwarded_.contains(assignment.queue, job.id, base::steady_now()) &&
        no_member_has_forwarded(assignment, job.id);
    if (is_excluded)
        return {submission_kind::refused, takeover_retry, std::move(reason)};
    return {submission_kind::unknown, takeover_retry,
            reason.append("; an earlier call may have handed the job in")};
}

pools::submission_answer
pool_gateway::refuse_unless_stored(const peer::queue_assignment& assignment,
                                   const named_job& job, std::string reason)
{
    pools::submission_answer accepted{
        submission_kind::accepted, {}, "accepted before"};
    if (forwarded_.is_accepted(assignment.queue, job.id, job.tenant,
                               base::steady_now()))
        return accepted;
    const auto stored = look_up(assignment, job);
    if (stored && stored->outcome == job_kind::found)
        return accepted;
    if (stored && stored->outcome == job_kind::other_tenant)
        return other_tenant_answer();
    const bool is_excluded =
        !forwarded_.contains(assignment.queue, job.id, base::steady_now()) &&
        (stored ? stored->outcome == job_kind::absent
                : no_member_has_forwarded(assignment, job.id));
    if (is_excluded)
        return {submission_kind::refused, takeover_retry, std::move(reason)};
    return {submission_kind::unknown, takeover_retry,
            reason.append("; an earlier call may have handed the job in")};
}

std::optional<pools::job_answer>
pool_gateway::look_up(const peer::queue_assignment& assignment,
                      const named_job& job)
{
    using answer = std::optional<pools::job_answer>;
    if (lookups_.size() >= max_lookups || store_.is_silent())
        return std::nullopt;
    const auto lookup = std::make_shared<boost::fibers::promise<answer>>();
    auto stored = lookup->get_future();
    lookups_.spawn(
        [this, lookup, assignment, id = std::string(job.id),
         tenant = std::string(job.tenant)] {
            lookup->set_value(
                read_stored(assignment.pool, assignment, {id, tenant}));
        });
    if (stored.wait_for(lookup_limit) != boost::fibers::future_status::ready)
        return std::nullopt;
    return stored.get();
}

bool pool_gateway::no_member_has_forwarded(
    const peer::queue_assignment& assignment, std::string_view id)
{
    const base::time_point now = base::steady_now();
    std::vector<net::endpoint> others;
    for (const auto& [name, entry] : session_.members())
        if (name != session_.own().name)
            others.push_back(entry.address);
    const bool is_anyone_silent =
        std::any_of(others.begin(), others.end(),
                    [&](const net::endpoint& address)
                    { return liveness_[address].is_silent(now); });
    if (!forwarded_.is_complete(now) || is_anyone_silent ||
        open_inquiries_ >= max_inquiries)
        return false;
    ++open_inquiries_;
    const peer::query_forwarded message{assignment.pool, std::string(id),
                                        assignment.queue};
    std::size_t excluding = 0;
    net::task_group queries;
    for (const net::endpoint& address : others)
        queries.spawn(
            [&]
            {
                if (member_excludes(address, message, now + inquiry_limit))
                    ++excluding;
            });
    queries.join();
    --open_inquiries_;
    return excluding == others.size();
}

bool pool_gateway::member_excludes(const net::endpoint& address,
                                   const peer::query_forwarded& message,
                                   base::time_point deadline)
{
    try
    {
        return clients_.at(address).send(message, deadline).is_excluded;
    }
    catch (const base::error&)
    {
        // It may have forwarded the job, or may have ended.
        return false;
    }
}

std::optional<pools::job_answer>
pool_gateway::read_stored(std::string_view pool,
                          const peer::queue_assignment& assignment,
                          const named_job& job)
{
    // Returns whether the store has answered; its watches report that it does
    // not.
    const auto succeeds = [](const std::function<void()>& read)
    {
        try
        {
            read();
            return true;
        }
        catch (const base::error&)
        {
            return false;
        }
    };
    bool is_refreshed = false;
    net::task_group reads;
    reads.spawn([&] { is_refreshed = succeeds([&] { queues_.refresh(); }); });
    std::optional<platform::store_item> item;
    const std::string key = pools::record_prefix(pool) + std::string(job.id);
    const bool is_read = succeeds([&] { item = store_.get(key); });
    reads.join();
    if (!is_read)
        return std::nullopt;
    try
    {
        std::optional<jobs::job> stored;
        if (item)
            stored = jobs::decode_record(job.id, item->value);
        if (stored && stored->is_accessible_to(job.tenant))
            return pools::job_answer{
                job_kind::found,
                jobs::to_reported(stored->status, stored->has_started)};
        if (stored)
            log::write(
                event_other_tenant,
                {{"job", job.id}, {"tenant", job.tenant}, {"pool", pool}});
        if (!is_refreshed)
            return std::nullopt;
        if (!queues_.knowledge().adopt(assignment))
            return pools::job_answer{job_kind::unavailable, {}};
        return pools::job_answer{
            stored ? job_kind::other_tenant : job_kind::absent, {}};
    }
    catch (const base::error&)
    {
        // The owner that loads the pool reports the record.
        return pools::job_answer{job_kind::unavailable, {}};
    }
}

pools::job_answer
pool_gateway::stored_status(std::string_view pool,
                            const peer::queue_assignment& assignment,
                            const named_job& job)
{
    return read_stored(pool, assignment, job)
        .value_or(pools::job_answer{job_kind::unavailable, {}});
}

pools::job_answer pool_gateway::owner_status(
    const jobs::queue_policy& queue, const peer::queue_assignment& assignment,
    const named_job& job, base::time_point deadline, bool is_before_submission)
{
    const peer::query_job message{queue.pool, std::string(job.id),
                                  is_before_submission, assignment,
                                  std::string(job.tenant)};
    if (const auto owner = claims_.find(queue.pool))
        return owned_.status(*owner, message);
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return {job_kind::unavailable, {}};
    try
    {
        return from_reply(send_to(current->address, message,
                                  deadline - std::chrono::milliseconds(500)));
    }
    catch (const base::error&)
    {
        return {job_kind::unavailable, {}};
    }
}

pools::job_answer pool_gateway::status(const jobs::queue_policy& queue,
                                       const peer::queue_assignment& assignment,
                                       const named_job& job,
                                       base::time_point deadline)
{
    pools::job_answer answer =
        owner_status(queue, assignment, job, deadline, false);
    if (answer.outcome == job_kind::unavailable)
        answer = stored_status(queue.pool, assignment, job);
    if (answer.outcome == job_kind::other_tenant)
        answer.outcome = job_kind::absent;
    return answer;
}

pools::job_answer pool_gateway::status_before_submission(
    const jobs::queue_policy& queue, const peer::queue_assignment& assignment,
    const named_job& job, base::time_point deadline)
{
    pools::job_answer answer =
        owner_status(queue, assignment, job, deadline, true);
    if (answer.outcome != job_kind::unavailable)
        return answer;
    // An owner may be storing the job. One that this instance has not heard of
    // may also have begun before the assignment was stored.
    const bool is_unowned = !has_owner(queue.pool) && is_unclaimed(queue.pool);
    answer = stored_status(queue.pool, assignment, job);
    if (!is_unowned && answer.outcome == job_kind::absent)
        answer.outcome = job_kind::unavailable;
    return answer;
}

bool pool_gateway::has_owner(std::string_view pool) const
{
    return claims_.find(pool) != nullptr ||
           session_.holder_of(pool_role(pool)) != nullptr;
}

bool pool_gateway::is_unclaimed(std::string_view pool)
{
    try
    {
        return !store_.get(session::role_key(pool_role(pool)));
    }
    catch (const base::error&)
    {
        // The store does not answer, which its watches report.
        return false;
    }
}

pools::job_answer pool_gateway::cancel(const jobs::queue_policy& queue,
                                       const peer::queue_assignment& assignment,
                                       const named_job& job,
                                       base::time_point deadline)
{
    const peer::cancel_job message{queue.pool, std::string(job.id),
                                   time_left(deadline), assignment,
                                   std::string(job.tenant)};
    if (const auto owner = claims_.find(queue.pool))
        return owned_.cancel(*owner, message, deadline - reply_reserve);
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return {job_kind::unavailable, {}};
    try
    {
        return from_reply(send_to(current->address, message, deadline));
    }
    catch (const base::error&)
    {
        // Cancellation is idempotent, so the caller can retry.
        return {job_kind::unavailable, {}};
    }
}

std::optional<std::int64_t>
pool_gateway::pending(const jobs::queue_policy& queue,
                      const peer::queue_assignment& assignment,
                      base::time_point deadline)
{
    const peer::count_pending message{queue.pool, queue.name, assignment};
    if (const auto owner = claims_.find(queue.pool))
        return owned_.pending(*owner, message);
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return std::nullopt;
    try
    {
        const auto reply = send_to(current->address, message, deadline);
        if (reply.is_known)
            return reply.count;
    }
    catch (const base::error&)
    {
        // The caller retries.
        return std::nullopt;
    }
    return std::nullopt;
}

peer::pool_load pool_gateway::load(const peer::query_load& message,
                                   base::time_point deadline)
{
    if (const auto owner = claims_.find(message.pool))
        return answer_load(*owner, message);
    const holder* current = session_.holder_of(pool_role(message.pool));
    if (current == nullptr)
        return {};
    try
    {
        return send_to(current->address, message, deadline);
    }
    catch (const base::error&)
    {
        // The next round retries.
        return {};
    }
}

bool pool_gateway::send_release(const peer::release_worker& message,
                                base::time_point deadline)
{
    if (const auto owner = claims_.find(message.pool))
        return apply_release(*owner, message);
    const holder* current = session_.holder_of(pool_role(message.pool));
    if (current == nullptr)
        return false;
    try
    {
        return send_to(current->address, message, deadline).is_released;
    }
    catch (const base::error&)
    {
        // The next round retries.
        return false;
    }
}

bool pool_gateway::release_worker(const std::string& pool,
                                  const std::string& worker,
                                  base::duration hold,
                                  base::time_point deadline)
{
    return send_release({pool, worker, hold, false}, deadline);
}

void pool_gateway::end_worker(const std::string& pool,
                              const std::string& worker,
                              base::time_point deadline)
{
    send_release({pool, worker, base::duration::zero(), true}, deadline);
}

void pool_gateway::add_handlers(peer::peer_server::builder& server)
{
    owned_.add_handlers(server);
    server.handle<peer::query_forwarded>(
        [this](const peer::call_context&, const peer::query_forwarded& message)
        {
            const base::time_point now = base::steady_now();
            return peer::forwarded_reply{
                !message.queue.empty() && forwarded_.is_complete(now) &&
                !forwarded_.contains(message.queue, message.job, now)};
        });
}

} // namespace pimentograde::node
