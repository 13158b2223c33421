#include "jobs/tenant_shares.hpp"

#include "jobs/admission.hpp"
#include "jobs/seconds.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// Depth of a bucket in seconds of the tenant's weight. Only what exceeds the
// weight over a second is excess: with 5 s, the first seconds of three noisy
// tenants cost the others 4 % of their jobs.
constexpr double depth_seconds = 1.0;
// Small tenants' jobs arrive in random groups: with a depth of 4, tenants that
// send two thirds of their weight had up to 0.7 % of their jobs refused, with 6
// none.
constexpr double min_depth = 6.0;
// Part of the depth that a returning excess job leaves to new jobs. With 0.2,
// returns cost the quiet tenants beside three noisy ones 0.3 % of their jobs.
constexpr double return_reserve = 0.8;
// A submission this long after its last refusal counts as a new one; longer
// than the longest delay that a caller is asked to wait.
constexpr std::chrono::seconds refusal_retention{25};
// Returns that would be later than the longest delay are spread over the end of
// it: over half of it, or over a quarter where the backlog takes that long.
constexpr double min_spread_begin = 0.5;
constexpr double max_spread_begin = 0.75;
// Multiples of the golden ratio are spread evenly, whatever their number.
constexpr double golden_ratio = 0.6180339887498949;

} // namespace

double share_bucket::depth() const
{
    return std::max(min_depth, depth_seconds * weight_);
}

void share_bucket::refill(base::time_point now)
{
    if (!std::exchange(is_filled_, true))
        tokens_ = depth();
    else if (now > refilled_at_)
        tokens_ += weight_ * base::count_seconds(now - refilled_at_);
    tokens_ = std::min(tokens_, depth());
    refilled_at_ = std::max(refilled_at_, now);
}

bool share_bucket::take(double reserve, base::time_point now)
{
    refill(now);
    if (tokens_ < 1.0 + reserve * depth())
        return false;
    tokens_ -= 1.0;
    return true;
}

base::duration share_bucket::book_return(base::duration shortest,
                                         base::time_point now)
{
    const double longest = base::count_seconds(max_retry_after);
    refill(now);
    const double missing =
        std::max(0.0, 1.0 + return_reserve * depth() - tokens_);
    const base::time_point at = std::max(
        {now + shortest,
         now + from_seconds(std::min(missing / weight_, longest)),
         next_return_ + from_seconds(std::min(1.0 / weight_, longest))});
    if (at < now + max_retry_after)
    {
        next_return_ = at;
        return std::max<base::duration>(at - now, min_retry_after);
    }
    const double position =
        std::fmod(static_cast<double>(++spread_returns_) * golden_ratio, 1.0);
    const double begin =
        std::clamp(base::count_seconds(shortest), min_spread_begin * longest,
                   max_spread_begin * longest);
    return from_seconds(begin + position * (longest - begin));
}

void tenant_shares::set_tenants(std::span<const tenant_policy> tenants)
{
    std::map<std::string, share_bucket, std::less<>> buckets;
    for (const tenant_policy& entry : tenants)
    {
        if (entry.weight <= 0.0)
            continue;
        const auto known = buckets_.find(entry.name);
        share_bucket bucket =
            known == buckets_.end() ? share_bucket() : known->second;
        bucket.set_weight(entry.weight);
        buckets.emplace(entry.name, bucket);
    }
    buckets_ = std::move(buckets);
}

void tenant_shares::forget_refusals(base::time_point now)
{
    while (!refused_order_.empty() &&
           now - refused_order_.front().first > refusal_retention)
    {
        const auto found = refused_.find(refused_order_.front().second);
        // A job that was refused again has a later entry.
        if (found != refused_.end() &&
            found->second.at == refused_order_.front().first)
            refused_.erase(found);
        refused_order_.pop_front();
    }
}

share_use tenant_shares::take(std::string_view tenant, std::string_view job,
                              base::time_point now)
{
    const auto bucket = tenant.empty() ? buckets_.end() : buckets_.find(tenant);
    if (bucket == buckets_.end())
        return share_use::within;
    forget_refusals(now);
    const auto earlier = refused_.find(job);
    const bool returns =
        earlier != refused_.end() && earlier->second.tenant == tenant;
    if (returns && !earlier->second.is_excess)
        return share_use::within;
    return bucket->second.take(returns ? return_reserve : 0.0, now)
               ? share_use::within
               : share_use::excess;
}

bool tenant_shares::would_exceed(std::string_view tenant,
                                 base::time_point now) const
{
    const auto bucket = tenant.empty() ? buckets_.end() : buckets_.find(tenant);
    if (bucket == buckets_.end())
        return false;
    share_bucket copy = bucket->second;
    return !copy.take(0.0, now);
}

void tenant_shares::note_refused(std::string_view tenant, std::string_view job,
                                 bool is_excess, base::time_point now)
{
    if (tenant.empty() || !buckets_.contains(tenant))
        return;
    refused_.insert_or_assign(
        std::string(job), refusal{std::string(tenant), is_excess,
                                  is_excess || was_excess(tenant, job), now});
    refused_order_.emplace_back(now, job);
}

bool tenant_shares::was_excess(std::string_view tenant,
                               std::string_view job) const
{
    const auto found = refused_.find(job);
    return found != refused_.end() && found->second.tenant == tenant &&
           found->second.was_excess;
}

base::duration tenant_shares::return_delay(std::string_view tenant,
                                           base::duration shortest,
                                           base::time_point now)
{
    const auto bucket = buckets_.find(tenant);
    return bucket == buckets_.end() ? shortest
                                    : bucket->second.book_return(shortest, now);
}

} // namespace pimentograde::jobs
