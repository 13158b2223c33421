#ifndef PIMENTOGRADE_STANDIN_STORE_MODEL_HPP
#define PIMENTOGRADE_STANDIN_STORE_MODEL_HPP

#include "provider/kv_operations.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::standin
{

/// The rules of the platform's store, without its network. Versions come from
/// one counter for all keys, so a key that vanished and came back never has
/// an earlier version again.
class store_model
{
public:
    [[nodiscard]] provider::kv_entry get(std::string_view key,
                                         base::time_point now);
    /// The entry as it was `age` ago, as far as the last versions are kept.
    [[nodiscard]] provider::kv_entry
    get_stale(std::string_view key, base::duration age, base::time_point now);
    provider::swap_result compare_and_swap(std::string_view key,
                                           std::uint64_t expected_version,
                                           std::string_view value,
                                           base::time_point now);
    [[nodiscard]] std::vector<provider::kv_item>
    list(std::string_view prefix, base::duration age, base::time_point now);
    provider::lease_grant acquire_lease(std::string_view name,
                                        std::string_view holder,
                                        base::duration ttl,
                                        base::time_point now);
    /// Returns whether `holder` held the lease.
    bool release_lease(std::string_view name, std::string_view holder,
                       base::time_point now);
    /// Returns the version of the key; 0 when nobody holds the lease.
    std::uint64_t put_leased(std::string_view key, std::string_view value,
                             std::string_view lease_name, base::time_point now);
    /// Ends all leases; their keys vanish.
    void expire_all_leases(base::time_point now);
    [[nodiscard]] std::size_t total_bytes() const;

private:
    struct entry
    {
        /// Empty: the key is absent.
        std::shared_ptr<const std::string> value;
        std::uint64_t version = 0;
        base::time_point since;
    };
    struct slot
    {
        entry current;
        /// Latest last.
        std::deque<entry> earlier;
        std::string lease;
    };
    struct lease
    {
        std::string holder;
        base::time_point end;
    };

    void expire(base::time_point now);
    void drop_lease(const std::string& name, base::time_point now);
    static void replace(slot& target, entry next);

    std::map<std::string, slot, std::less<>> slots_;
    std::map<std::string, lease, std::less<>> leases_;
    std::uint64_t last_version_ = 0;
};

} // namespace pimentograde::standin

#endif
