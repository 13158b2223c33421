#ifndef PIMENTOGRADE_NODE_OWNED_POOLS_HPP
#define PIMENTOGRADE_NODE_OWNED_POOLS_HPP

#include "base/time.hpp"
#include "node/pool_claims.hpp"
#include "node/queue_recorder.hpp"
#include "node/session.hpp"
#include "peer/peer_server.hpp"
#include "peer/pool_messages.hpp"
#include "pools/pool_owner.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace pimentograde::node
{

/// Carries out requests for the pools that this instance owns, its own and
/// those of other instances. An owner that may have been replaced, or a sender
/// that does not know where the queue's new jobs are accepted, gets no denial.
class owned_pools
{
public:
    struct submission_decision
    {
        pools::submission_answer answer;
        /// Otherwise a refusal may concern a job that another owner has
        /// accepted.
        bool is_final = false;
    };

    owned_pools(session& members, pool_claims& claims, queue_recorder& queues);

    /// `message.record` is not read.
    submission_decision submit(pools::pool_owner& owner,
                               const peer::submit_job& message,
                               jobs::job_spec spec, base::time_point deadline);
    pools::job_answer status(pools::pool_owner& owner,
                             const peer::query_job& message);
    pools::job_answer cancel(pools::pool_owner& owner,
                             const peer::cancel_job& message,
                             base::time_point deadline);
    /// Empty if the number is not certain.
    std::optional<int> pending(const pools::pool_owner& owner,
                               const peer::count_pending& message);

    /// Adds handlers for other instances' requests.
    void add_handlers(peer::peer_server::builder& server);

private:
    /// Whether the sender knows the queue's newest assignment, or belongs to a
    /// version that does not tell.
    bool knows_newest(const std::optional<peer::queue_assignment>& stated);
    [[nodiscard]] pools::admission
    admission_of(const pools::pool_owner& owner,
                 const peer::submit_job& message);
    /// Whether the pool has a job of that id that a caller of the tenant may
    /// not see; logged.
    [[nodiscard]] static bool is_of_other_tenant(const pools::pool_owner& owner,
                                                 std::string_view job,
                                                 std::string_view tenant);
    /// An answer of an owner here. Once its lease may have ended, it denies no
    /// job, as the next owner may have accepted it; once it may send no more
    /// orders, it knows only the states of jobs that have ended.
    [[nodiscard]] pools::job_answer certain(pools::job_answer answer) const;

    session& session_;
    pool_claims& claims_;
    queue_recorder& queues_;
};

} // namespace pimentograde::node

#endif
