#ifndef PIMENTOGRADE_NODE_WORKER_DIRECTORY_HPP
#define PIMENTOGRADE_NODE_WORKER_DIRECTORY_HPP

#include "jobs/worker_view.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentograde::node
{

/// The workers that are listed in the store.
class worker_directory
{
public:
    /// `on_rejected` is called for each entry that names no worker to use; once
    /// until its key is valid again, removed, or unusable for another reason.
    explicit worker_directory(std::function<void()> on_rejected)
        : on_rejected_(std::move(on_rejected))
    {
    }

    void apply_listing(std::span<const platform::store_item> items);
    /// Returns whether a worker has changed. Workers write often, but most
    /// writes are only heartbeats.
    bool apply_changes(std::span<const platform::store_event> events);

    /// Removes all workers until the next listing.
    void clear();
    /// Whether a listing has been applied since the last `clear`.
    [[nodiscard]] bool is_listed() const { return is_listed_; }
    [[nodiscard]] std::vector<jobs::worker_description>
    workers_of(std::string_view pool) const;

private:
    bool apply_item(const platform::store_item& item);
    bool remove(std::string_view id);
    void note_rejected(const std::string& id, std::string_view reason);

    std::function<void()> on_rejected_;
    /// Why the entries that name no worker to use were rejected, by id.
    std::map<std::string, std::string, std::less<>> rejected_;
    std::map<std::string, jobs::worker_description, std::less<>> workers_;
    bool is_listed_ = false;
};

} // namespace pimentograde::node

#endif
