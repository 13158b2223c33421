#ifndef PIMENTOGRADE_RECORDS_EVENTS_HPP
#define PIMENTOGRADE_RECORDS_EVENTS_HPP

#include "log/event.hpp"

namespace pimentograde::records
{

inline constexpr log::event event_store_failed{
    1701, log::severity::warning, "store unavailable for a record shard"};
inline constexpr log::event event_store_recovered{
    1702, log::severity::info, "record shard written again after an outage"};
inline constexpr log::event event_malformed_shard{
    1703, log::severity::error, "record shard has a malformed value"};
inline constexpr log::event event_shard_full{
    1704, log::severity::warning, "record shard full, new records refused"};

} // namespace pimentograde::records

#endif
