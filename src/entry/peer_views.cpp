#include "entry/peer_views.hpp"

#include <algorithm>

namespace pimentograde::entry
{

bool peer_views::is_hinted(const base::worker_id& worker) const
{
    for (const auto& [member, beat] : heartbeats_)
        for (const auto& hint : beat.leaving_workers)
            if (hint.worker == worker)
                return true;
    return false;
}

peer_views::hint_changes peer_views::heard(const peer::heartbeat& beat)
{
    hint_changes changes;
    std::vector<peer::worker_hint> before;
    auto& stored = heartbeats_[beat.sender.id];
    before.swap(stored.leaving_workers);
    stored = beat;
    changes.present = beat.leaving_workers;
    for (const auto& hint : before)
        if (!is_hinted(hint.worker))
            changes.ended.push_back(hint.worker);
    return changes;
}

std::vector<base::worker_id> peer_views::drop(const base::member_id& member)
{
    const auto found = heartbeats_.find(member);
    if (found == heartbeats_.end())
        return {};
    const auto hints = std::move(found->second.leaving_workers);
    heartbeats_.erase(found);
    std::vector<base::worker_id> ended;
    for (const auto& hint : hints)
        if (!is_hinted(hint.worker))
            ended.push_back(hint.worker);
    return ended;
}

} // namespace pimentograde::entry
