#include "base/error.hpp"
#include "peer/frame_decoder.hpp"
#include "peer/json_text.hpp"
#include "peer/rpc_codec.hpp"
#include "peer/rpc_dispatcher.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <vector>

using namespace pimentograde;

namespace
{

std::string random_text(std::size_t max_size)
{
    const auto size = *rc::gen::inRange<std::size_t>(0, max_size);
    return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

} // namespace

// Guards against a message that depends on how TCP cuts the stream.
TEST_CASE("messages survive any division of the stream")
{
    CHECK(rc::check(
        "chunks",
        []
        {
            std::vector<std::string> sent;
            std::string stream;
            const int count = *rc::gen::inRange(1, 8);
            for (int i = 0; i < count; ++i)
            {
                sent.push_back("m" + random_text(300));
                stream += peer::encode_frame(sent.back());
            }
            peer::frame_decoder decoder(512);
            std::vector<std::string> received;
            while (!stream.empty())
            {
                const auto length =
                    *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
                decoder.feed(std::string_view(stream).substr(0, length));
                stream.erase(0, length);
                while (auto message = decoder.next())
                    received.push_back(*message);
            }
            RC_ASSERT(received == sent);
            RC_ASSERT(!decoder.has_partial());
        }));
}

// Guards against an allocation of whatever a stranger announces.
TEST_CASE("a length above the limit or of zero ends the stream")
{
    peer::frame_decoder large(100);
    large.feed(std::string("\x00\x00\x00\x65", 4));
    CHECK_THROWS_AS(large.next(), base::error);
    peer::frame_decoder empty(100);
    empty.feed(std::string(4, '\0'));
    CHECK_THROWS_AS(empty.next(), base::error);
    CHECK_THROWS_AS(
        peer::encode_frame(std::string(peer::max_frame_bytes + 1, 'x')),
        base::error);
}

TEST_CASE("the decoder survives arbitrary bytes")
{
    CHECK(rc::check("random bytes",
                    []
                    {
                        peer::frame_decoder decoder(64);
                        decoder.feed(random_text(400));
                        try
                        {
                            while (auto message = decoder.next())
                                RC_ASSERT(message->size() <= 64U);
                        }
                        catch (const base::error&)
                        {
                            RC_SUCCEED("refused");
                        }
                    }));
}

// Guards against a stack overflow in JsonCpp's recursive parser.
TEST_CASE("nesting is bounded whatever surrounds it")
{
    CHECK(peer::is_bounded_object(R"({"a":[{"b":"]]]//\"}"}]})"));
    CHECK(!peer::is_bounded_object(""));
    CHECK(!peer::is_bounded_object("[]"));
    CHECK(!peer::is_bounded_object(R"({"a":1)"));
    CHECK(!peer::is_bounded_object(R"({"a":1}})"));
    // JsonCpp accepts comments, in which a quote hides what follows.
    const std::string deep(100000, '[');
    CHECK(!peer::is_bounded_object("{\"a\":/* \" */" + deep));
    CHECK(!peer::is_bounded_object("{\"a\":" + deep));
    CHECK_THROWS_AS(peer::parse_object("{\"a\":" + deep), base::error);
}

TEST_CASE("parsing survives arbitrary and changed text")
{
    CHECK(rc::check("random text",
                    []
                    {
                        const std::string text = "{" + random_text(200);
                        try
                        {
                            peer::parse_object(text);
                        }
                        catch (const base::error&)
                        {
                            RC_SUCCEED("refused");
                        }
                        peer::message_id(text);
                    }));
}

// Guards against text that arrives changed: JsonCpp replaces bytes that are
// not UTF-8.
TEST_CASE("UTF-8 text survives, other text is recognised")
{
    CHECK(rc::check("bytes",
                    []
                    {
                        const std::string text = random_text(12);
                        Json::Value value(Json::objectValue);
                        value["t"] = text;
                        const std::string encoded = peer::write_text(value);
                        if (!peer::is_utf8(text))
                            return;
                        RC_ASSERT(peer::parse_object(encoded)["t"] == text);
                    }));
    CHECK(peer::is_utf8("K\xc5\x8dwhai \xe2\x82\xac \xf0\x9f\x93\xb7"));
    for (const char* bad : {"\xff", "\xc0\x80", "\xe2\x82", "\xed\xa0\x80",
                            "\xf4\x90\x80\x80", "\xe0\x80\x80"})
        CHECK(!peer::is_utf8(bad));
}

// Guards against the library's constant request id, which would let two calls
// take each other's response.
TEST_CASE("a request carries its own id")
{
    std::string sent;
    Json::Value params(Json::objectValue);
    params["x"] = 1;
    const auto reply = peer::call_method(
        [&](const std::string& request)
        {
            sent = request;
            return R"({"id":77,"jsonrpc":"2.0","result":{"y":2}})";
        },
        77, "m", params);
    CHECK(reply.succeeded);
    CHECK(reply.result["y"] == 2);
    CHECK(peer::message_id(sent) == 77);
    CHECK(peer::parse_object(sent)["method"] == "m");
    CHECK(peer::message_id(R"({"error":{"code":1},"id":12,"jsonrpc":"2.0"})") ==
          12);
    CHECK(!peer::message_id(R"({"id":"12"})"));
    CHECK(!peer::message_id(R"({"id":12)"));
}

TEST_CASE("an exception of the transport passes through the library")
{
    bool cut_off = false;
    try
    {
        peer::call_method(
            [](const std::string&) -> std::string
            { throw base::error(base::error_code::cut_off, "m", "p", "gone"); },
            1, "m", Json::Value(Json::objectValue));
    }
    catch (const base::error& failure)
    {
        cut_off = failure.code() == base::error_code::cut_off;
    }
    CHECK(cut_off);
}

TEST_CASE("a malformed response is no success")
{
    CHECK(rc::check("random responses",
                    []
                    {
                        const std::string text = random_text(60);
                        const auto reply = peer::call_method(
                            [&](const std::string&) { return text; }, 1, "m",
                            Json::Value(Json::objectValue));
                        RC_ASSERT(!reply.succeeded);
                    }));
}

// Guards against a crash in the dispatcher on changed requests.
TEST_CASE("the dispatcher answers every request")
{
    peer::method_table methods;
    methods["echo"] = [](const peer::call_context&, const Json::Value& params)
    {
        if (!params.isObject())
            throw base::error(base::error_code::invalid, "echo", "", "object");
        return params;
    };
    peer::rpc_dispatcher dispatcher(methods, {});
    const std::string good =
        R"({"id":7,"jsonrpc":"2.0","method":"echo","params":{"a":[1,"b"]}})";
    const auto answer = peer::parse_object(dispatcher.respond(good));
    CHECK(answer["result"]["a"][1] == "b");
    CHECK(rc::check(
        "changed requests",
        [&]
        {
            std::string text = good;
            const int changes = *rc::gen::inRange(1, 6);
            for (int i = 0; i < changes; ++i)
                text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                    *rc::gen::arbitrary<char>();
            const std::string response = dispatcher.respond(text);
            if (!response.empty())
                peer::parse_object(response.substr(0, response.find('\n')));
        }));
    // A batch would evade the bound on concurrent calls.
    const auto batch = peer::parse_object(dispatcher.respond("[" + good + "]"));
    CHECK(batch.isMember("error"));
}

// Guards against a request that makes the dispatcher throw: its call would
// count as open for as long as the connection lasts.
TEST_CASE("requests with members of any type are answered")
{
    peer::method_table methods;
    methods["echo"] = [](const peer::call_context&, const Json::Value& params)
    {
        return params;
    };
    peer::rpc_dispatcher dispatcher(methods, {});
    const std::vector<std::string> values{
        "null",      "true",     "-1",
        "1.5",       "1e300",    "18446744073709551615",
        "\"\"",      "\"echo\"", "\"2.0\"",
        "[]",        "{}",       "[[1]]",
        "{\"a\":{}}"};
    for (const std::string& id : values)
        for (const std::string& method : values)
            for (const std::string& version : values)
                for (const std::string& params : values)
                {
                    const std::string text = R"({"id":)" + id +
                                             R"(,"jsonrpc":)" + version +
                                             R"(,"method":)" + method +
                                             R"(,"params":)" + params + "}";
                    CAPTURE(text);
                    std::string response;
                    CHECK_NOTHROW(response = dispatcher.respond(text));
                }
}
