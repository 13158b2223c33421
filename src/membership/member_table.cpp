#include "membership/member_table.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace pimentograde::membership
{

namespace
{

std::uint64_t rendezvous_weight(const base::member_id& id,
                                std::string_view name)
{
    std::string text = id.str();
    text.push_back('\n'); // keeps (ab, c) and (a, bc) apart
    text.append(name);
    return base::stable_hash(text);
}

} // namespace

member_table::member_table(peer::member_entry self, base::time_point now)
    : self_(std::move(self)), last_advance_(now)
{
}

bool member_table::is_outdated(const peer::member_entry& entry) const
{
    if (entry.id == self_.id || entry.id.empty())
        return true;
    const auto former = former_.find(entry.id);
    if (former != former_.end() &&
        former->second.incarnation > entry.incarnation)
        return true;
    for (const auto& [id, known] : members_)
    {
        const bool same =
            id == entry.id || known.entry.address == entry.address;
        if (same && known.entry.incarnation > entry.incarnation)
            return true;
    }
    return false;
}

// A process that took over the address shows that the old one has ended.
void member_table::replace_address(const peer::member_entry& entry,
                                   change_list& changes)
{
    for (auto it = members_.begin(); it != members_.end();)
    {
        const record& known = it->second;
        const bool replaced =
            known.entry.incarnation < entry.incarnation &&
            (it->first == entry.id || known.entry.address == entry.address);
        if (!replaced)
        {
            ++it;
            continue;
        }
        if (known.state != member_state::contact)
            changes.push_back({change_kind::dropped, known.entry, {}});
        it = members_.erase(it);
    }
}

change_list member_table::heard(const peer::heartbeat& beat,
                                base::time_point now)
{
    change_list changes;
    if (is_outdated(beat.sender))
        return changes;
    replace_address(beat.sender, changes);
    record& known = members_[beat.sender.id];
    known.entry = beat.sender;
    known.last_heard = now;
    known.last_named = now;
    if (known.state == member_state::contact)
        changes.push_back({change_kind::joined, known.entry, {}});
    if (known.state == member_state::suspected)
        changes.push_back({change_kind::recovered, known.entry, {}});
    known.state = member_state::live;
    if (beat.leaving && !known.leaving)
        changes.push_back({change_kind::left, known.entry, {}});
    known.leaving = known.leaving || beat.leaving;
    for (const peer::member_entry& entry : beat.known)
        learned(entry, now);
    for (const peer::worker_hint& hint : beat.leaving_workers)
    {
        received_hint& held = hints_[hint.worker];
        // A hint about an earlier boot says nothing about the present one.
        if (hint.incarnation >= held.incarnation)
            held = {hint.incarnation, now};
    }
    return changes;
}

void member_table::learned(const peer::member_entry& entry,
                           base::time_point now)
{
    if (is_outdated(entry))
        return;
    const auto known = members_.find(entry.id);
    if (known != members_.end() &&
        known->second.entry.incarnation == entry.incarnation)
    {
        known->second.last_named = now;
        return;
    }
    // Hearsay about a newer incarnation does not end a live one: the new
    // process shows itself when it is contacted.
    if (known != members_.end() && known->second.state != member_state::contact)
        return;
    record& contact = members_[entry.id];
    contact.entry = entry;
    contact.last_named = now;
}

change_list member_table::left(const peer::member_entry& entry)
{
    const auto known = members_.find(entry.id);
    if (known == members_.end() ||
        known->second.entry.incarnation != entry.incarnation ||
        known->second.leaving)
        return {};
    known->second.leaving = true;
    if (known->second.state == member_state::contact)
        return {};
    return {{change_kind::left, entry, {}}};
}

void member_table::shift_times(base::duration pause, base::time_point now)
{
    // What was heard since the resumption stays as it is.
    const auto shift = [&](base::time_point& moment)
    {
        moment = std::min(moment + pause, now);
    };
    for (auto& [id, known] : members_)
    {
        shift(known.last_heard);
        shift(known.last_named);
    }
    for (auto& [worker, hint] : hints_)
        shift(hint.received);
}

bool member_table::expire(record& known, base::time_point now,
                          change_list& changes)
{
    if (known.state == member_state::contact)
        return now - known.last_named > contact_lifetime;
    const base::duration silence = now - known.last_heard;
    if (silence > drop_after)
    {
        changes.push_back({change_kind::dropped, known.entry, silence});
        former_[known.entry.id] = {known.entry.incarnation, now};
        return true;
    }
    if (silence > suspect_after && known.state == member_state::live)
    {
        known.state = member_state::suspected;
        changes.push_back({change_kind::suspected, known.entry, silence});
    }
    return false;
}

change_list member_table::advance(base::time_point now)
{
    change_list changes;
    const base::duration gap = now - last_advance_;
    last_advance_ = now;
    if (gap > pause_limit)
    {
        // While this process was paused it could hear nobody; their silence
        // starts to count when it runs again.
        shift_times(gap, now);
        changes.push_back({change_kind::paused, self_, gap});
    }
    for (auto it = members_.begin(); it != members_.end();)
        it = expire(it->second, now, changes) ? members_.erase(it)
                                              : std::next(it);
    std::erase_if(former_, [&](const auto& item)
                  { return now - item.second.dropped > former_lifetime; });
    std::erase_if(hints_, [&](const auto& item)
                  { return now - item.second.received > hint_lifetime; });
    return changes;
}

std::vector<peer::member_entry> member_table::contacts() const
{
    std::vector<peer::member_entry> result;
    for (const auto& [id, known] : members_)
        result.push_back(known.entry);
    return result;
}

std::vector<peer::member_entry> member_table::live() const
{
    std::vector<peer::member_entry> result{self_};
    for (const auto& [id, known] : members_)
        if (known.state != member_state::contact)
            result.push_back(known.entry);
    std::sort(result.begin(), result.end(),
              [](const auto& left, const auto& right)
              { return left.id < right.id; });
    return result;
}

std::optional<peer::member_entry>
member_table::find(const base::member_id& id) const
{
    if (id == self_.id)
        return self_;
    const auto known = members_.find(id);
    if (known == members_.end())
        return std::nullopt;
    return known->second.entry;
}

std::optional<member_state>
member_table::state_of(const base::member_id& id) const
{
    if (id == self_.id)
        return member_state::live;
    const auto known = members_.find(id);
    if (known == members_.end())
        return std::nullopt;
    return known->second.state;
}

base::member_id member_table::owner(std::string_view name) const
{
    const base::member_id* best = nullptr;
    std::uint64_t best_weight = 0;
    const auto consider = [&](const base::member_id& id)
    {
        const std::uint64_t weight = rendezvous_weight(id, name);
        if (best == nullptr || weight > best_weight ||
            (weight == best_weight && id < *best))
        {
            best = &id;
            best_weight = weight;
        }
    };
    if (!leaving_)
        consider(self_.id);
    for (const auto& [id, known] : members_)
        if (known.state != member_state::contact && !known.leaving)
            consider(id);
    return best == nullptr ? self_.id : *best;
}

void member_table::note_worker_leaving(const peer::worker_hint& hint)
{
    std::uint64_t& held = own_hints_[hint.worker];
    held = std::max(held, hint.incarnation);
}

void member_table::note_worker_serving(const base::worker_id& worker)
{
    own_hints_.erase(worker);
}

std::vector<peer::worker_hint> member_table::own_hints() const
{
    std::vector<peer::worker_hint> result;
    for (const auto& [worker, incarnation] : own_hints_)
        result.push_back({worker, incarnation});
    return result;
}

bool member_table::is_worker_leaving(const base::worker_id& worker,
                                     std::uint64_t incarnation,
                                     base::time_point now) const
{
    const auto own = own_hints_.find(worker);
    if (own != own_hints_.end() && own->second >= incarnation)
        return true;
    const auto hint = hints_.find(worker);
    return hint != hints_.end() && hint->second.incarnation >= incarnation &&
           now - hint->second.received <= hint_lifetime;
}

} // namespace pimentograde::membership
