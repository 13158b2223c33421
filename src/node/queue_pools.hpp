#ifndef PIMENTOGRADE_NODE_QUEUE_POOLS_HPP
#define PIMENTOGRADE_NODE_QUEUE_POOLS_HPP

#include "peer/pool_messages.hpp"
#include "platform/configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// The pools that each queue has been assigned to, in the order of assignment,
/// and the newest assignment. Jobs stay in the pool that accepted them, so a
/// job of the queue may lie in any of them. Queues are told apart by host and
/// path prefix, as callers do.
class queue_pools
{
public:
    /// Adds the assignments of a configuration. Beyond `max_queues`, drops the
    /// queues that it does not have, the ones that were added first before
    /// others. Returns whether anything has changed.
    bool add(const platform::configuration& current);
    /// The same, and makes its assignments where none newer is known.
    void assign(const platform::configuration& current);
    /// Adds what another instance knows.
    void merge(const queue_pools& other);
    /// Adds an assignment unless a newer one is known.
    void adopt(const peer::queue_assignment& stated);
    /// Adds a pool that any queue may have been assigned to.
    bool add_for_all(const std::string& pool);
    [[nodiscard]] bool contains(const platform::queue_route& route) const;
    /// The queue's pools without the one that the route names.
    [[nodiscard]] std::vector<std::string>
    earlier_pools(const platform::queue_route& route) const;
    /// The newest assignment; names no pool if none is known. `queue` is the
    /// queue's host and path prefix.
    [[nodiscard]] peer::queue_assignment newest(std::string_view queue) const;
    [[nodiscard]] peer::queue_assignment
    newest(const platform::queue_route& route) const;
    /// The newest assignments of all queues that have one.
    [[nodiscard]] std::vector<peer::queue_assignment> assignments() const;
    /// Whether the configuration of that version, which has the route, makes an
    /// assignment newer than the known ones.
    [[nodiscard]] bool is_reassigned(const platform::queue_route& route,
                                     std::int64_t version) const;
    /// Whether the sender of a message knows the newest assignment, too.
    [[nodiscard]] bool is_newest(const peer::queue_assignment& stated) const;
    bool operator==(const queue_pools&) const = default;

    [[nodiscard]] std::string encode() const;
    /// Throws `base::error` with `invalid`.
    static queue_pools decode(std::string_view text);

    /// Queues that are kept; the users' size in two years is about 600.
    static constexpr std::size_t max_queues = 2000;

private:
    struct entry
    {
        std::string queue;
        std::vector<std::string> pools;
        /// Empty if no assignment is known.
        std::string assigned_pool;
        /// Version of the configuration that made the assignment.
        std::int64_t since = 0;
        bool operator==(const entry&) const = default;
    };

    /// Queue of the pools that any queue may have had; no queue has this name.
    static constexpr std::string_view all_queues{};

    [[nodiscard]] const entry* find(std::string_view queue) const;
    bool add(std::string_view queue, const std::string& pool);

    /// In the order in which the queues were added.
    std::vector<entry> entries_;
    std::map<std::string, std::size_t, std::less<>> positions_;
};

} // namespace pimentograde::node

#endif
