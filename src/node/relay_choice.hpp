#ifndef PIMENTOGRADE_NODE_RELAY_CHOICE_HPP
#define PIMENTOGRADE_NODE_RELAY_CHOICE_HPP

#include "base/time.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pimentograde::node
{

using platform::store_outcome;

/// Decides whether an instance sends its store calls directly or through a
/// peer, and through which one. Answers the load in which the store refuses
/// some instances for seconds while it serves the others: their pools would be
/// without an owner in the middle of a burst. An instance that is cut off from
/// the store, which does not answer it, relays nothing: its pools pass to other
/// instances when its lease has lapsed.
class relay_choice
{
public:
    /// `seed` spreads the instances that the store refuses over their peers.
    explicit relay_choice(std::uint64_t seed) : seed_(seed) {}

    /// A call of this instance to the store has ended.
    void note_direct(store_outcome outcome, base::time_point now);
    /// Whether the store has not served this instance lately.
    [[nodiscard]] bool is_refused() const;
    /// Whether to send the next call through a peer.
    [[nodiscard]] bool prefers_peer(base::time_point now) const;
    /// The peer to try next; empty if no peer is known to be worth a try.
    [[nodiscard]] std::optional<std::string>
    next_peer(std::span<const std::string> peers, base::time_point now) const;
    /// A peer has relayed a call, or could not. After several that the store
    /// does not serve either, the store counts as away for a while.
    void note_peer(std::string_view peer, store_outcome outcome,
                   base::time_point now);

private:
    std::uint64_t seed_;
    /// Refusals since the last call that was served.
    int refusals_ = 0;
    /// The peer that served last.
    std::string current_;
    /// Peers in a row that were not served.
    int failed_peers_ = 0;
    base::time_point next_try_at_{};
    /// Peers not to be tried before the time given.
    std::map<std::string, base::time_point, std::less<>> avoided_until_;
};

} // namespace pimentograde::node

#endif
