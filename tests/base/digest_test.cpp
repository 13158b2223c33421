#include "base/digest.hpp"

#include <doctest/doctest.h>

using namespace pimentograde;

// Guards against a digest that changes between releases: stored keys and
// tokens would no longer match.
TEST_CASE("digests match published test vectors")
{
    CHECK(base::sha256_hex("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(base::hmac_sha256_hex("Jefe", "what do ya want for nothing?") ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(base::stable_hash("abc") == base::stable_hash("abc"));
    CHECK(base::stable_hash("abc", 1) != base::stable_hash("abc", 2));
}

// Guards against a token comparison that accepts a prefix.
TEST_CASE("constant-time comparison requires equal length and content")
{
    CHECK(base::equal_constant_time("token", "token"));
    CHECK_FALSE(base::equal_constant_time("token", "toke"));
    CHECK_FALSE(base::equal_constant_time("token", "tokem"));
}
