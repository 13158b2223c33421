#include "node/worker_directory.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "platform/events.hpp"
#include "platform/keys.hpp"
#include "platform/worker_entry.hpp"

#include <algorithm>
#include <set>

namespace pimentograde::node
{

namespace
{

constexpr std::string_view key_prefix = platform::worker_prefix;

} // namespace

void worker_directory::apply_listing(
    std::span<const platform::store_item> items)
{
    std::set<std::string, std::less<>> present;
    for (const auto& item : items)
        present.insert(item.key.substr(key_prefix.size()));
    std::vector<std::string> gone;
    for (const auto& [id, worker] : workers_)
        if (!present.contains(id))
            gone.push_back(id);
    for (const std::string& id : gone)
        remove(id);
    std::erase_if(rejected_, [&](const auto& entry)
                  { return !present.contains(entry.first); });
    for (const auto& item : items)
        apply_item(item);
    is_listed_ = true;
}

void worker_directory::clear()
{
    workers_.clear();
    is_listed_ = false;
}

bool worker_directory::apply_changes(
    std::span<const platform::store_event> events)
{
    bool has_changed = false;
    for (const auto& event : events)
    {
        const std::string_view key = event.item.key;
        const std::string_view id = key.substr(key_prefix.size());
        if (event.is_deleted)
            rejected_.erase(std::string(id));
        const bool is_change =
            event.is_deleted ? remove(id) : apply_item(event.item);
        has_changed = has_changed || is_change;
    }
    return has_changed;
}

bool worker_directory::apply_item(const platform::store_item& item)
{
    const std::string id = item.key.substr(key_prefix.size());
    try
    {
        auto worker = platform::read_worker_entry(id, item.value);
        rejected_.erase(id);
        auto& known = workers_[id];
        if (known == worker)
            return false;
        known = std::move(worker);
        return true;
    }
    catch (const std::exception& failure)
    {
        note_rejected(id, failure.what());
        return remove(id);
    }
}

// Another writer may renew its entry as often as the workers do.
void worker_directory::note_rejected(const std::string& id,
                                     std::string_view reason)
{
    std::string& known = rejected_[id];
    if (known == reason)
        return;
    known = reason;
    log::write(platform::event_foreign_entry,
               {{"key", std::string(key_prefix) + id}, {"reason", reason}});
    on_rejected_();
}

bool worker_directory::remove(std::string_view id)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return false;
    workers_.erase(found);
    return true;
}

std::vector<jobs::worker_description>
worker_directory::workers_of(std::string_view pool) const
{
    std::vector<jobs::worker_description> result;
    for (const auto& [id, worker] : workers_)
        if (worker.pool == pool)
            result.push_back(worker);
    return result;
}

} // namespace pimentograde::node
