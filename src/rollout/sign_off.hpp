#ifndef PIMENTOGRADE_ROLLOUT_SIGN_OFF_HPP
#define PIMENTOGRADE_ROLLOUT_SIGN_OFF_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "provider/kv_operations.hpp"
#include "rollout/bundle_envelope.hpp"
#include "rollout/pacing.hpp"

#include <cstdint>
#include <string>

namespace pimentograde::rollout
{

struct sign_off_request
{
    /// Unique; recognises this sign-off in the stored history.
    std::string id;
    std::string bundle;
    std::string author;
    std::string reviewer;
    /// Version on which the reviewer decided.
    std::uint64_t base_version = 0;
    base::wall_time at{};
    /// An earlier call with the same id returned `unknown`.
    bool asked_before = false;
};

enum class sign_off_outcome
{
    accepted,
    /// Another sign-off of the same base version won.
    lost,
    /// The write may take effect, or has; ask again.
    unknown
};

struct sign_off_result
{
    sign_off_outcome outcome = sign_off_outcome::unknown;
    /// Version that this sign-off, or the winner, created. With `unknown`: not
    /// 0 when the history no longer covers it, so that asking again is of no
    /// use.
    std::uint64_t version = 0;
    /// Reviewer and author of the winner when lost; empty when the history no
    /// longer covers it.
    std::string winner;
    std::string winner_author;
    /// The store's value and version that showed an acceptance, to be pushed.
    std::uint64_t current_version = 0;
    std::string current_text;
};

/// Signs off a bundle by one compare-and-swap of `config/bundle`.
///
/// Repeats reads and writes until the outcome is known or the deadline passes.
/// Repeating is safe: the write succeeds only on the base version, and a write
/// that took effect although its response was lost is found by its id. While
/// the base version is still current, only another write settles whether an
/// earlier one can still take effect.
///
/// Returns `unknown` at the deadline when a write may have been, or may still
/// be, applied: call again with the same request. Throws `base::error` when
/// nothing was written: `unavailable`, or `conflict` for a base version that
/// does not exist.
sign_off_result sign_off(const provider::kv_operations& store,
                         const sign_off_request& request, const pacing& pace,
                         base::random_source& random,
                         base::time_point deadline);

/// Writes version 1 when the store holds no bundle yet. Returns whether this
/// call's bundle is version 1. Throws `base::error` when the store cannot be
/// reached or the bundle is invalid.
bool install_first_bundle(const provider::kv_operations& store,
                          const std::string& bundle, base::wall_time at,
                          const pacing& pace, base::random_source& random,
                          base::time_point deadline);

} // namespace pimentograde::rollout

#endif
