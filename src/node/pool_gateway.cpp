#include "node/pool_gateway.hpp"

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "pools/job_writer.hpp"

#include <boost/fiber/future.hpp>

#include <algorithm>
#include <array>
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

constexpr std::array submission_names{"accepted", "refused", "unknown"};
constexpr std::array job_names{"found", "absent", "unavailable"};
constexpr std::array status_names{"queued", "running", "completed", "failed",
                                  "cancelled"};

template <class Enum, std::size_t Count>
std::string name_of(Enum value, const std::array<const char*, Count>& names)
{
    return names[static_cast<std::size_t>(value)];
}

template <class Enum, std::size_t Count>
Enum value_from_name(std::string_view value_name,
                     const std::array<const char*, Count>& names)
{
    for (std::size_t index = 0; index < Count; ++index)
        if (value_name == names[index])
            return static_cast<Enum>(index);
    // The owner has answered something; whether it acted is not known.
    throw base::error(base::error_code::cut_off, "read peer reply", "",
                      "unknown value: " + std::string(value_name));
}

peer::job_reply to_reply(const pools::job_answer& answer)
{
    return {name_of(answer.outcome, job_names),
            name_of(answer.status, status_names)};
}

pools::job_answer from_reply(const peer::job_reply& reply)
{
    return {value_from_name<job_kind>(reply.outcome, job_names),
            value_from_name<jobs::reported_status>(reply.status, status_names)};
}

peer::pool_load load_of(const pools::pool_owner& owner)
{
    constexpr double millis = 1000.0;
    const jobs::pool_state& state = owner.state();
    peer::pool_load load;
    load.is_known = owner.is_loaded();
    const base::time_point now = base::steady_now();
    load.backlog_core_ms = static_cast<std::int64_t>(
        state.waiting_work(now, base::wall_now()) * millis);
    load.usable_millis =
        static_cast<std::int64_t>(state.usable_cores(now) * millis);
    load.active_millis =
        static_cast<std::int64_t>(state.active_cores(now) * millis);
    load.arriving_millis =
        static_cast<std::int64_t>(state.arriving_cores(now) * millis);
    for (const auto& [id, worker] : state.workers())
    {
        peer::worker_load entry{
            id, static_cast<std::int64_t>(worker.runs.size()), 0};
        for (const auto& [task, run] : worker.runs)
        {
            const jobs::job* subject = state.find_job(task.job);
            if (subject != nullptr && subject->spec.is_long_running())
                ++entry.long_running;
        }
        load.workers.push_back(std::move(entry));
    }
    return load;
}

peer::pool_load answer_load(pools::pool_owner& owner,
                            const peer::query_load& message)
{
    owner.set_leaving_soon(message.leaving_soon);
    return load_of(owner);
}

bool apply_release(pools::pool_owner& owner,
                   const peer::release_worker& message)
{
    if (!message.has_ended)
        return owner.release_worker(message.worker, message.hold);
    owner.end_worker(message.worker);
    return true;
}

base::duration time_left(base::time_point deadline)
{
    return std::max<base::duration>(
        deadline - reply_reserve - base::steady_now(), base::duration::zero());
}

} // namespace

pool_gateway::pool_gateway(session& members, pool_claims& claims,
                           platform::store_client& store)
    : session_(members), claims_(claims), store_(store)
{
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
    if (const auto owner = claims_.find(queue.pool))
    {
        auto answer = owner->submit(id, std::move(spec), queue.name,
                                    deadline - reply_reserve);
        if (is_decided(*owner, id, answer))
            return answer;
        return refuse_unless_stored(queue.pool, id, answer.reason);
    }
    const holder* current = session_.holder_of(pool_role(queue.pool));
    if (current == nullptr)
        return refuse_unless_stored(queue.pool, id, "the pool has no owner");
    if (!liveness_[current->address].should_submit(base::steady_now()))
        return refuse_unless_stored(queue.pool, id,
                                    "the pool's owner does not answer");
    jobs::job subject;
    subject.queue = queue.name;
    subject.policy = queue;
    subject.spec = std::move(spec);
    const peer::submit_job message{queue.pool, queue.name, std::string(id),
                                   jobs::encode_record(subject),
                                   time_left(deadline)};
    try
    {
        const auto reply = send_to(current->address, message, deadline);
        return {
            value_from_name<submission_kind>(reply.outcome, submission_names),
            reply.retry_after, reply.reason};
    }
    catch (const base::error& failure)
    {
        if (failure.effect_unknown())
            return {submission_kind::unknown, {}, failure.what()};
        return refuse_unless_stored(queue.pool, id, failure.what());
    }
}

pools::submission_answer
pool_gateway::refuse_unless_stored(std::string_view pool, std::string_view id,
                                   std::string reason)
{
    pools::submission_answer refusal{submission_kind::refused, takeover_retry,
                                     std::move(reason)};
    if (lookups_.size() >= max_lookups || store_.is_silent())
        return refusal;
    const auto lookup = std::make_shared<boost::fibers::promise<bool>>();
    auto is_stored = lookup->get_future();
    lookups_.spawn(
        [this, lookup, key_pool = std::string(pool), key_id = std::string(id)]
        {
            lookup->set_value(stored_status(key_pool, key_id).outcome ==
                              job_kind::found);
        });
    const bool is_answered =
        is_stored.wait_for(lookup_limit) == boost::fibers::future_status::ready;
    if (!is_answered || !is_stored.get())
        return refusal;
    return {submission_kind::accepted, {}, "accepted before"};
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
    if (answer.outcome == job_kind::absent &&
        !session_.holds_lease(base::suspend_aware_now()))
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

pools::job_answer pool_gateway::stored_status(std::string_view pool,
                                              std::string_view id)
{
    try
    {
        const auto item =
            store_.get(pools::record_prefix(pool) + std::string(id));
        if (!item)
            return {job_kind::absent, {}};
        const jobs::job subject = jobs::decode_record(id, item->value);
        return {job_kind::found,
                jobs::to_reported(subject.status, subject.has_started)};
    }
    catch (const base::error&)
    {
        // Neither the owner nor the store can be reached.
        return {job_kind::unavailable, {}};
    }
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
            return peer::submit_reply{name_of(answer.outcome, submission_names),
                                      answer.retry_after, answer.reason};
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
