#ifndef PIMENTOGRADE_CONFIG_BUNDLE_PARSER_HPP
#define PIMENTOGRADE_CONFIG_BUNDLE_PARSER_HPP

#include "config/bundle.hpp"
#include "config/field_reader.hpp"

#include <string>
#include <string_view>

namespace pimentograde::config
{

/// The only format that this version reads.
inline constexpr std::uint64_t bundle_format = 1;

/// Largest bundle text. Leaves room for the history in the store's value.
inline constexpr std::size_t max_bundle_bytes = std::size_t{900} * 1000;

struct parsed_bundle
{
    /// Meaningful only without faults.
    bundle value;
    fault_list faults;

    [[nodiscard]] bool ok() const { return faults.empty(); }
};

/// Strict JSON parser; `docs/bundle.md` describes the format. All faults are
/// reported together: malformed JSON, duplicate, unknown and missing fields,
/// wrong types, numbers out of range. Checks no references: see
/// `check_bundle`.
parsed_bundle parse_bundle(std::string_view text);

/// Inverse of `parse_bundle`. Durations are rounded down to the unit of their
/// field.
std::string to_json(const bundle& value);

/// Parses and checks. Throws `base::error` with code `invalid` that lists
/// every fault.
bundle load_bundle(std::string_view text);

/// One fault a line, `path: text`.
std::string to_string(const fault_list& faults);

} // namespace pimentograde::config

#endif
