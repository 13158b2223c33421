#ifndef PIMENTOGRADE_NODE_POOL_GATEWAY_HPP
#define PIMENTOGRADE_NODE_POOL_GATEWAY_HPP

#include "base/time.hpp"
#include "net/task_group.hpp"
#include "node/forwarded_jobs.hpp"
#include "node/owned_pools.hpp"
#include "node/peer_clients.hpp"
#include "node/peer_liveness.hpp"
#include "node/pool_claims.hpp"
#include "node/queue_recorder.hpp"
#include "node/session.hpp"
#include "peer/peer_server.hpp"
#include "peer/pool_messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::node
{

/// A job as a caller names it. A job of another tenant is `absent` for the
/// caller, or `other_tenant` when it submits a job of that id.
struct named_job
{
    std::string_view id;
    /// The caller's tenant; empty where none applies.
    std::string_view tenant{};
};

/// Forwards requests for a pool to its owner, on this instance or another one.
/// Answers status queries from the store when the owner cannot be reached. With
/// each request of a queue goes its newest assignment that the caller knows.
class pool_gateway
{
public:
    /// `has_predecessor`: see `forwarded_jobs`.
    pool_gateway(session& members, pool_claims& claims, queue_recorder& queues,
                 platform::store_client& store, bool has_predecessor);

    /// An instance has left; it may have forwarded submissions.
    void note_member_left(const member& entry, base::time_point now);
    void note_member_present(const member& entry);

    /// For a queue whose newest assignment is to its pool. The queue's other
    /// pools must have been asked before, see `status_before_submission`.
    pools::submission_answer submit(const jobs::queue_policy& queue,
                                    const peer::queue_assignment& assignment,
                                    const named_job& job, jobs::job_spec spec,
                                    base::time_point deadline);
    /// Refuses a submission that must not be forwarded, if the owner can
    /// exclude that an earlier call has handed the job in or still does.
    pools::submission_answer refuse(const jobs::queue_policy& queue,
                                    const peer::queue_assignment& assignment,
                                    const named_job& job, std::string reason,
                                    base::time_point deadline);
    pools::job_answer status(const jobs::queue_policy& queue,
                             const peer::queue_assignment& assignment,
                             const named_job& job, base::time_point deadline);
    /// `absent` only if the pool does not have the job, is not storing it, and
    /// will not accept it under an earlier assignment of the queue.
    pools::job_answer
    status_before_submission(const jobs::queue_policy& queue,
                             const peer::queue_assignment& assignment,
                             const named_job& job, base::time_point deadline);
    pools::job_answer cancel(const jobs::queue_policy& queue,
                             const peer::queue_assignment& assignment,
                             const named_job& job, base::time_point deadline);
    /// Empty when the owner cannot be reached.
    std::optional<std::int64_t>
    pending(const jobs::queue_policy& queue,
            const peer::queue_assignment& assignment,
            base::time_point deadline);

    /// Load of a pool; `is_known` is false when the owner cannot be reached.
    peer::pool_load load(const peer::query_load& message,
                         base::time_point deadline);
    /// Asks the owner to free a worker; returns whether it is free, and false
    /// when the owner cannot be reached.
    bool release_worker(const std::string& pool, const std::string& worker,
                        base::duration hold, base::time_point deadline);
    /// Reports to the owner that the worker ended because of an order to its
    /// machine.
    void end_worker(const std::string& pool, const std::string& worker,
                    base::time_point deadline);

    /// Adds handlers for other instances' requests to the pools owned here.
    void add_handlers(peer::peer_server::builder& server);

private:
    bool send_release(const peer::release_worker& message,
                      base::time_point deadline);
    /// Throws `base::error`.
    template <class Message>
    typename Message::reply_type send_to(const net::endpoint& where,
                                         const Message& message,
                                         base::time_point deadline);
    /// `unavailable` when there is no owner or it does not answer.
    pools::job_answer owner_status(const jobs::queue_policy& queue,
                                   const peer::queue_assignment& assignment,
                                   const named_job& job,
                                   base::time_point deadline,
                                   bool is_before_submission);
    /// Sends the submission to the owner, which must be known.
    owned_pools::submission_decision
    forward(const jobs::queue_policy& queue,
            const peer::queue_assignment& assignment, const named_job& job,
            jobs::job_spec spec, base::time_point deadline);
    /// For a submission that no owner has decided on: an earlier call, whose
    /// answer was lost, may have handed the job in. A refusal does not wait for
    /// a slow store: the job is refused if no instance has forwarded it before.
    pools::submission_answer
    refuse_unless_stored(const peer::queue_assignment& assignment,
                         const named_job& job, std::string reason);
    /// `read_stored`, but empty also if the store does not answer soon.
    std::optional<pools::job_answer>
    look_up(const peer::queue_assignment& assignment, const named_job& job);
    /// Whether all instances answer that they have not forwarded the job.
    bool no_member_has_forwarded(const peer::queue_assignment& assignment,
                                 std::string_view id);
    bool member_excludes(const net::endpoint& address,
                         const peer::query_forwarded& message,
                         base::time_point deadline);
    [[nodiscard]] bool has_owner(std::string_view pool) const;
    /// Whether the store answers that no instance owns the pool.
    bool is_unclaimed(std::string_view pool);
    /// The job's state in the store; empty if the store does not answer.
    /// `unavailable` if its record cannot be read, or if the job is absent or
    /// of another tenant and the assignment is not the newest one.
    std::optional<pools::job_answer>
    read_stored(std::string_view pool, const peer::queue_assignment& assignment,
                const named_job& job);
    pools::job_answer stored_status(std::string_view pool,
                                    const peer::queue_assignment& assignment,
                                    const named_job& job);

    session& session_;
    pool_claims& claims_;
    queue_recorder& queues_;
    platform::store_client& store_;
    owned_pools owned_;
    peer_clients clients_;
    std::map<net::endpoint, peer_liveness> liveness_;
    forwarded_jobs forwarded_;
    std::size_t open_inquiries_ = 0;
    net::task_group lookups_;
};

} // namespace pimentograde::node

#endif
