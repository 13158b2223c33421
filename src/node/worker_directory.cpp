#include "node/worker_directory.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "platform/events.hpp"
#include "platform/worker_entry.hpp"

#include <algorithm>
#include <set>

namespace pimentograde::node
{

namespace
{

constexpr std::string_view key_prefix = "servers/";
// A worker that an earlier owner used may run on for its lease of 6 s after
// the owner's last order, up to 6 s after its last renewal.
constexpr std::chrono::seconds departure_memory{14};

} // namespace

std::string_view worker_directory::prefix()
{
    return key_prefix;
}

void worker_directory::apply_listing(
    std::span<const platform::store_item> items, base::time_point now)
{
    if (!is_followed_)
        followed_since_ = now;
    is_followed_ = true;
    std::set<std::string, std::less<>> present;
    for (const auto& item : items)
        present.insert(item.key.substr(key_prefix.size()));
    std::vector<std::string> gone;
    for (const auto& [id, worker] : workers_)
        if (!present.contains(id))
            gone.push_back(id);
    for (const std::string& id : gone)
        remove(id, now);
    for (const auto& item : items)
        apply_item(item, now);
}

void worker_directory::apply_changes(
    std::span<const platform::store_event> events, base::time_point now)
{
    for (const auto& event : events)
    {
        if (event.is_deleted)
            remove(std::string_view(event.item.key).substr(key_prefix.size()),
                   now);
        else
            apply_item(event.item, now);
    }
}

void worker_directory::apply_item(const platform::store_item& item,
                                  base::time_point now)
{
    const std::string id = item.key.substr(key_prefix.size());
    try
    {
        auto worker = platform::read_worker_entry(id, item.value);
        workers_.insert_or_assign(id, std::move(worker));
    }
    catch (const base::error& failure)
    {
        log::write(platform::event_foreign_entry,
                   {{"key", item.key}, {"reason", failure.what()}});
        remove(id, now);
    }
}

void worker_directory::remove(std::string_view id, base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return;
    departures_.push_back({found->second, now});
    workers_.erase(found);
    std::erase_if(departures_, [&](const departure& entry)
                  { return now - entry.at > departure_memory; });
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

std::vector<jobs::worker_description>
worker_directory::departed_of(std::string_view pool, base::time_point now) const
{
    std::vector<jobs::worker_description> result;
    for (const departure& entry : departures_)
        if (entry.worker.pool == pool && now - entry.at <= departure_memory &&
            !workers_.contains(entry.worker.id))
            result.push_back(entry.worker);
    return result;
}

bool worker_directory::is_complete(base::time_point now) const
{
    return is_followed_ && now - followed_since_ >= departure_memory;
}

} // namespace pimentograde::node
