#ifndef PIMENTOGRADE_POOLS_STORED_POOL_HPP
#define PIMENTOGRADE_POOLS_STORED_POOL_HPP

#include "base/time.hpp"
#include "jobs/pool_state.hpp"
#include "jobs/queue_statistics.hpp"
#include "jobs/roster.hpp"
#include "platform/store_client.hpp"
#include "pools/roster_store.hpp"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::pools
{

/// What earlier owners of a pool have stored.
struct stored_pool
{
    jobs::statistics_table statistics;
    std::vector<platform::store_item> records;
    std::vector<jobs::roster_entry> roster;
};

/// Calls `read_more` beside the reads. Returns nothing when one of them has
/// thrown, which is logged.
std::optional<stored_pool> read_stored_pool(
    const std::string& pool, platform::store_client& store,
    roster_store& roster, const std::function<void()>& read_more = [] {});

/// Adds the jobs of the records. Returns the ids of those that cannot be read,
/// which are logged.
std::set<std::string, std::less<>>
restore_jobs(std::span<const platform::store_item> records,
             const std::string& pool, jobs::pool_state& state);

/// How long runs may last on a worker of an earlier owner that does not answer.
/// `lease` is the longest one that workers grant.
base::duration inherited_lease(const jobs::roster_entry& entry,
                               base::duration lease);

} // namespace pimentograde::pools

#endif
