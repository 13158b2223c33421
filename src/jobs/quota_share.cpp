#include "jobs/quota_share.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// A grant exceeds the demand by a quarter, or by this part of the cap if that
// is more, so that a burst needs few writes.
constexpr int headroom_divisor = 4;
constexpr int step_divisor = 16;
// A quarter of the grant that is unused for this long goes back.
constexpr int idle_divisor = 4;
constexpr std::chrono::seconds idle_time{1};
// The same while most of the cap is free, so that demand which alternates does
// not cause a write each second.
constexpr std::chrono::seconds idle_time_with_free_cap{5};
// Another pool must get what is unused within a second: the short pool asks
// and looks this often, and a holder looks that often.
constexpr std::chrono::milliseconds short_read_interval{250};
constexpr std::chrono::milliseconds idle_read_interval{500};
constexpr std::chrono::milliseconds over_cap_read_interval{250};
constexpr std::chrono::milliseconds new_cap_read_interval{250};
// Writes that gain nothing for this pool are at least this far apart.
constexpr std::chrono::milliseconds give_interval{250};
constexpr std::chrono::milliseconds ask_interval{500};
constexpr std::chrono::milliseconds retry_delay{250};
// Allows for two looks of a short pool and its write.
constexpr std::chrono::seconds stale_wish_time{1};
constexpr std::chrono::seconds report_interval{1};
// Instances apply a confirmed version within 3 s; grants may be raised under an
// older cap until then.
constexpr std::chrono::milliseconds cap_change_time{4000};

bool is_limited(const resource_amount& cap)
{
    return std::any_of(quota_resources.begin(), quota_resources.end(),
                       [&](auto resource) { return cap.*resource > 0; });
}

resource_amount at_most(const resource_amount& left,
                        const resource_amount& right)
{
    resource_amount result;
    for (const auto resource : quota_resources)
        result.*resource = std::min(left.*resource, right.*resource);
    return result;
}

resource_amount at_least(const resource_amount& left,
                         const resource_amount& right)
{
    resource_amount result;
    for (const auto resource : quota_resources)
        result.*resource = std::max(left.*resource, right.*resource);
    return result;
}

resource_amount times(const resource_amount& need, int count)
{
    resource_amount result;
    for (const auto resource : quota_resources)
        result.*resource = need.*resource * count;
    return result;
}

// Dividing a cap among many short pools takes up to 0.2 ms.
base::duration decision_interval(const quota_record& record)
{
    constexpr std::chrono::microseconds for_each_pool{500};
    constexpr std::chrono::milliseconds longest{100};
    return std::min<base::duration>(
        for_each_pool * static_cast<std::int64_t>(record.wanted.size()),
        longest);
}

// The largest part such that parts of at most this size, and no larger than
// each pool's demand, do not exceed the cap together.
std::int64_t fair_part(std::int64_t cap, std::vector<std::int64_t> demands)
{
    std::sort(demands.begin(), demands.end());
    std::int64_t left = cap;
    auto pools = static_cast<std::int64_t>(demands.size());
    for (const std::int64_t needed : demands)
    {
        if (needed * pools > left)
            return left / pools;
        left -= needed;
        --pools;
    }
    return cap;
}

} // namespace

/// What the pool needs of one tenant's cap.
struct quota_share::demand
{
    /// May be running.
    resource_amount used;
    /// The same with what waits.
    resource_amount total;
};

/// What other pools need of one resource of the tenant's cap.
struct quota_share::competition
{
    std::int64_t free = 0;
    /// What short pools lack.
    std::int64_t missing = 0;
    /// The part that this pool may hold while others are short.
    std::int64_t fair = 0;
};

quota_share::quota_share(std::string pool) : pool_(std::move(pool)) {}

void quota_share::set_tenants(const tenant_table& tenants)
{
    std::erase_if(shares_,
                  [&](const auto& entry)
                  {
                      const auto found = tenants.find(entry.first);
                      return found == tenants.end() ||
                             !is_limited(found->second.cap);
                  });
    for (const auto& [name, policy] : tenants)
    {
        if (!is_limited(policy.cap))
            continue;
        const auto [found, is_new] = shares_.try_emplace(name);
        share& entry = found->second;
        if (entry.cap == policy.cap)
            continue;
        const resource_amount& cap = policy.cap;
        const auto is_lower = [&cap, &entry](auto resource)
        {
            return cap.*resource > 0 && (entry.cap.*resource == 0 ||
                                         cap.*resource < entry.cap.*resource);
        };
        const bool is_lowered = std::any_of(quota_resources.begin(),
                                            quota_resources.end(), is_lower);
        if (is_lowered && !is_new)
        {
            entry.cap_before =
                at_least(entry.cap_before.value_or(entry.cap), entry.cap);
        }
        entry.is_cap_new = true;
        entry.cap = policy.cap;
    }
}

std::size_t quota_share::index_of(std::string_view tenant) const
{
    return static_cast<std::size_t>(
        std::distance(shares_.begin(), shares_.find(tenant)));
}

void quota_share::begin_plan(const resource_amount& room)
{
    room_ = room;
    for (auto& [name, entry] : shares_)
        entry.waiting = {};
}

void quota_share::note_expected(std::string_view tenant,
                                const resource_amount& need, int count)
{
    if (const auto found = shares_.find(tenant); found != shares_.end())
        found->second.waiting += times(need, count);
}

void quota_share::note_held_back(std::string_view tenant,
                                 const resource_amount& need, int count)
{
    note_expected(tenant, need, count);
    if (const auto found = shares_.find(tenant); found != shares_.end())
        found->second.held_back += static_cast<std::uint64_t>(count);
}

resource_amount quota_share::limit(const share& entry)
{
    if (!entry.is_known)
        return {};
    resource_amount result = entry.grant;
    if (entry.sent_limit)
        result = at_most(result, *entry.sent_limit);
    if (entry.unsure_limit)
        result = at_most(result, *entry.unsure_limit);
    // Until it has read the grants under a lower cap, the pool supposes that
    // all of the earlier cap was granted.
    const resource_amount granted =
        entry.cap_before ? at_least(entry.granted, *entry.cap_before)
                         : entry.granted;
    // Whatever the other pools run within their grants, the cap holds then.
    for (const auto resource : quota_resources)
        if (entry.cap.*resource > 0 && granted.*resource > entry.cap.*resource)
            result.*resource = std::max<std::int64_t>(
                0,
                result.*resource - (granted.*resource - entry.cap.*resource));
    return result;
}

resource_amount quota_share::limit_of(std::string_view tenant) const
{
    const auto found = shares_.find(tenant);
    return found == shares_.end() ? resource_amount{} : limit(found->second);
}

resource_amount quota_share::grant_of(std::string_view tenant) const
{
    const auto found = shares_.find(tenant);
    return found == shares_.end() ? resource_amount{} : found->second.grant;
}

bool quota_share::may_start(std::string_view tenant, const tenant_usage& usage,
                            const resource_amount& need, int count) const
{
    const auto found = shares_.find(tenant);
    if (found == shares_.end())
        return true;
    const share& entry = found->second;
    const resource_amount allowed = limit(entry);
    const resource_amount grant = entry.grant;
    const resource_amount counted = usage.used_by(tenant);
    const resource_amount hidden = at_most(grant, usage.hidden());
    const bool knows_use = usage.hidden() == resource_amount{};
    return std::all_of(
        quota_resources.begin(), quota_resources.end(),
        [&](auto resource)
        {
            const std::int64_t one = need.*resource;
            if (entry.cap.*resource == 0 || one == 0)
                return true;
            const std::int64_t before =
                counted.*resource + hidden.*resource + one * (count - 1);
            if (before + one <= allowed.*resource)
                return true;
            const bool holds_most = entry.is_cap_settled &&
                                    grant.*resource * 2 > entry.cap.*resource &&
                                    allowed.*resource == grant.*resource;
            return holds_most && knows_use && before <= allowed.*resource;
        });
}

quota_share::demand quota_share::demand_of(const share& entry,
                                           const resource_amount& counted,
                                           const resource_amount& hidden) const
{
    const resource_amount grant = entry.grant;
    demand wish;
    wish.used = counted;
    wish.used += at_most(grant, hidden);
    wish.total = wish.used;
    // Runs that are not known hold the grant, but need no larger one unless
    // tasks wait.
    if (entry.waiting == resource_amount{})
        wish.total = at_most(wish.used, at_least(grant, counted));
    wish.total += at_most(entry.waiting, room_);
    for (const auto resource : quota_resources)
        wish.total.*resource =
            entry.cap.*resource == 0
                ? 0
                : std::min(wish.total.*resource, entry.cap.*resource);
    return wish;
}

quota_share::competition
quota_share::competition_for(const share& entry, const demand& wish,
                             std::int64_t resource_amount::*resource) const
{
    const std::int64_t cap = entry.cap.*resource;
    competition result;
    result.free = std::max<std::int64_t>(0, cap - entry.granted.*resource);
    result.fair = cap;
    const bool others_are_short =
        std::any_of(entry.stored.wanted.begin(), entry.stored.wanted.end(),
                    [this](const auto& row) { return row.first != pool_; });
    if (!others_are_short)
        return result;
    std::vector<std::int64_t> demands{wish.total.*resource};
    for (const auto& [pool, grant] : entry.stored.grants)
        if (pool != pool_ && !entry.stored.wanted.contains(pool))
            demands.push_back(grant.*resource);
    for (const auto& [pool, wanted] : entry.stored.wanted)
    {
        if (pool == pool_)
            continue;
        const std::int64_t held = entry.stored.grant_of(pool).*resource;
        const auto known = entry.wishes.find(pool);
        if (known != entry.wishes.end() && known->second.is_stale)
        {
            demands.push_back(held);
            continue;
        }
        demands.push_back(std::max(held, wanted.*resource));
        result.missing += std::max<std::int64_t>(0, wanted.*resource - held);
    }
    if (result.missing > 0)
        result.fair = fair_part(cap, std::move(demands));
    return result;
}

// A pool without an owner, or one that has no jobs left and cannot reach the
// store, does not withdraw its wish. A short pool takes what is free.
void quota_share::update_wishes(share& entry, base::time_point now) const
{
    const quota_record& stored = entry.stored;
    std::erase_if(entry.wishes, [&](const auto& known)
                  { return !stored.wanted.contains(known.first); });
    for (const auto& [pool, wanted] : stored.wanted)
    {
        if (pool == pool_)
            continue;
        const resource_amount held = stored.grant_of(pool);
        bool could_take = false;
        for (const auto resource : quota_resources)
            could_take =
                could_take || (wanted.*resource > held.*resource &&
                               entry.granted.*resource < entry.cap.*resource);
        stated_wish& known = entry.wishes.try_emplace(pool).first->second;
        if (known.wanted != wanted || known.granted != held || !could_take)
            known = {wanted, held, now};
        known.is_stale = now - known.since >= stale_wish_time;
    }
}

resource_amount quota_share::grown(const share& entry, const demand& wish) const
{
    const bool is_short =
        std::any_of(quota_resources.begin(), quota_resources.end(),
                    [&](auto resource)
                    { return wish.total.*resource > entry.grant.*resource; });
    resource_amount result = entry.grant;
    if (!is_short)
        return result;
    for (const auto resource : quota_resources)
    {
        const std::int64_t held = entry.grant.*resource;
        const std::int64_t needed = wish.total.*resource;
        if (entry.cap.*resource == 0 || needed == 0)
            continue;
        const competition others = competition_for(entry, wish, resource);
        // The last part of the cap is for those who need it now.
        const std::int64_t headroom =
            others.missing > 0
                ? 0
                : std::min(std::max(needed / headroom_divisor,
                                    entry.cap.*resource / step_divisor),
                           others.free / headroom_divisor);
        result.*resource =
            std::max(held, std::min({held + others.free, needed + headroom,
                                     std::max(others.fair, held)}));
    }
    return result;
}

resource_amount quota_share::reduced(share& entry, const demand& wish,
                                     base::time_point now) const
{
    entry.peak = at_least(entry.peak, wish.total);
    if (!entry.peak_since)
        entry.peak_since = now;
    const base::duration watched = now - *entry.peak_since;
    const bool is_peak_full = watched >= idle_time_with_free_cap;
    resource_amount result = entry.grant;
    for (const auto resource : quota_resources)
    {
        const std::int64_t cap = entry.cap.*resource;
        const std::int64_t held = entry.grant.*resource;
        if (cap == 0 || held == 0)
            continue;
        std::int64_t target = held;
        if (entry.granted.*resource > cap)
            target = std::min(
                target,
                static_cast<std::int64_t>(
                    static_cast<double>(held) * static_cast<double>(cap) /
                    static_cast<double>(entry.granted.*resource)));
        const competition others = competition_for(entry, wish, resource);
        if (others.missing > others.free)
            target = std::min({target, wish.total.*resource, others.fair});
        const bool is_cap_used = entry.granted.*resource * 4 >= cap * 3;
        const std::int64_t peak = entry.peak.*resource;
        if (watched >= idle_time && (is_cap_used || is_peak_full) &&
            (held - peak) * idle_divisor >= held)
            target = std::min(target, peak + peak / headroom_divisor);
        result.*resource =
            std::min(held, std::max(target, wish.used.*resource));
    }
    if (is_peak_full)
    {
        entry.peak = wish.total;
        entry.peak_since = now;
    }
    return result;
}

std::optional<base::duration> quota_share::read_interval(const share& entry,
                                                         const demand& wish,
                                                         base::time_point now)
{
    if (entry.must_read || entry.cap_before)
        return base::duration::zero();
    const resource_amount& grant = entry.grant;
    const resource_amount& granted = entry.granted;
    std::optional<base::duration> interval;
    const auto shorten = [&](base::duration length)
    {
        interval = std::min(interval.value_or(length), length);
    };
    for (const auto resource : quota_resources)
    {
        const std::int64_t held = grant.*resource;
        const std::int64_t needed = wish.total.*resource;
        if (entry.cap.*resource == 0)
            continue;
        if (granted.*resource > entry.cap.*resource && held > 0)
            shorten(over_cap_read_interval);
        if (needed > held)
            shorten(short_read_interval);
        // Another pool that was short at the last look may need more by now.
        if (held > 0 && (held - needed) * idle_divisor >= held)
            shorten(entry.stored.wanted.empty() ? idle_read_interval
                                                : short_read_interval);
        // A pool that uses its whole grant may hold more than its part while
        // another one is short.
        if (held > 0 && granted.*resource * 4 >= entry.cap.*resource * 3)
            shorten(idle_read_interval);
        if (held > 0 && now < entry.watch_until)
            shorten(new_cap_read_interval);
    }
    return interval;
}

std::optional<quota_write> quota_share::decide_write(const std::string& tenant,
                                                     share& entry,
                                                     const demand& wish,
                                                     base::time_point now) const
{
    const resource_amount before = entry.grant;
    const resource_amount lower = reduced(entry, wish, now);
    const resource_amount higher = grown(entry, wish);
    resource_amount after;
    bool is_short = false;
    bool is_larger = false;
    for (const auto resource : quota_resources)
    {
        after.*resource = higher.*resource > before.*resource ? higher.*resource
                                                              : lower.*resource;
        is_larger = is_larger || after.*resource > before.*resource;
        is_short = is_short || wish.total.*resource > after.*resource;
    }
    const auto wanted = entry.stored.wanted.find(pool_);
    const bool has_wish = wanted != entry.stored.wanted.end();
    const bool is_wish_new =
        is_short ? !has_wish || wanted->second != wish.total : has_wish;
    // After a write without an answer, the next one settles what is stored.
    if (after == before && !is_wish_new && !entry.unsure_limit)
        return std::nullopt;
    const bool is_first_wish = is_short && !has_wish;
    const base::duration interval =
        is_larger || is_first_wish || entry.unsure_limit
            ? base::duration::zero()
        : after != before ? base::duration(give_interval)
                          : base::duration(ask_interval);
    if (now < entry.written_at + interval)
        return std::nullopt;
    quota_write write{tenant, entry.revision, entry.stored, before, after};
    if (after == resource_amount{})
        write.record.grants.erase(pool_);
    else
        write.record.grants.insert_or_assign(pool_, after);
    if (is_short)
        write.record.wanted.insert_or_assign(pool_, wish.total);
    else
        write.record.wanted.erase(pool_);
    return write;
}

quota_actions quota_share::decide(base::time_point now,
                                  const tenant_usage& usage)
{
    quota_actions actions;
    for (auto& [name, entry] : shares_)
    {
        if (std::exchange(entry.is_cap_new, false))
            entry.watch_until = now + cap_change_time;
        entry.is_cap_settled = now >= entry.watch_until;
        if (entry.sent_limit || now < entry.paused_until ||
            now < entry.decided_at + decision_interval(entry.stored))
            continue;
        entry.decided_at = now;
        update_wishes(entry, now);
        const demand wish =
            demand_of(entry, usage.used_by(name), usage.hidden());
        const auto interval = read_interval(entry, wish, now);
        const bool is_read_due = interval && now >= entry.read_at + *interval;
        std::optional<quota_write> write;
        if (!entry.must_read && !entry.cap_before)
            write = decide_write(name, entry, wish, now);
        // The answer to a write shows the stored value, too.
        if (!write && is_read_due)
            actions.reads.push_back(name);
        if (!write)
            continue;
        entry.written_at = now;
        entry.sent = write->record;
        // An increase counts once it is stored, a reduction at once.
        entry.sent_limit = at_most(write->grant_before, write->grant_after);
        actions.writes.push_back(std::move(*write));
    }
    return actions;
}

void quota_share::note_stored(std::string_view tenant, std::int64_t revision,
                              std::optional<quota_record> record,
                              base::time_point now)
{
    const auto found = shares_.find(tenant);
    if (found == shares_.end())
        return;
    share& entry = found->second;
    const bool was_known = entry.is_known;
    const resource_amount grant_before = entry.grant;
    const resource_amount limit_before = limit(entry);
    // After a conflict the pool decides again at once.
    if (entry.sent_limit && record != entry.sent)
        entry.written_at = {};
    entry.sent_limit.reset();
    entry.read_at = now;
    // Writes that expect another revision have no effect any more.
    if (revision != entry.revision)
        entry.unsure_limit.reset();
    entry.revision = revision;
    entry.cap_before.reset();
    entry.is_known = record.has_value();
    entry.must_read = !record;
    if (!record)
    {
        entry.paused_until = now + report_interval;
        return;
    }
    entry.stored = std::move(*record);
    entry.decided_at = {};
    entry.grant = entry.stored.grant_of(pool_);
    entry.granted = entry.stored.total();
    // An increase that took effect late, after the cap was lowered: the other
    // pools do not know yet that the grants exceed the cap.
    const bool exceeds_cap =
        std::any_of(quota_resources.begin(), quota_resources.end(),
                    [&](auto resource)
                    {
                        return entry.cap.*resource > 0 &&
                               entry.grant.*resource > grant_before.*resource &&
                               entry.granted.*resource > entry.cap.*resource;
                    });
    if (was_known && exceeds_cap)
        entry.unsure_limit = limit_before;
}

void quota_share::note_unread(std::string_view tenant, base::time_point now)
{
    if (const auto found = shares_.find(tenant); found != shares_.end())
        found->second.paused_until = now + retry_delay;
}

void quota_share::note_unanswered(std::string_view tenant, base::time_point now)
{
    const auto found = shares_.find(tenant);
    if (found == shares_.end())
        return;
    share& entry = found->second;
    if (const auto sent = std::exchange(entry.sent_limit, std::nullopt))
        entry.unsure_limit =
            entry.unsure_limit ? at_most(*entry.unsure_limit, *sent) : *sent;
    entry.must_read = true;
    entry.paused_until = now + retry_delay;
}

void quota_share::note_not_written(std::string_view tenant,
                                   base::time_point now)
{
    const auto found = shares_.find(tenant);
    if (found == shares_.end())
        return;
    found->second.sent_limit.reset();
    found->second.paused_until = now + retry_delay;
}

std::vector<quota_shortage>
quota_share::take_shortages(base::time_point now, const tenant_usage& usage)
{
    std::vector<quota_shortage> shortages;
    for (auto& [name, entry] : shares_)
    {
        if (entry.held_back == 0 || now < entry.reported_at + report_interval)
            continue;
        entry.reported_at = now;
        shortages.push_back({name, usage.used_by(name), limit(entry),
                             entry.waiting, std::exchange(entry.held_back, 0)});
    }
    return shortages;
}

} // namespace pimentograde::jobs
