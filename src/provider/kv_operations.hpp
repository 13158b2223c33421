#ifndef PIMENTOGRADE_PROVIDER_KV_OPERATIONS_HPP
#define PIMENTOGRADE_PROVIDER_KV_OPERATIONS_HPP

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::provider
{

/// Largest value that the store holds.
inline constexpr std::size_t max_value_bytes = std::size_t{1000} * 1000;

struct kv_entry
{
    std::string value;
    /// Grows with each write of the key; 0 when the key is absent.
    std::uint64_t version = 0;
};

struct kv_item
{
    std::string key;
    kv_entry entry;
};

enum class swap_outcome
{
    applied,
    /// The key has another version; nothing was written.
    conflict
};

struct swap_result
{
    swap_outcome outcome = swap_outcome::conflict;
    /// Version of the key after the call.
    std::uint64_t version = 0;
};

struct lease_grant
{
    /// Whether the caller holds the lease now.
    bool held = false;
    /// Who holds it.
    std::string holder;
};

/// The platform's key-value store, one hook for each operation. Each throws
/// `base::error`: with `unavailable` or `refused` nothing was done, with
/// `timeout` or `cut_off` a write may have taken effect.
struct kv_operations
{
    std::function<kv_entry(std::string_view key, base::time_point deadline)>
        get;
    /// `expected_version` 0 creates the key.
    std::function<swap_result(
        std::string_view key, std::uint64_t expected_version,
        std::string_view value, base::time_point deadline)>
        compare_and_swap;
    /// Returns when the key's version is above `seen_version`, or with the
    /// unchanged entry at the deadline.
    std::function<kv_entry(std::string_view key, std::uint64_t seen_version,
                           base::time_point deadline)>
        watch;
    std::function<std::vector<kv_item>(std::string_view prefix,
                                       base::time_point deadline)>
        list;
    /// Takes or renews a named lease.
    std::function<lease_grant(std::string_view name, std::string_view holder,
                              base::duration ttl, base::time_point deadline)>
        acquire_lease;
    std::function<void(std::string_view name, std::string_view holder,
                       base::time_point deadline)>
        release_lease;
    /// Writes a key that vanishes with the named lease.
    std::function<void(std::string_view key, std::string_view value,
                       std::string_view lease, base::time_point deadline)>
        put_leased;
};

} // namespace pimentograde::provider

#endif
