#include "pools/roster_store.hpp"

#include "base/error.hpp"
#include "log/event.hpp"
#include "pools/events.hpp"

#include <utility>

namespace pimentograde::pools
{

std::string roster_key(std::string_view pool)
{
    return std::string(roster_prefix).append(pool);
}

std::string statistics_key(std::string_view pool)
{
    return "pimentograde-statistics/" + std::string(pool);
}

roster_store::roster_store(std::string_view pool, std::string owner_key,
                           std::int64_t owner_revision,
                           platform::store_client& store)
    : key_(roster_key(pool)), statistics_key_(statistics_key(pool)),
      owner_key_(std::move(owner_key)), owner_revision_(owner_revision),
      store_(store)
{
}

std::vector<jobs::roster_entry> roster_store::load()
{
    const auto stored = store_.get(key_);
    revision_ = stored ? stored->revision : 0;
    if (!stored)
        return {};
    return jobs::decode_roster(stored->value);
}

jobs::statistics_table roster_store::load_statistics()
{
    const auto stored = store_.get(statistics_key_);
    try
    {
        return stored ? jobs::decode_statistics(stored->value)
                      : jobs::statistics_table{};
    }
    catch (const base::error& failure)
    {
        log::write(event_statistics_invalid,
                   {{"key", statistics_key_}, {"reason", failure.what()}});
        return {};
    }
}

roster_write roster_store::write(std::span<const jobs::roster_entry> roster,
                                 const jobs::statistics_table& statistics)
{
    const std::string value = jobs::encode_roster(roster);
    const auto result = store_.commit_repeatedly(
        {{{owner_key_, owner_revision_}, {key_, revision_}},
         {{key_, value, 0},
          {statistics_key_, jobs::encode_statistics(statistics), 0}},
         {}});
    if (result.outcome == platform::commit_result::kind::committed)
    {
        revision_ = result.revision;
        return roster_write::stored;
    }
    bool is_owner = false;
    bool is_stored = false;
    revision_ = 0;
    for (const platform::store_item& item : result.actual)
    {
        if (item.key == owner_key_)
            is_owner = item.revision == owner_revision_;
        if (item.key == key_)
        {
            revision_ = item.revision;
            // An earlier try of this write has taken effect.
            is_stored = item.value == value;
        }
    }
    if (!is_owner)
        return roster_write::not_owner;
    return is_stored ? roster_write::stored : roster_write::outdated;
}

} // namespace pimentograde::pools
