#include "platform/caller_key.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace pimentograde;
using kind = platform::caller_key::kind;

namespace
{

kind outcome_of(const std::string& value)
{
    net::http_request call;
    call.headers.emplace_back("authorization", value);
    return platform::read_key(call).outcome;
}

} // namespace

// Guards against a key that is taken with a part of the header, and against a
// client that writes the scheme or the field in another case.
TEST_CASE("a key follows the scheme and one space")
{
    net::http_request call;
    CHECK(platform::read_key(call).outcome == kind::missing);
    call.headers.emplace_back("Host", "h");
    call.headers.emplace_back("AUTHORIZATION", "tOKEN a:b~!");
    CHECK(platform::read_key(call).outcome == kind::present);
    CHECK(platform::read_key(call).text == "a:b~!");
    call.headers.emplace_back("Authorization", "Token a:b~!");
    CHECK(platform::read_key(call).outcome == kind::repeated);
    CHECK(platform::read_key(call).text.empty());
}

// Guards against a 401, after which a caller asks for another key, for a header
// that no key mends, and against the reverse.
TEST_CASE("headers without a usable key are told apart")
{
    CHECK(outcome_of("") == kind::other_scheme);
    CHECK(outcome_of("Bearer key") == kind::other_scheme);
    CHECK(outcome_of("Tokens key") == kind::other_scheme);
    CHECK(outcome_of("key") == kind::other_scheme);
    CHECK(outcome_of("Token") == kind::empty);
    CHECK(outcome_of("Token ") == kind::empty);
    CHECK(outcome_of("Token  key") == kind::malformed);
    CHECK(outcome_of("Token key ") == kind::malformed);
    CHECK(outcome_of("Token key more") == kind::malformed);
    CHECK(outcome_of("Token\tkey") == kind::malformed);
    CHECK(outcome_of("Token k\xc3\xa9y") == kind::malformed);
    CHECK(outcome_of(std::string("Token k\0y", 9)) == kind::malformed);
    CHECK(outcome_of("Token k\x7fy") == kind::malformed);
    CHECK(outcome_of("B\xc3\xa9"
                     "arer key") == kind::malformed);
}
