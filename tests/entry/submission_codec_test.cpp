#include "base/error.hpp"
#include "entry/http_router.hpp"
#include "entry/submission_codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;

namespace
{

constexpr base::wall_time test_now{std::chrono::milliseconds{1000000}};

const std::string valid_body =
    R"({"queue":"quotes","priority":"urgent","idempotent":false,)"
    R"("size":{"cores":2},"key":"k1","issued_at_ms":5,"deadline_ms":200,)"
    R"("payload":"p"})";

// Returns whether the body was accepted; any exception but `invalid` escapes.
bool is_accepted(const std::string& body)
{
    try
    {
        entry::parse_submission(body, base::work_kind::request, test_now);
        return true;
    }
    catch (const base::error& failure)
    {
        RC_ASSERT(failure.code() == base::error_code::invalid);
        return false;
    }
}

} // namespace

TEST_CASE("a submission is parsed with all its fields")
{
    const auto work =
        entry::parse_submission(valid_body, base::work_kind::request, test_now);
    CHECK(work.queue.str() == "quotes");
    CHECK(work.urgency == base::priority::urgent);
    CHECK(work.size.cores == 2);
    CHECK(base::to_millis(work.issued_at) == 5);
    CHECK(work.time_limit == std::chrono::milliseconds(200));
}

// Guards against a retry that gets a fresh issue time and so passes the
// horizon of dropped records.
TEST_CASE("non-idempotent work without an issue time is refused")
{
    CHECK_THROWS_AS(
        entry::parse_submission(
            R"({"queue":"q","idempotent":false,"key":"k","payload":""})",
            base::work_kind::request, test_now),
        base::error);
}

// Guards against a crash or a half-parsed submission on hostile input.
TEST_CASE("random and mutated bodies are refused or parsed, never fatal")
{
    CHECK(rc::check("random bytes",
                    [](const std::string& body) { is_accepted(body); }));
    CHECK(rc::check("one byte of a valid body changed",
                    [](unsigned position, char value)
                    {
                        std::string body = valid_body;
                        body[position % body.size()] = value;
                        is_accepted(body);
                    }));
    CHECK(rc::check("truncated body",
                    [](unsigned length)
                    {
                        RC_ASSERT_FALSE(is_accepted(
                            valid_body.substr(0, length % valid_body.size())));
                    }));
}

TEST_CASE("the router matches whole paths and decodes segments")
{
    entry::http_router<int> router;
    router.add("GET", "/v1/jobs/{}", 1);
    router.add("POST", "/v1/jobs", 2);
    entry::path_arguments arguments;
    const net::http_request read{"GET", "/v1/jobs/a%20b?x=1", {}, {}, {}};
    REQUIRE(router.find(read, arguments) != nullptr);
    CHECK(*router.find(read, arguments) == 1);
    CHECK(arguments.at(0) == "a b");
    const net::http_request wrong{"GET", "/v1/jobs", {}, {}, {}};
    CHECK(router.find(wrong, arguments) == nullptr);
    const net::http_request malformed{"GET", "http://[", {}, {}, {}};
    CHECK(router.find(malformed, arguments) == nullptr);
}
