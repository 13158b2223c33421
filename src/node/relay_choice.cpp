#include "node/relay_choice.hpp"

#include "base/digest.hpp"

namespace pimentograde::node
{

namespace
{

// One refusal may be a limit on the rate of all instances' calls together.
constexpr int min_refusals = 2;
// Peers without service in a row after which the store counts as away. In a
// fault that a third of the instances share, three peers in a row are refused
// in one of 27 cases.
constexpr int max_failed_peers = 3;
// While the store is away for all, each instance asks a peer this often.
constexpr std::chrono::milliseconds retry_interval{500};
// An owner keeps its role only if a renewal succeeds within 2.5 s.
constexpr std::chrono::milliseconds peer_pause{1000};

} // namespace

void relay_choice::note_direct(store_outcome outcome, base::time_point now)
{
    if (outcome == store_outcome::served)
    {
        refusals_ = 0;
        failed_peers_ = 0;
        next_try_at_ = now;
        return;
    }
    if (outcome == store_outcome::refused)
        ++refusals_;
}

bool relay_choice::is_refused() const
{
    return refusals_ >= min_refusals;
}

bool relay_choice::prefers_peer(base::time_point now) const
{
    return is_refused() && now >= next_try_at_;
}

std::optional<std::string>
relay_choice::next_peer(std::span<const std::string> peers,
                        base::time_point now) const
{
    std::optional<std::string> best;
    std::uint64_t best_hash = 0;
    for (const std::string& peer : peers)
    {
        if (const auto avoided = avoided_until_.find(peer);
            avoided != avoided_until_.end() && now < avoided->second)
            continue;
        if (peer == current_)
            return peer;
        const std::uint64_t hash = base::stable_hash(peer, seed_);
        if (best && hash >= best_hash)
            continue;
        best = peer;
        best_hash = hash;
    }
    return best;
}

void relay_choice::note_peer(std::string_view peer, store_outcome outcome,
                             base::time_point now)
{
    if (outcome == store_outcome::served)
    {
        current_ = peer;
        failed_peers_ = 0;
        return;
    }
    // Calls that were under way to the same peer count once.
    const auto known = avoided_until_.find(peer);
    if (known != avoided_until_.end() && now < known->second)
        return;
    avoided_until_.insert_or_assign(std::string(peer), now + peer_pause);
    if (++failed_peers_ < max_failed_peers)
        return;
    failed_peers_ = 0;
    next_try_at_ = now + retry_interval;
}

} // namespace pimentograde::node
