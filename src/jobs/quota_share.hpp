#ifndef PIMENTOGRADE_JOBS_QUOTA_SHARE_HPP
#define PIMENTOGRADE_JOBS_QUOTA_SHARE_HPP

#include "base/time.hpp"
#include "jobs/quota_record.hpp"
#include "jobs/tenant.hpp"
#include "jobs/tenant_usage.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::jobs
{

/// A new division of a tenant's cap, valid for the revision that it replaces.
struct quota_write
{
    std::string tenant;
    std::int64_t expected_revision = 0;
    quota_record record;
    resource_amount grant_before;
    resource_amount grant_after;
};

/// What the store has to be asked for.
struct quota_actions
{
    std::vector<std::string> reads;
    std::vector<quota_write> writes;
};

/// A tenant with tasks that its grant holds back.
struct quota_shortage
{
    std::string tenant;
    resource_amount used;
    resource_amount limit;
    resource_amount waiting;
    std::uint64_t tasks = 0;
};

/// Decides for the owner of one pool which tasks its grants of the tenants'
/// caps allow, and when grants change. Addresses tenants whose demand moves
/// between pools faster than a pool may keep what it does not use.
class quota_share
{
public:
    explicit quota_share(std::string pool);

    /// Replaces the tenants of the configuration.
    void set_tenants(const tenant_table& tenants);
    /// Whether any tenant has a cap.
    [[nodiscard]] bool is_active() const { return !shares_.empty(); }
    [[nodiscard]] bool has_cap(std::string_view tenant) const
    {
        return shares_.contains(tenant);
    }
    /// Position of the tenant among those with a cap, by name; their number if
    /// it has none.
    [[nodiscard]] std::size_t index_of(std::string_view tenant) const;

    /// A plan begins. `room` is free on the workers that accept starts: more
    /// than that is not asked for.
    void begin_plan(const resource_amount& room);
    /// Tasks of the tenant are ready, or soon will be.
    void note_expected(std::string_view tenant, const resource_amount& need,
                       int count);
    /// Tasks of the tenant were held back.
    void note_held_back(std::string_view tenant, const resource_amount& need,
                        int count);
    /// Whether so many tasks may start together. The pool that holds more than
    /// half of a cap may exceed its grant by one task: a task that needs more
    /// than the rest of the cap would never start otherwise.
    [[nodiscard]] bool may_start(std::string_view tenant,
                                 const tenant_usage& usage,
                                 const resource_amount& need, int count) const;
    /// What the tenant may have running; nothing until its grant is known.
    [[nodiscard]] resource_amount limit_of(std::string_view tenant) const;
    /// The grant that is stored.
    [[nodiscard]] resource_amount grant_of(std::string_view tenant) const;

    /// What to read and write now. Reductions of the returned writes are in
    /// force from here on; the outcome of each write has to be noted.
    quota_actions decide(base::time_point now, const tenant_usage& usage);
    /// The store holds `record`; nothing if it is unreadable.
    void note_stored(std::string_view tenant, std::int64_t revision,
                     std::optional<quota_record> record, base::time_point now);
    /// A read has failed.
    void note_unread(std::string_view tenant, base::time_point now);
    /// A write got no answer: it may still take effect.
    void note_unanswered(std::string_view tenant, base::time_point now);
    /// The write has had no effect and will have none.
    void note_not_written(std::string_view tenant, base::time_point now);
    /// Tenants with tasks that were held back since the last call, each at most
    /// once a second.
    std::vector<quota_shortage> take_shortages(base::time_point now,
                                               const tenant_usage& usage);

private:
    /// What another pool says to need.
    struct stated_wish
    {
        resource_amount wanted;
        resource_amount granted;
        /// Since then it could have taken a free part.
        base::time_point since;
        bool is_stale = false;
    };
    struct share
    {
        resource_amount cap;
        /// Set until the grants have been read after the cap was lowered.
        std::optional<resource_amount> cap_before;
        /// Other owners may still apply another cap until then.
        bool is_cap_new = true;
        base::time_point watch_until{};
        bool is_cap_settled = false;
        bool is_known = false;
        std::int64_t revision = 0;
        quota_record stored;
        /// This pool's part and the sum of all in `stored`.
        resource_amount grant;
        resource_amount granted;
        /// The write under way, and its limit.
        quota_record sent;
        std::optional<resource_amount> sent_limit;
        /// Limit of earlier writes without an answer. It holds until the
        /// revision that they expect has been replaced.
        std::optional<resource_amount> unsure_limit;
        bool must_read = true;
        resource_amount waiting;
        std::uint64_t held_back = 0;
        base::time_point reported_at{};
        base::time_point decided_at{};
        base::time_point read_at{};
        base::time_point written_at{};
        base::time_point paused_until{};
        std::map<std::string, stated_wish, std::less<>> wishes;
        /// Largest demand since `peak_since`.
        resource_amount peak;
        std::optional<base::time_point> peak_since;
    };
    struct demand;

    [[nodiscard]] static resource_amount limit(const share& entry);
    [[nodiscard]] demand demand_of(const share& entry,
                                   const resource_amount& counted,
                                   const resource_amount& hidden) const;
    struct competition;
    [[nodiscard]] competition
    competition_for(const share& entry, const demand& wish,
                    std::int64_t resource_amount::*resource) const;
    void update_wishes(share& entry, base::time_point now) const;
    [[nodiscard]] resource_amount grown(const share& entry,
                                        const demand& wish) const;
    [[nodiscard]] resource_amount reduced(share& entry, const demand& wish,
                                          base::time_point now) const;
    [[nodiscard]] static std::optional<base::duration>
    read_interval(const share& entry, const demand& wish, base::time_point now);
    std::optional<quota_write> decide_write(const std::string& tenant,
                                            share& entry, const demand& wish,
                                            base::time_point now) const;

    std::string pool_;
    std::map<std::string, share, std::less<>> shares_;
    resource_amount room_;
};

} // namespace pimentograde::jobs

#endif
