#include "base/digest.hpp"

#include "base/error.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <span>

namespace pimentograde::base
{

namespace
{

constexpr std::size_t sha256_bytes = 32;
constexpr std::size_t nonce_bytes = 16;

std::string to_hex(std::span<const unsigned char> bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes)
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

} // namespace

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, sha256_bytes> out{};
    if (EVP_Digest(data.data(), data.size(), out.data(), nullptr, EVP_sha256(),
                   nullptr) != 1)
        throw error(error_code::internal, "digest", "", "SHA-256 failed");
    return to_hex(out);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, sha256_bytes> out{};
    unsigned length = 0;
    const auto* input = reinterpret_cast<const unsigned char*>(data.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), input,
             data.size(), out.data(), &length) == nullptr)
        throw error(error_code::internal, "digest", "", "HMAC failed");
    return to_hex(out);
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_nonce_hex()
{
    std::array<unsigned char, nonce_bytes> out{};
    if (RAND_bytes(out.data(), static_cast<int>(out.size())) != 1)
        throw error(error_code::internal, "nonce", "", "no entropy");
    return to_hex(out);
}

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace pimentograde::base
