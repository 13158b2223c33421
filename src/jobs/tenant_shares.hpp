#ifndef PIMENTOGRADE_JOBS_TENANT_SHARES_HPP
#define PIMENTOGRADE_JOBS_TENANT_SHARES_HPP

#include "base/time.hpp"
#include "jobs/tenant.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::jobs
{

/// How a job counts against the share of its tenant.
enum class share_use
{
    within,
    excess
};

/// One tenant's token bucket: it fills at `weight` tokens per second, and each
/// new job takes one. Addresses a tenant that sends many times its usual load.
class share_bucket
{
public:
    /// `weight` is more than 0.
    void set_weight(double weight) { weight_ = weight; }
    /// Takes a token if there is one beside `reserve`, a part of the depth.
    bool take(double reserve, base::time_point now);
    /// Time until a job that returns finds a token, after those that were told
    /// to return before.
    base::duration book_return(base::duration shortest, base::time_point now);

private:
    [[nodiscard]] double depth() const;
    void refill(base::time_point now);

    double weight_ = 0.0;
    double tokens_ = 0.0;
    bool is_filled_ = false;
    base::time_point refilled_at_{};
    /// The return that was booked last.
    base::time_point next_return_{};
    std::uint64_t spread_returns_ = 0;
};

/// Decides which jobs of a pool are within the shares of their tenants. State
/// is in memory only; a new owner begins with full buckets.
class tenant_shares
{
public:
    /// Replaces the tenants. Known ones keep their tokens; one without a
    /// weight has no share to exceed.
    void set_tenants(std::span<const tenant_policy> tenants);
    /// Counts a submission. A job without a tenant, or of one that is not
    /// configured, is within the share. A token counts what a tenant sends: it
    /// is not given back for a refusal, and a refused job that returns takes no
    /// second one. An excess job that returns takes a token only if enough are
    /// left for new jobs, whose objectives are still whole.
    share_use take(std::string_view tenant, std::string_view job,
                   base::time_point now);
    /// Whether a new job of the tenant would exceed its share; takes nothing.
    [[nodiscard]] bool would_exceed(std::string_view tenant,
                                    base::time_point now) const;
    /// The job was refused or withdrawn; it may be submitted again.
    void note_refused(std::string_view tenant, std::string_view job,
                      bool is_excess, base::time_point now);
    /// Whether the tenant's job has been refused as an excess job.
    [[nodiscard]] bool was_excess(std::string_view tenant,
                                  std::string_view job) const;
    /// Delay after which a refused excess job should return, within the bounds
    /// of admission and at least `shortest`.
    base::duration return_delay(std::string_view tenant,
                                base::duration shortest, base::time_point now);

private:
    struct refusal
    {
        std::string tenant;
        bool is_excess = false;
        /// `is_excess`, or that of an earlier refusal.
        bool was_excess = false;
        base::time_point at{};
    };
    void forget_refusals(base::time_point now);

    std::map<std::string, share_bucket, std::less<>> buckets_;
    /// Refused jobs by id.
    std::map<std::string, refusal, std::less<>> refused_;
    /// Ids of `refused_` in the order in which they were noted.
    std::deque<std::pair<base::time_point, std::string>> refused_order_;
};

} // namespace pimentograde::jobs

#endif
