#include "node/pool_gateway.hpp"

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "node/pool_replies.hpp"
#include "pools/job_writer.hpp"

#include <boost/fiber/future.hpp>

#include <algorithm>
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

bool is_final(jobs::reported_status status)
{
    return status != jobs::reported_status::queued &&
           status != jobs::reported_status::running;
}

base::duration time_left(base::time_point deadline)
{
    return std::max<base::duration>(
        deadline - reply_reserve - base::steady_now(), base::duration::zero());
}

} // namespace

pool_gateway::pool_gateway(session& members, pool_claims& claims,
                           platform::store_client& store, bool has_predecessor)
    : session_(members), claims_(claims), store_(store),
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

peer::peer_client& pool_gateway::client_of(const net::endpoint& address)
{
    auto& client = clients_[address];
    if (!client)
        client = peer::peer_client::builder{}
                     .connect_to(address)
                     .authenticate_as({{base::member_id(session_.own().name),
                                        session_.own().incarnation},
                                       session_.peer_secret()})
                     .build();
    return *client;
}

template <class Message>
typename Message::reply_type pool_gateway::send_to(const net::endpoint& where,
                                                   const Message& message,
                                                   base::time_point deadline)
{
    // The holder that `where` belongs to may change during the call.
    peer::peer_client& client = client_of(where);
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

pools::submission_answer pool_gateway::submit(const jobs::queue_policy& queue,
                                              std::string_view id,
                                              jobs::job_spec spec,
                                              base::time_point deadline)
{
    if (claims_.find(queue.pool) == nullptr)
    {
        const holder* current = session_.holder_of(pool_role(queue.pool));
        if (current == nullptr)
            return refuse_unless_stored(queue.pool, id,
                                        "the pool has no owner");
        if (!liveness_[current->address].should_submit(base::steady_now()))
            return refuse_unless_stored(queue.pool, id,
                                        "the pool's owner does not answer");
    }
    forwarded_.note_forwarded(queue.pool, id, base::steady_now());
    const owner_decision decision =
        forward(queue, id, std::move(spec), deadline);
    if (decision.answer.outcome == submission_kind::accepted)
        forwarded_.note_accepted(queue.pool, id);
    if (decision.answer.outcome == submission_kind::refused)
        forwarded_.note_refused(queue.pool, id);
    if (decision.is_final)
        return decision.answer;
    return refuse_unless_stored(queue.pool, id, decision.answer.reason);
}

pool_gateway::owner_decision
pool_gateway::forward(const jobs::queue_policy& queue, std::string_view id,
                      jobs::job_spec spec, base::time_point deadline)
{
    if (const auto owner = claims_.find(queue.pool))
    {
        auto answer = owner->submit(id, std::move(spec), queue.name,
                                    deadline - reply_reserve);
        const bool is_final = is_decided(*owner, id, answer);
        return {std::move(answer), is_final};
    }
    jobs::job subject;
    subject.queue = queue.name;
    subject.policy = queue;
    subject.spec = std::move(spec);
    const peer::submit_job message{queue.pool, queue.name, std::string(id),
                                   jobs::encode_record(subject),
                                   time_left(deadline)};
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

pools::submission_answer
pool_gateway::refuse_unless_stored(std::string_view pool, std::string_view id,
                                   std::string reason)
{
    pools::submission_answer accepted{
        submission_kind::accepted, {}, "accepted before"};
    if (forwarded_.is_accepted(pool, id, base::steady_now()))
        return accepted;
    const auto stored = look_up(pool, id);
    if (stored && stored->outcome == job_kind::found)
        return accepted;
    const bool is_excluded =
        !forwarded_.contains(pool, id, base::steady_now()) &&
        (stored ? stored->outcome == job_kind::absent
                : no_member_has_forwarded(pool, id));
    if (is_excluded)
        return {submission_kind::refused, takeover_retry, std::move(reason)};
    return {submission_kind::unknown, takeover_retry,
            reason.append("; an earlier call may have handed the job in")};
}

std::optional<pools::job_answer> pool_gateway::look_up(std::string_view pool,
                                                       std::string_view id)
{
    using answer = std::optional<pools::job_answer>;
    if (lookups_.size() >= max_lookups || store_.is_silent())
        return std::nullopt;
    const auto lookup = std::make_shared<boost::fibers::promise<answer>>();
    auto stored = lookup->get_future();
    lookups_.spawn(
        [this, lookup, key_pool = std::string(pool), key_id = std::string(id)]
        { lookup->set_value(read_stored(key_pool, key_id)); });
    if (stored.wait_for(lookup_limit) != boost::fibers::future_status::ready)
        return std::nullopt;
    return stored.get();
}

bool pool_gateway::no_member_has_forwarded(std::string_view pool,
                                           std::string_view id)
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
    const peer::query_forwarded message{std::string(pool), std::string(id)};
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
        return client_of(address).send(message, deadline).is_excluded;
    }
    catch (const base::error&)
    {
        // It may have forwarded the job, or may have ended.
        return false;
    }
}

// An owner that has not loaded the pool, or is ending, refuses also jobs that
// were accepted before; one whose lease may have ended, those that the next
// owner has accepted.
bool pool_gateway::is_decided(const pools::pool_owner& owner,
                              std::string_view id,
                              const pools::submission_answer& answer) const
{
    return answer.outcome != submission_kind::refused ||
           certain(owner.status(id)).outcome == job_kind::absent;
}

pools::job_answer pool_gateway::certain(pools::job_answer answer) const
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

std::optional<int> pool_gateway::certain_pending(const pools::pool_owner& owner,
                                                 std::string_view queue) const
{
    if (!session_.holds_lease(base::suspend_aware_now()))
        return std::nullopt;
    return owner.pending(queue);
}

std::optional<pools::job_answer>
pool_gateway::read_stored(std::string_view pool, std::string_view id)
{
    std::optional<platform::store_item> item;
    try
    {
        item = store_.get(pools::record_prefix(pool) + std::string(id));
    }
    catch (const base::error&)
    {
        // The store does not answer, which its watches report.
        return std::nullopt;
    }
    if (!item)
        return pools::job_answer{job_kind::absent, {}};
    try
    {
        const jobs::job subject = jobs::decode_record(id, item->value);
        return pools::job_answer{
            job_kind::found,
            jobs::to_reported(subject.status, subject.has_started)};
    }
    catch (const base::error&)
    {
        // The owner that loads the pool reports the record.
        return pools::job_answer{job_kind::unavailable, {}};
    }
}

pools::job_answer pool_gateway::stored_status(std::string_view pool,
                                              std::string_view id)
{
    return read_stored(pool, id).value_or(
        pools::job_answer{job_kind::unavailable, {}});
}

pools::job_answer pool_gateway::owner_status(const jobs::queue_policy& queue,
                                             std::string_view id,
                                             base::time_point deadline,
                                             bool is_before_submission)
{
    if (const auto owner = claims_.find(queue.pool))
        return certain(is_before_submission
                           ? owner->status_before_submission(id)
                           : owner->status(id));
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return {job_kind::unavailable, {}};
    try
    {
        return from_reply(send_to(
            current->address,
            peer::query_job{queue.pool, std::string(id), is_before_submission},
            deadline - std::chrono::milliseconds(500)));
    }
    catch (const base::error&)
    {
        return {job_kind::unavailable, {}};
    }
}

pools::job_answer pool_gateway::status(const jobs::queue_policy& queue,
                                       std::string_view id,
                                       base::time_point deadline)
{
    const pools::job_answer answer = owner_status(queue, id, deadline, false);
    if (answer.outcome == job_kind::unavailable)
        return stored_status(queue.pool, id);
    return answer;
}

pools::job_answer
pool_gateway::status_before_submission(const jobs::queue_policy& queue,
                                       std::string_view id,
                                       base::time_point deadline)
{
    pools::job_answer answer = owner_status(queue, id, deadline, true);
    if (answer.outcome != job_kind::unavailable)
        return answer;
    const bool has_owner = claims_.find(queue.pool) != nullptr ||
                           session_.holder_of(pool_role(queue.pool)) != nullptr;
    answer = stored_status(queue.pool, id);
    // The owner may be storing the job.
    if (has_owner && answer.outcome == job_kind::absent)
        answer.outcome = job_kind::unavailable;
    return answer;
}

pools::job_answer pool_gateway::cancel(const jobs::queue_policy& queue,
                                       std::string_view id,
                                       base::time_point deadline)
{
    if (const auto owner = claims_.find(queue.pool))
        return certain(owner->cancel(id, deadline - reply_reserve));
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return {job_kind::unavailable, {}};
    try
    {
        return from_reply(send_to(
            current->address,
            peer::cancel_job{queue.pool, std::string(id), time_left(deadline)},
            deadline));
    }
    catch (const base::error&)
    {
        // Cancellation is idempotent, so the caller can retry.
        return {job_kind::unavailable, {}};
    }
}

std::optional<std::int64_t>
pool_gateway::pending(const jobs::queue_policy& queue,
                      base::time_point deadline)
{
    if (const auto owner = claims_.find(queue.pool))
        return certain_pending(*owner, queue.name);
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return std::nullopt;
    try
    {
        const auto reply =
            send_to(current->address,
                    peer::count_pending{queue.pool, queue.name}, deadline);
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
    server.handle<peer::submit_job>(
        [this](const peer::call_context&, const peer::submit_job& message)
        {
            const auto owner = claims_.find(message.pool);
            if (owner == nullptr)
                throw base::error(base::error_code::refused, "submit job",
                                  message.pool, "the pool is not owned here");
            jobs::job subject =
                jobs::decode_record(message.job, message.record);
            owner->add_policy(subject.policy);
            const auto answer = owner->submit(
                message.job, std::move(subject.spec), message.queue,
                base::steady_now() + message.time_left);
            if (!is_decided(*owner, message.job, answer))
                throw base::error(base::error_code::refused, "submit job",
                                  message.pool, answer.reason);
            return to_reply(answer);
        });
    server.handle<peer::query_job>(
        [this](const peer::call_context&, const peer::query_job& message)
        {
            const auto owner = claims_.find(message.pool);
            if (owner == nullptr)
                return to_reply({job_kind::unavailable, {}});
            return to_reply(
                certain(message.is_before_submission
                            ? owner->status_before_submission(message.job)
                            : owner->status(message.job)));
        });
    server.handle<peer::query_forwarded>(
        [this](const peer::call_context&, const peer::query_forwarded& message)
        {
            const base::time_point now = base::steady_now();
            return peer::forwarded_reply{
                forwarded_.is_complete(now) &&
                !forwarded_.contains(message.pool, message.job, now)};
        });
    server.handle<peer::cancel_job>(
        [this](const peer::call_context&, const peer::cancel_job& message)
        {
            const auto owner = claims_.find(message.pool);
            return to_reply(owner == nullptr
                                ? pools::job_answer{job_kind::unavailable, {}}
                                : certain(owner->cancel(
                                      message.job,
                                      base::steady_now() + message.time_left)));
        });
    server.handle<peer::count_pending>(
        [this](const peer::call_context&, const peer::count_pending& message)
        {
            const auto owner = claims_.find(message.pool);
            const auto count = owner == nullptr
                                   ? std::nullopt
                                   : certain_pending(*owner, message.queue);
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
