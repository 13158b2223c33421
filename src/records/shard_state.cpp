#include "records/shard_state.hpp"

#include "records/record_codec.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace pimentograde::records
{

namespace
{

// Dropping down to this size makes room for many records at once, so that a
// full shard is not searched again for each new record.
constexpr std::size_t size_after_drop = max_shard_bytes / 16 * 13;
constexpr std::size_t size_limit = max_shard_bytes - shard_frame_bytes;

std::shared_ptr<const encoded_record> encode(record value)
{
    auto text = encode_record(value);
    return std::make_shared<const encoded_record>(
        encoded_record{std::move(value), std::move(text)});
}

bool is_past_retention(const record& value, base::wall_time now)
{
    const auto retention =
        value.kind == base::work_kind::job ? job_retention : request_retention;
    return is_ended(value.state) && now - value.changed_at > retention;
}

bool may_drop(const record& value, base::wall_time now)
{
    return is_ended(value.state) && now - value.changed_at > shortest_retention;
}

} // namespace

std::size_t encoded_record::reserved_bytes() const
{
    const std::size_t bytes = text.size() + 1;
    if (value.state == record_state::started)
        return bytes + outcome_reserve_bytes;
    return value.state == record_state::accepted ? bytes + reason_reserve_bytes
                                                 : bytes;
}

shard_state shard_state::parse(std::string_view text)
{
    auto contents = decode_shard(text);
    shard_state out;
    out.horizon = contents.horizon;
    for (auto& value : contents.entries)
    {
        auto entry = encode(std::move(value));
        out.reserved_bytes += entry->reserved_bytes();
        const auto& identity = entry->value.identity;
        out.entries.emplace(identity, std::move(entry));
    }
    return out;
}

shard_batch::shard_batch(const shard_state& base, base::wall_time now)
    : base_(base), now_(now), horizon_(base.horizon),
      reserved_bytes_(base.reserved_bytes)
{
}

const encoded_record*
shard_batch::current(const base::work_identity& identity) const
{
    if (const auto found = changed_.find(identity); found != changed_.end())
        return found->second.get();
    const auto found = base_.entries.find(identity);
    return found == base_.entries.end() ? nullptr : found->second.get();
}

void shard_batch::put(const base::work_identity& identity,
                      std::shared_ptr<const encoded_record> value)
{
    if (const auto* before = current(identity))
        reserved_bytes_ -= before->reserved_bytes();
    if (value)
        reserved_bytes_ += value->reserved_bytes();
    changed_[identity] = std::move(value);
}

bool shard_batch::make_room(const encoded_record& entry, std::size_t limit)
{
    const auto* before = current(entry.value.identity);
    const std::size_t freed = before == nullptr ? 0 : before->reserved_bytes();
    const std::size_t added = entry.reserved_bytes();
    if (reserved_bytes_ - freed + added > limit)
        drop_old(size_after_drop);
    return reserved_bytes_ - freed + added <= limit;
}

commit_outcome shard_batch::check_insert(const encoded_record& entry)
{
    const auto& value = entry.value;
    if (value.issued_at <= horizon_ || value.issued_at > now_ + max_clock_lead)
        return commit_outcome::expired;
    const bool room = make_room(
        entry, is_ended(value.state) ? size_limit
                                     : size_limit - refusal_reserve_bytes);
    // Dropping moves the horizon, possibly beyond this key.
    if (value.issued_at <= horizon_)
        return commit_outcome::expired;
    return room ? commit_outcome::applied : commit_outcome::full;
}

commit_result shard_batch::apply(const base::work_identity& identity,
                                 const record_change& change)
{
    const auto* before = current(identity);
    std::optional<record> value;
    if (before != nullptr)
        value = before->value;
    if (!change(value) || !value)
    {
        if (before == nullptr)
            return {commit_outcome::refused, std::nullopt};
        return {commit_outcome::refused, before->value};
    }
    value->identity = identity;
    value->changed_at = now_;
    if (before == nullptr)
        value->created_at = now_;
    auto entry = encode(*std::move(value));
    if (before == nullptr)
    {
        const auto outcome = check_insert(*entry);
        if (outcome != commit_outcome::applied)
            return {outcome, std::nullopt};
    }
    else if (entry->value.state == record_state::started &&
             before->value.state != record_state::started &&
             !make_room(*entry, size_limit))
        return {commit_outcome::full, before->value};
    put(identity, entry);
    return {commit_outcome::applied, entry->value};
}

void shard_batch::drop_old(std::size_t target_bytes)
{
    std::vector<const record*> candidates;
    for (const auto& [identity, entry] : base_.entries)
        if (!changed_.contains(identity) && may_drop(entry->value, now_))
            candidates.push_back(&entry->value);
    std::ranges::sort(candidates, {}, &record::changed_at);
    for (const auto* value : candidates)
    {
        if (reserved_bytes_ <= target_bytes && !is_past_retention(*value, now_))
            continue;
        horizon_ = std::max(horizon_, value->issued_at);
        put(value->identity, nullptr);
    }
}

std::string shard_batch::finish()
{
    drop_old(std::numeric_limits<std::size_t>::max());
    std::vector<std::string_view> texts;
    texts.reserve(base_.entries.size() + changed_.size());
    for (const auto& [identity, entry] : base_.entries)
        if (!changed_.contains(identity))
            texts.emplace_back(entry->text);
    for (const auto& [identity, entry] : changed_)
        if (entry)
            texts.emplace_back(entry->text);
    return encode_shard(horizon_, texts);
}

void shard_batch::merge_into(shard_state& base) const
{
    base.horizon = horizon_;
    base.reserved_bytes = reserved_bytes_;
    for (const auto& [identity, entry] : changed_)
    {
        if (entry)
            base.entries[identity] = entry;
        else
            base.entries.erase(identity);
    }
}

} // namespace pimentograde::records
