#include "pools/stored_pool.hpp"

#include "base/error.hpp"
#include "jobs/job_record.hpp"
#include "log/event.hpp"
#include "net/endpoint.hpp"
#include "net/task_group.hpp"
#include "pools/events.hpp"
#include "pools/job_writer.hpp"
#include "pools/ownership_times.hpp"

#include <functional>
#include <utility>

namespace pimentograde::pools
{

namespace
{

// Without one of its records, a pool would take a job for unknown and start it
// again.
std::vector<platform::store_item> read_records(const std::string& pool,
                                               platform::store_client& store)
{
    auto listing = store.list(record_prefix(pool));
    if (!listing.is_complete)
        throw base::error(base::error_code::invalid, "read records", pool,
                          "an item of the listing is unreadable");
    return std::move(listing.items);
}

// A worker that was left out would be taken for one without runs.
std::vector<jobs::roster_entry> read_roster(roster_store& roster)
{
    auto entries = roster.load();
    for (const jobs::roster_entry& entry : entries)
        if (!net::parse_endpoint(entry.worker.address))
            throw base::error(base::error_code::invalid, "read roster",
                              entry.worker.id,
                              "the address is not an IP address and port");
    return entries;
}

} // namespace

// Reads side by side, since a slow store takes hundreds of milliseconds a call.
std::optional<stored_pool>
read_stored_pool(const std::string& pool, platform::store_client& store,
                 roster_store& roster, const std::function<void()>& read_more)
{
    stored_pool result;
    int missing = 0;
    net::task_group reads;
    const auto read = [&](std::function<void()> work)
    {
        ++missing;
        reads.spawn(
            [&, work = std::move(work)]
            {
                try
                {
                    work();
                    --missing;
                }
                catch (const std::exception& failure)
                {
                    log::write(event_load_failed,
                               {{"pool", pool}, {"reason", failure.what()}});
                }
            });
    };
    read([&] { result.statistics = roster.load_statistics(); });
    read([&] { result.records = read_records(pool, store); });
    read([&] { result.roster = read_roster(roster); });
    read(read_more);
    reads.join();
    if (missing > 0)
        return std::nullopt;
    return result;
}

std::set<std::string, std::less<>>
restore_jobs(std::span<const platform::store_item> records,
             const std::string& pool, jobs::pool_state& state)
{
    std::set<std::string, std::less<>> unreadable;
    const std::size_t prefix_length = record_prefix(pool).size();
    const base::time_point now = base::steady_now();
    for (const auto& item : records)
    {
        const std::string id = item.key.substr(prefix_length);
        try
        {
            jobs::job subject = jobs::decode_record(id, item.value);
            subject.stored_revision = item.revision;
            state.restore(std::move(subject), now, base::wall_now());
        }
        catch (const base::error& failure)
        {
            unreadable.insert(id);
            log::write(event_record_invalid,
                       {{"job", id}, {"reason", failure.what()}});
        }
    }
    return unreadable;
}

// The process of the last owner may have ended, but not that of one before it.
base::duration inherited_lease(const jobs::roster_entry& entry,
                               base::duration lease)
{
    if (entry.lease_left)
        return *entry.lease_left;
    return unheard_worker_lease(lease);
}

} // namespace pimentograde::pools
