#ifndef PIMENTOGRADE_PEER_HANDSHAKE_HPP
#define PIMENTOGRADE_PEER_HANDSHAKE_HPP

#include "base/time.hpp"
#include "peer/frame_stream.hpp"
#include "peer/identity.hpp"

namespace pimentograde::peer
{

/// Longest handshake, and its largest message.
inline constexpr std::chrono::seconds handshake_limit{2};
inline constexpr std::size_t max_handshake_bytes = 4096;

/// Authenticates both sides of a new connection. The accepting side sends its
/// identity and a nonce; the connecting side answers with its own and a proof;
/// the accepting side returns its proof. A proof is the HMAC-SHA-256 over the
/// role, both nonces, ids and incarnations, so it is of no use on another
/// connection or in the other direction. The accepting side proves nothing to
/// a peer that has not proved itself.
///
/// Both return the other side's identity and throw `base::error`:
/// `unauthorized` after a wrong proof, `refused` for a connection to itself,
/// otherwise `invalid`, `timeout` or `cut_off`.
peer_identity accept_handshake(frame_stream& stream, const credentials& own,
                               base::time_point deadline);
peer_identity connect_handshake(frame_stream& stream, const credentials& own,
                                base::time_point deadline);

} // namespace pimentograde::peer

#endif
