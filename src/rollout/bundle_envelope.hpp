#ifndef PIMENTOGRADE_ROLLOUT_BUNDLE_ENVELOPE_HPP
#define PIMENTOGRADE_ROLLOUT_BUNDLE_ENVELOPE_HPP

#include "base/time.hpp"
#include "config/bundle.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::rollout
{

inline constexpr const char* bundle_key = "config/bundle";
/// Sign-offs that the stored value remembers.
inline constexpr std::size_t max_history = 64;

/// One accepted sign-off.
struct sign_off_entry
{
    /// Version that it created.
    std::uint64_t version = 0;
    std::string id;
    std::string author;
    std::string reviewer;
    base::wall_time at{};

    bool operator==(const sign_off_entry&) const = default;
};

/// Value of the store key `config/bundle`: the bundle in force, its version
/// and the latest sign-offs, newest last. Version 0 and an empty bundle: none.
struct bundle_envelope
{
    std::uint64_t version = 0;
    /// The bundle's JSON text.
    std::string bundle;
    std::vector<sign_off_entry> history;

    [[nodiscard]] const sign_off_entry* find_id(std::string_view id) const;
    [[nodiscard]] const sign_off_entry*
    find_version(std::uint64_t wanted) const;
    /// The value after one more sign-off; `entry.version` is set.
    [[nodiscard]] bundle_envelope with(std::string new_bundle,
                                       sign_off_entry entry) const;
};

/// Throws `base::error` with `invalid`. Empty text is version 0. Does not check
/// the bundle itself.
bundle_envelope parse_envelope(std::string_view text);
std::string to_text(const bundle_envelope& value);

/// The parsed and checked bundle of a stored value. Throws `base::error` with
/// `invalid`; also the validator of the bundle's `versioned_document`.
config::bundle load_envelope(std::string_view text);

} // namespace pimentograde::rollout

#endif
