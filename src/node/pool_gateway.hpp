#ifndef PIMENTOGRADE_NODE_POOL_GATEWAY_HPP
#define PIMENTOGRADE_NODE_POOL_GATEWAY_HPP

#include "base/time.hpp"
#include "net/task_group.hpp"
#include "node/forwarded_jobs.hpp"
#include "node/peer_liveness.hpp"
#include "node/pool_claims.hpp"
#include "node/session.hpp"
#include "peer/peer_client.hpp"
#include "peer/peer_server.hpp"
#include "peer/pool_messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::node
{

/// Forwards requests for a pool to its owner, on this instance or another one.
/// Answers status queries from the store when the owner cannot be reached.
class pool_gateway
{
public:
    /// `has_predecessor`: see `forwarded_jobs`.
    pool_gateway(session& members, pool_claims& claims,
                 platform::store_client& store, bool has_predecessor);

    /// An instance has left; it may have forwarded submissions.
    void note_member_left(const member& entry, base::time_point now);
    void note_member_present(const member& entry);

    pools::submission_answer submit(const jobs::queue_policy& queue,
                                    std::string_view id, jobs::job_spec spec,
                                    base::time_point deadline);
    /// For a submission that no owner has decided on: an earlier call, whose
    /// answer was lost, may have handed the job in. A refusal does not wait for
    /// a slow store: the job is refused if no instance has forwarded it before.
    pools::submission_answer refuse_unless_stored(std::string_view pool,
                                                  std::string_view id,
                                                  std::string reason);
    pools::job_answer status(const jobs::queue_policy& queue,
                             std::string_view id, base::time_point deadline);
    /// `absent` only if the pool does not have the job and is not storing it.
    pools::job_answer status_before_submission(const jobs::queue_policy& queue,
                                               std::string_view id,
                                               base::time_point deadline);
    pools::job_answer cancel(const jobs::queue_policy& queue,
                             std::string_view id, base::time_point deadline);
    /// Empty when the owner cannot be reached.
    std::optional<std::int64_t> pending(const jobs::queue_policy& queue,
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
    peer::peer_client& client_of(const net::endpoint& address);
    /// Throws `base::error`.
    template <class Message>
    typename Message::reply_type send_to(const net::endpoint& where,
                                         const Message& message,
                                         base::time_point deadline);
    /// `unavailable` when there is no owner or it does not answer.
    pools::job_answer owner_status(const jobs::queue_policy& queue,
                                   std::string_view id,
                                   base::time_point deadline,
                                   bool is_before_submission);
    struct owner_decision
    {
        pools::submission_answer answer;
        /// Otherwise a refusal may concern a job that another owner has
        /// accepted.
        bool is_final = false;
    };
    /// Sends the submission to the owner, which must be known.
    owner_decision forward(const jobs::queue_policy& queue, std::string_view id,
                           jobs::job_spec spec, base::time_point deadline);
    /// `read_stored`, but empty also if the store does not answer soon.
    std::optional<pools::job_answer> look_up(std::string_view pool,
                                             std::string_view id);
    /// Whether all instances answer that they have not forwarded the job.
    bool no_member_has_forwarded(std::string_view pool, std::string_view id);
    bool member_excludes(const net::endpoint& address,
                         const peer::query_forwarded& message,
                         base::time_point deadline);
    /// Whether the owner's answer holds; a refusal may concern a job that it
    /// does not know.
    [[nodiscard]] bool is_decided(const pools::pool_owner& owner,
                                  std::string_view id,
                                  const pools::submission_answer& answer) const;
    /// The answer of an owner here. Once its lease may have ended, it denies no
    /// job, as the next owner may have accepted it; once it may send no more
    /// orders, it knows only the states of jobs that have ended.
    [[nodiscard]] pools::job_answer certain(pools::job_answer answer) const;
    /// Empty once the owner's lease may have ended: the next owner may have
    /// accepted and started jobs.
    [[nodiscard]] std::optional<int>
    certain_pending(const pools::pool_owner& owner,
                    std::string_view queue) const;
    /// The job's state in the store, `unavailable` if its record cannot be
    /// read; empty if the store does not answer.
    std::optional<pools::job_answer> read_stored(std::string_view pool,
                                                 std::string_view id);
    pools::job_answer stored_status(std::string_view pool, std::string_view id);

    session& session_;
    pool_claims& claims_;
    platform::store_client& store_;
    std::map<net::endpoint, std::unique_ptr<peer::peer_client>> clients_;
    std::map<net::endpoint, peer_liveness> liveness_;
    forwarded_jobs forwarded_;
    std::size_t open_inquiries_ = 0;
    net::task_group lookups_;
};

} // namespace pimentograde::node

#endif
