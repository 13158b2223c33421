#include "pools/quota_store.hpp"

#include "base/digest.hpp"
#include "base/error.hpp"
#include "jobs/quota_record.hpp"
#include "log/event.hpp"
#include "pools/events.hpp"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace pimentograde::pools
{

namespace
{

constexpr std::size_t max_key_bytes = 200;
// A transaction holds at most 32 entries: the condition on the ownership, plus
// a condition and a write for each tenant.
constexpr std::size_t tenants_per_transaction = 15;
// More tenants are read by one listing of all.
constexpr std::size_t max_single_reads = 3;
// The grants are looked at when a plan has ended, and this often besides.
constexpr std::chrono::milliseconds idle_wait{250};
constexpr std::chrono::seconds inactive_wait{1};
// Tenants after these, in the order of their names, are counted together.
constexpr std::size_t max_counted_tenants = 64;

std::string describe(const jobs::resource_amount& amount)
{
    return std::to_string(amount.cpu_millis) + '/' +
           std::to_string(amount.memory_mb) + '/' + std::to_string(amount.gpus);
}

} // namespace

std::string quota_key(std::string_view tenant)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned digit_bits = 4;
    std::string key(quota_prefix);
    for (const char letter : tenant)
    {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' ||
            letter == '.')
        {
            key += letter;
            continue;
        }
        key += '%';
        key += digits[byte >> digit_bits];
        key += digits[byte & ((1U << digit_bits) - 1)];
    }
    if (key.size() <= max_key_bytes)
        return key;
    // Encoded names hold no tilde.
    return std::string(quota_prefix) + '~' + base::sha256_hex(tenant);
}

quota_store::quota_store(std::string pool, std::string owner_key,
                         std::int64_t owner_revision, jobs::pool_state& state,
                         platform::store_client& store,
                         metrics::registry* counters, hooks functions)
    : pool_(std::move(pool)), owner_key_(std::move(owner_key)),
      owner_revision_(owner_revision), state_(state), store_(store),
      counters_(counters), hooks_(std::move(functions))
{
}

void quota_store::run()
{
    while (!hooks_.is_stopping())
    {
        const base::time_point now = base::steady_now();
        if (!state_.quota().is_active())
        {
            work_.wait_until(now + inactive_wait);
            continue;
        }
        report_shortages(now);
        if (!act(now))
            work_.wait_until(base::steady_now() + idle_wait);
    }
}

bool quota_store::act(base::time_point now)
{
    const jobs::quota_actions actions =
        state_.quota().decide(now, state_.usage());
    bool is_done = !actions.reads.empty() || !actions.writes.empty();
    if (!actions.reads.empty())
        is_done = read(actions.reads);
    std::span<const jobs::quota_write> left = actions.writes;
    while (!left.empty())
    {
        const auto batch =
            left.first(std::min(left.size(), tenants_per_transaction));
        left = left.subspan(batch.size());
        is_done = write(batch) && is_done;
    }
    return is_done;
}

void quota_store::report_shortages(base::time_point now)
{
    for (const jobs::quota_shortage& entry :
         state_.quota().take_shortages(now, state_.usage()))
    {
        count("pimentograde_quota_held_back_total", entry.tenant, entry.tasks);
        log::write(event_quota_shortage,
                   {{"pool", pool_},
                    {"tenant", entry.tenant},
                    {"used", describe(entry.used)},
                    {"limit", describe(entry.limit)},
                    {"waiting", describe(entry.waiting)}});
    }
}

bool quota_store::read(std::span<const std::string> tenants)
{
    try
    {
        // Listings take no detour.
        if (tenants.size() <= max_single_reads || store_.is_detoured())
        {
            for (const std::string& tenant : tenants)
            {
                const auto item = store_.get(quota_key(tenant));
                note_item(tenant, item ? &*item : nullptr, base::steady_now());
            }
        }
        else
        {
            const auto listing = store_.list(quota_prefix);
            if (!listing.is_complete)
                throw base::error(base::error_code::invalid, "read grants",
                                  pool_,
                                  "an item of the listing is unreadable");
            std::map<std::string_view, const platform::store_item*> items;
            for (const platform::store_item& item : listing.items)
                items.emplace(item.key, &item);
            for (const std::string& tenant : tenants)
            {
                const auto found = items.find(quota_key(tenant));
                note_item(tenant,
                          found == items.end() ? nullptr : found->second,
                          base::steady_now());
            }
        }
        note_answer();
        hooks_.on_change();
        return true;
    }
    catch (const std::exception& failure)
    {
        for (const std::string& tenant : tenants)
            state_.quota().note_unread(tenant, base::steady_now());
        note_failure(failure.what());
        return false;
    }
}

void quota_store::note_item(const std::string& tenant,
                            const platform::store_item* item,
                            base::time_point now)
{
    if (item == nullptr)
    {
        state_.quota().note_stored(tenant, 0, jobs::quota_record{}, now);
        return;
    }
    std::optional<jobs::quota_record> record;
    try
    {
        record = jobs::decode_quota(item->value);
    }
    catch (const base::error& failure)
    {
        log::write(event_quota_invalid,
                   {{"tenant", tenant}, {"reason", failure.what()}});
    }
    state_.quota().note_stored(tenant, item->revision, std::move(record), now);
}

bool quota_store::write(std::span<const jobs::quota_write> writes)
{
    platform::store_transaction transaction;
    transaction.conditions.push_back({owner_key_, owner_revision_});
    for (const jobs::quota_write& entry : writes)
    {
        const std::string key = quota_key(entry.tenant);
        transaction.conditions.push_back({key, entry.expected_revision});
        transaction.writes.push_back(
            {key, jobs::encode_quota(entry.record), 0});
    }
    bool may_be_stored = true;
    std::string reason;
    try
    {
        const auto result = store_.commit_repeatedly(transaction);
        note_answer();
        const base::time_point now = base::steady_now();
        if (result.outcome == platform::commit_result::kind::committed)
        {
            for (const jobs::quota_write& entry : writes)
            {
                state_.quota().note_stored(entry.tenant, result.revision,
                                           entry.record, now);
                log_change(entry);
            }
        }
        else
            apply_conflict(writes, result, now);
        hooks_.on_change();
        return true;
    }
    catch (const base::error& failure)
    {
        may_be_stored = failure.effect_unknown();
        reason = failure.what();
    }
    catch (const std::exception& failure)
    {
        reason = failure.what();
    }
    const base::time_point now = base::steady_now();
    for (const jobs::quota_write& entry : writes)
        if (may_be_stored)
            state_.quota().note_unanswered(entry.tenant, now);
        else
            state_.quota().note_not_written(entry.tenant, now);
    note_failure(reason);
    return false;
}

void quota_store::note_answer()
{
    if (std::exchange(is_failing_, false))
        log::write(event_quota_recovered, {{"pool", pool_}});
}

// Said once for each outage.
void quota_store::note_failure(std::string_view reason)
{
    if (!std::exchange(is_failing_, true))
        log::write(event_quota_failed, {{"pool", pool_}, {"reason", reason}});
}

// Another pool's owner has written, or an earlier try of this write has taken
// effect: the stored value decides.
void quota_store::apply_conflict(std::span<const jobs::quota_write> writes,
                                 const platform::commit_result& result,
                                 base::time_point now)
{
    const auto find_item = [&](const std::string& key)
    {
        const auto found =
            std::find_if(result.actual.begin(), result.actual.end(),
                         [&](const auto& item) { return item.key == key; });
        return found == result.actual.end() ? nullptr : &*found;
    };
    const platform::store_item* owner = find_item(owner_key_);
    if (owner == nullptr || owner->revision != owner_revision_)
    {
        for (const jobs::quota_write& entry : writes)
            state_.quota().note_unanswered(entry.tenant, now);
        hooks_.on_ownership_lost("the store holds another owner");
        return;
    }
    for (const jobs::quota_write& entry : writes)
    {
        const platform::store_item* item = find_item(quota_key(entry.tenant));
        note_item(entry.tenant, item, now);
        if (item != nullptr && item->value == jobs::encode_quota(entry.record))
            log_change(entry);
    }
}

void quota_store::log_change(const jobs::quota_write& write)
{
    if (write.grant_before == write.grant_after)
        return;
    count("pimentograde_quota_grant_changes_total", write.tenant);
    log::write(event_quota_changed,
               {{"pool", pool_},
                {"tenant", write.tenant},
                {"before", describe(write.grant_before)},
                {"after", describe(write.grant_after)},
                {"all_pools", describe(write.record.total())},
                {"used", describe(state_.usage().used_by(write.tenant))}});
}

void quota_store::count(std::string_view name, std::string_view tenant,
                        std::uint64_t amount)
{
    if (counters_ == nullptr)
        return;
    const bool has_label =
        state_.quota().index_of(tenant) < max_counted_tenants;
    counters_
        ->get_counter(name,
                      metrics::label("tenant", has_label ? tenant : "other"))
        .add(amount);
}

} // namespace pimentograde::pools
