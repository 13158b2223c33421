#ifndef PIMENTOGRADE_POOLS_ROSTER_STORE_HPP
#define PIMENTOGRADE_POOLS_ROSTER_STORE_HPP

#include "jobs/queue_statistics.hpp"
#include "jobs/roster.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::pools
{

/// Prefix of the keys of all pools' rosters.
inline constexpr std::string_view roster_prefix = "pimentograde-rosters/";

/// Store key of the roster: the workers that the pool's owner may use.
std::string roster_key(std::string_view pool);

/// Store key of what the pool's owners have learned; written with the roster.
std::string statistics_key(std::string_view pool);

enum class roster_write
{
    stored,
    /// An earlier write has taken effect late; the next one replaces it.
    outdated,
    /// Another instance owns the pool, or none does.
    not_owner
};

/// The stored roster of a pool. A write holds only while this instance owns the
/// pool and for the revision that it knows: a write without an answer may take
/// effect seconds later and must not replace a newer roster. Calls throw
/// `base::error`.
class roster_store
{
public:
    roster_store(std::string_view pool, std::string owner_key,
                 std::int64_t owner_revision, platform::store_client& store);

    /// Reads what the earlier owner left; call before the first write.
    std::vector<jobs::roster_entry> load();
    /// Empty when nothing that this version can read is stored.
    jobs::statistics_table load_statistics();
    roster_write write(std::span<const jobs::roster_entry> roster,
                       const jobs::statistics_table& statistics);
    /// Revision of the last roster that was read or written; 0 when unknown.
    [[nodiscard]] std::int64_t revision() const { return revision_; }

private:
    std::string key_;
    std::string statistics_key_;
    std::string owner_key_;
    std::int64_t owner_revision_;
    platform::store_client& store_;
    std::int64_t revision_ = 0;
};

} // namespace pimentograde::pools

#endif
