#ifndef PIMENTOGRADE_DISPATCH_FLEET_STORE_HPP
#define PIMENTOGRADE_DISPATCH_FLEET_STORE_HPP

#include "base/strong_id.hpp"
#include "capacity/fleet_state.hpp"
#include "provider/kv_operations.hpp"

#include <cstdint>

namespace pimentograde::dispatch
{

/// The fleet state as read from the store.
struct stored_fleet
{
    capacity::fleet_state state;
    /// Version of the store key; 0 when the key is absent.
    std::uint64_t store_version = 0;
};

/// Typed access to the store key `fleet/state`.
class fleet_store
{
public:
    fleet_store(provider::kv_operations store, base::member_id self);

    /// Throws `base::error`: the store's error, or `invalid` when the value is
    /// not a fleet state.
    [[nodiscard]] stored_fleet read(base::time_point deadline) const;

    /// Writes `next` if the key still has the version of `stored`. On success,
    /// sets `stored` to the written document. Returns false on a conflict.
    bool swap(stored_fleet& stored, capacity::fleet_state next,
              base::wall_time now, base::time_point deadline) const;

private:
    provider::kv_operations store_;
    base::member_id self_;
};

} // namespace pimentograde::dispatch

#endif
