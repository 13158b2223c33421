#ifndef PIMENTOGRADE_ENTRY_WORK_ROUTER_HPP
#define PIMENTOGRADE_ENTRY_WORK_ROUTER_HPP

#include "base/work.hpp"
#include "config/bundle.hpp"
#include "dispatch/work_dispatcher.hpp"
#include "entry/access_control.hpp"
#include "peer/peer_client.hpp"
#include "peer/work_messages.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace pimentograde::entry
{

/// Decides which member handles a piece of work: idempotent requests are run
/// here; work with a record goes to the owner of its shard, so that one
/// member's writes batch, and is handled here when the owner is unreachable.
class work_router
{
public:
    struct hooks
    {
        dispatch::work_dispatcher* dispatcher = nullptr;
        std::function<std::shared_ptr<const config::bundle>()> bundle;
        /// Connection to the owner of a shard; null when that is this member.
        std::function<std::shared_ptr<peer::peer_client>(std::size_t shard)>
            owner_of;
        std::function<base::time_point()> now = base::steady_now;
    };

    explicit work_router(hooks calls);

    /// Throws `base::error` with `unauthorized` when the queue belongs to
    /// another department.
    base::work_result submit(const base::submission& work);
    std::optional<base::work_result>
    find_request(const base::work_identity& identity);
    std::optional<base::work_result> find_job(const caller_identity& caller,
                                              const base::job_id& job);
    std::optional<base::work_result> cancel_job(const caller_identity& caller,
                                                const base::job_id& job);

    /// Calls of other members. Never forwarded again.
    base::work_result handle_submit(const base::submission& work);
    peer::record_reply handle_read(const peer::read_record& message);

private:
    base::work_result run_here(const base::submission& work);
    std::optional<base::work_result> read_here(const peer::read_record& query);
    std::optional<base::work_result> read(const peer::read_record& query,
                                          std::optional<std::size_t> shard);
    void check_queue(const base::submission& work) const;
    base::submission with_queue_priority(base::submission work) const;

    hooks hooks_;
};

} // namespace pimentograde::entry

#endif
