#ifndef PIMENTOGRADE_BASE_DIGEST_HPP
#define PIMENTOGRADE_BASE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentograde::base
{

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 as 64 lower-case hexadecimal digits.
std::string hmac_sha256_hex(std::string_view key, std::string_view data);

/// Compares in time that does not depend on the position of a difference.
bool equal_constant_time(std::string_view left, std::string_view right);

/// 128 random bits from the system as 32 hexadecimal digits, for nonces.
std::string random_nonce_hex();

/// 64-bit xxHash (XXH3), stable between processes and releases.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

} // namespace pimentograde::base

#endif
