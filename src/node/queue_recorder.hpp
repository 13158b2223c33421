#ifndef PIMENTOGRADE_NODE_QUEUE_RECORDER_HPP
#define PIMENTOGRADE_NODE_QUEUE_RECORDER_HPP

#include "base/time.hpp"
#include "net/task_group.hpp"
#include "net/wakeup.hpp"
#include "node/queue_knowledge.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::node
{

/// Keeps the queues' pools in the store, for instances that start after a
/// change of the configuration: they read the newest version only. An
/// assignment is stored before the first job is accepted under it, and an owner
/// accepts new jobs only under the newest one.
class queue_recorder
{
public:
    explicit queue_recorder(platform::store_client& store);
    ~queue_recorder();
    queue_recorder(const queue_recorder&) = delete;
    queue_recorder& operator=(const queue_recorder&) = delete;

    void start();
    /// Ends the loop; a write in progress must be cancelled at the client.
    void stop();

    void set_configuration(const platform::configuration& current);
    /// Items and changes under `session::prefix()`.
    void apply_listing(std::span<const platform::store_item> items);
    void apply_changes(std::span<const platform::store_event> events);

    /// The pools that the queues have had are known.
    [[nodiscard]] bool is_listed() const
    {
        return is_listed_ && (!is_unreadable_ || is_recovered_);
    }
    [[nodiscard]] const queue_knowledge& knowledge() const
    {
        return knowledge_;
    }
    [[nodiscard]] queue_knowledge& knowledge() { return knowledge_; }
    /// Waits until the route's assignment is stored, or until `deadline`;
    /// returns at once while the store does not answer, or if the assignment is
    /// superseded. Returns it if it is the newest one.
    std::optional<peer::queue_assignment>
    wait_stored(const platform::queue_route& route, base::time_point deadline);
    /// Reads the stored record. Throws `base::error` if it cannot be read,
    /// unless the pools that it may name are known.
    void refresh();

private:
    void run();
    void write();
    /// Takes all pools that have had an owner for pools that any queue may have
    /// had. Throws `base::error`.
    void recover();
    void adopt(const platform::store_item& item);

    platform::store_client& store_;
    queue_knowledge knowledge_;
    std::int64_t revision_ = 0;
    bool is_listed_ = false;
    /// The store's record cannot be read.
    bool is_unreadable_ = false;
    /// The pools that it may name are known.
    bool is_recovered_ = false;
    bool is_failing_ = false;
    net::wakeup work_;
    net::wakeup written_;
    net::stop_signal stop_;
    net::task_group fibers_;
};

} // namespace pimentograde::node

#endif
