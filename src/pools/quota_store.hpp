#ifndef PIMENTOGRADE_POOLS_QUOTA_STORE_HPP
#define PIMENTOGRADE_POOLS_QUOTA_STORE_HPP

#include "base/time.hpp"
#include "jobs/pool_state.hpp"
#include "metrics/registry.hpp"
#include "net/wakeup.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::pools
{

/// Prefix of the keys of all tenants' grants.
inline constexpr std::string_view quota_prefix = "pimentograde-quota/";

/// Store key of a tenant's grants. A name that is too long for a key is
/// replaced by its digest.
std::string quota_key(std::string_view tenant);

/// Reads and writes the grants of one pool, in transactions that commit only
/// while this instance owns the pool. Makes no call unless a tenant has a cap.
/// `run` needs a fiber of its own, which begins after the claim: from then on
/// no earlier owner can change the pool's grants.
class quota_store
{
public:
    struct hooks
    {
        /// Called when another instance owns the pool, or none does.
        std::function<void(std::string_view reason)> on_ownership_lost;
        std::function<bool()> is_stopping;
        /// A grant has changed: more tasks may start.
        std::function<void()> on_change;
    };

    /// `counters` may be null.
    quota_store(std::string pool, std::string owner_key,
                std::int64_t owner_revision, jobs::pool_state& state,
                platform::store_client& store, metrics::registry* counters,
                hooks functions);

    void run();
    /// Call after each plan, and when `run` has to return.
    void notify() { work_.notify(); }

private:
    /// Returns whether it has called the store with success.
    bool act(base::time_point now);
    void report_shortages(base::time_point now);
    bool read(std::span<const std::string> tenants);
    bool write(std::span<const jobs::quota_write> writes);
    void apply_conflict(std::span<const jobs::quota_write> writes,
                        const platform::commit_result& result,
                        base::time_point now);
    void note_item(const std::string& tenant, const platform::store_item* item,
                   base::time_point now);
    void note_answer();
    void note_failure(std::string_view reason);
    void log_change(const jobs::quota_write& write);
    void count(std::string_view name, std::string_view tenant,
               std::uint64_t amount = 1);

    std::string pool_;
    std::string owner_key_;
    std::int64_t owner_revision_;
    jobs::pool_state& state_;
    platform::store_client& store_;
    metrics::registry* counters_;
    hooks hooks_;
    net::wakeup work_;
    bool is_failing_ = false;
};

} // namespace pimentograde::pools

#endif
