#ifndef PIMENTOGRADE_PEER_JSON_TEXT_HPP
#define PIMENTOGRADE_PEER_JSON_TEXT_HPP

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::peer
{

/// Deepest nesting of a message. JsonCpp parses recursively and would exhaust
/// a fiber's stack at its own limit of 1000.
inline constexpr std::size_t max_nesting = 32;

/// Whether `text` may be given to JsonCpp: one object, nested at most
/// `max_nesting` deep, without the comments that JsonCpp accepts.
bool is_bounded_object(std::string_view text);

/// Parses one object. Throws `base::error` with `invalid`.
Json::Value parse_object(std::string_view text);
std::string write_text(const Json::Value& value);

/// The `id` of a JSON-RPC message, when it is an unsigned integer.
std::optional<std::uint64_t> message_id(std::string_view text);

/// Whether JsonCpp writes `text` without loss: well-formed UTF-8.
bool is_utf8(std::string_view text);

} // namespace pimentograde::peer

#endif
