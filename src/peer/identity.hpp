#ifndef PIMENTOGRADE_PEER_IDENTITY_HPP
#define PIMENTOGRADE_PEER_IDENTITY_HPP

#include "base/strong_id.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace pimentograde::peer
{

/// One run of an entry instance.
struct peer_identity
{
    base::member_id member;
    /// Start time and a random number; higher after a restart.
    std::uint64_t incarnation = 0;

    auto operator<=>(const peer_identity&) const = default;
};

/// What a process needs to authenticate itself and its peers.
struct credentials
{
    peer_identity self;
    /// Shared by all members; never logged.
    std::string secret;
};

} // namespace pimentograde::peer

#endif
