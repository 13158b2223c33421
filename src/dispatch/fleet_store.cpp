#include "dispatch/fleet_store.hpp"

#include "capacity/fleet_codec.hpp"

#include <utility>

namespace pimentograde::dispatch
{

namespace
{

constexpr std::string_view state_key = "fleet/state";

} // namespace

fleet_store::fleet_store(provider::kv_operations store, base::member_id self)
    : store_(std::move(store)), self_(std::move(self))
{
}

stored_fleet fleet_store::read(base::time_point deadline) const
{
    const provider::kv_entry entry = store_.get(state_key, deadline);
    stored_fleet stored;
    stored.store_version = entry.version;
    if (entry.version != 0)
        stored.state = capacity::decode(entry.value);
    return stored;
}

bool fleet_store::swap(stored_fleet& stored, capacity::fleet_state next,
                       base::wall_time now, base::time_point deadline) const
{
    next.version = stored.state.version + 1;
    next.written = now;
    next.writer = self_.str();
    const provider::swap_result result = store_.compare_and_swap(
        state_key, stored.store_version, capacity::encode(next), deadline);
    if (result.outcome != provider::swap_outcome::applied)
        return false;
    stored = {std::move(next), result.version};
    return true;
}

} // namespace pimentograde::dispatch
