#ifndef PIMENTOGRADE_NODE_QUEUE_KNOWLEDGE_HPP
#define PIMENTOGRADE_NODE_QUEUE_KNOWLEDGE_HPP

#include "node/queue_pools.hpp"
#include "peer/pool_messages.hpp"
#include "platform/configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// What an instance knows of the queues' pools, and what follows from it for
/// new jobs. A job is accepted in one pool only, since
/// - an assignment is stored before the owners of the queue's other pools are
///   asked for a job, and these are asked before the job is submitted,
/// - the question tells them of the assignment,
/// - each owner reads the stored record after its claim, and
/// - an owner accepts new jobs only under the newest assignment that it knows,
///   if that names its pool.
class queue_knowledge
{
public:
    /// Called when this instance learns that a queue has moved to another pool.
    void on_move(std::function<void(const peer::queue_assignment&)> hook);
    void set_configuration(const platform::configuration& current);
    /// The store holds this record.
    void read_record(queue_pools stored);
    /// Any queue may have had the pool.
    void add_pool_for_all(const std::string& pool);

    /// The queue's pools without the one that the route names.
    [[nodiscard]] std::vector<std::string>
    earlier_pools(const platform::queue_route& route) const
    {
        return known_.earlier_pools(route);
    }
    /// The queue's newest assignment that is known to be stored, with all pools
    /// that the queue has had before; names no pool if there is none.
    [[nodiscard]] peer::queue_assignment
    newest(const platform::queue_route& route) const
    {
        return known_.newest(route);
    }
    /// Whether the queue has been assigned to another pool by a configuration
    /// at least as new as the one of this instance.
    [[nodiscard]] bool is_superseded(const platform::queue_route& route) const;
    /// Whether the configuration makes assignments that the record lacks.
    [[nodiscard]] bool is_record_outdated() const;
    /// The record with them.
    [[nodiscard]] queue_pools next_record() const;

    /// Notes an assignment that another instance has read in the store. Returns
    /// whether it is the newest one.
    bool adopt(const peer::queue_assignment& stated);
    /// Whether the pool's owner may accept new jobs of a queue. `stated`: see
    /// `peer::submit_job`; without it, `queue_name` tells the queue.
    bool is_assigned(const std::optional<peer::queue_assignment>& stated,
                     std::string_view queue_name, std::string_view pool);

private:
    void note(const peer::queue_assignment& stated);

    std::function<void(const peer::queue_assignment&)> moved_ =
        [](const peer::queue_assignment&) {
        };
    std::optional<platform::configuration> configuration_;
    /// The pools of all configurations and records that this instance has read,
    /// and the newest assignments of the records.
    queue_pools known_;
    /// The newest assignments that this instance has read or been told of,
    /// without the pools that the queues had before.
    queue_pools stated_;
    queue_pools stored_;
};

} // namespace pimentograde::node

#endif
