#include "base/error.hpp"
#include "net/await.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "node/stall_watch.hpp"
#include "peer/frame_decoder.hpp"
#include "peer/frame_stream.hpp"
#include "peer/handshake.hpp"
#include "peer/json_text.hpp"
#include "peer/messages.hpp"
#include "peer/peer_client.hpp"
#include "peer/peer_server.hpp"
#include "peer/pool_messages.hpp"
#include "standin/port_reservation.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

const char* const shared_secret = "correct horse";

peer::credentials member(const char* name, const char* secret = shared_secret)
{
    return {{base::member_id(name), 1}, secret};
}

base::time_point in(base::duration length)
{
    return base::steady_now() + length;
}

Json::Value object(const char* field, int number)
{
    Json::Value value(Json::objectValue);
    value[field] = number;
    return value;
}

// Methods: `sleep` waits for the given milliseconds and echoes its parameter,
// `refuse` throws, `fault` fails unexpectedly.
peer::peer_server::builder test_server(net::endpoint where = {"127.0.0.1", 0})
{
    peer::peer_server::builder builder;
    builder.listen_on(std::move(where)).authenticate_as(member("server"));
    builder.handle("sleep",
                   [](const peer::call_context&, const Json::Value& params)
                   {
                       boost::this_fiber::sleep_for(
                           std::chrono::milliseconds{params["ms"].asInt()});
                       return params;
                   });
    builder.handle(
        "refuse",
        [](const peer::call_context&, const Json::Value&) -> Json::Value {
            throw base::error(base::error_code::conflict, "refuse", "",
                              "not now");
        });
    builder.handle(
        "fault",
        [](const peer::call_context&, const Json::Value&) -> Json::Value
        { throw std::runtime_error("internal matter"); });
    return builder;
}

std::unique_ptr<peer::peer_client> client_of(const peer::peer_server& server)
{
    return peer::peer_client::builder{}
        .connect_to(server.local_endpoint())
        .authenticate_as(member("client"))
        .random_seed(1)
        .build();
}

// An authenticated peer that answers each call with the text of its hook.
class raw_peer
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit raw_peer(std::function<std::string(const std::string&)> answer)
        : answer_(std::move(answer))
    {
        fibers_.spawn([this] { serve(); });
    }
    ~raw_peer()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        if (stream_)
            stream_->close();
        fibers_.join();
    }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    [[nodiscard]] net::endpoint address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    void serve()
    {
        auto accepted = net::await_io<std::optional<tcp::socket>>(
            [&](auto done)
            {
                acceptor_.async_accept(
                    [done](const boost::system::error_code& failure,
                           tcp::socket socket) mutable
                    { done(failure, std::move(socket)); });
            });
        if (accepted.failure)
            return;
        stream_ =
            std::make_unique<peer::frame_stream>(std::move(*accepted.value));
        peer::accept_handshake(*stream_, member("server"), in(1s));
        while (true)
        {
            const std::string request = stream_->read(5s);
            stream_->write(answer_(request), in(1s));
        }
    }

    std::function<std::string(const std::string&)> answer_;
    tcp::acceptor acceptor_{
        net::this_thread_io(),
        tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::unique_ptr<peer::frame_stream> stream_;
    net::task_group fibers_;
};

std::string with_id(const std::string& request, const std::string& rest)
{
    return R"({"id":)" + std::to_string(*peer::message_id(request)) +
           R"(,"jsonrpc":"2.0",)" + rest + "}";
}

template <class Call>
base::error failure_of(Call call)
{
    try
    {
        call();
    }
    catch (const base::error& failure)
    {
        return failure;
    }
    return {base::error_code::internal, "test", "", "did not fail"};
}

} // namespace

// Guards against responses matched by order instead of id: the calls end in
// the reverse order of their start.
TEST_CASE("concurrent calls on one connection get their own responses")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto client = client_of(*server);
    constexpr int calls = 20;
    std::vector<int> answers(calls);
    net::task_group fibers;
    for (int i = 0; i < calls; ++i)
        fibers.spawn(
            [&, i]
            {
                Json::Value params = object("ms", (calls - i) * 3);
                params["i"] = i;
                answers[i] = client->call("sleep", params, in(2s))["i"].asInt();
            });
    fibers.join();
    for (int i = 0; i < calls; ++i)
        CHECK(answers[i] == i);
    CHECK(server->connection_count() == 1);
    CHECK(client->remote()->member == base::member_id("server"));
}

// Guards against an `acquire_slot` that waits and delays a heartbeat.
TEST_CASE("a waiting call does not delay the next")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto client = client_of(*server);
    client->call("sleep", object("ms", 0), in(1s));
    net::task_group fibers;
    fibers.spawn([&] { client->call("sleep", object("ms", 300), in(2s)); });
    boost::this_fiber::yield();
    const auto start = base::steady_now();
    client->call("sleep", object("ms", 0), in(1s));
    CHECK(base::steady_now() - start < 150ms);
    fibers.join();
}

TEST_CASE("errors of the handler reach the caller")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto client = client_of(*server);
    const auto refused =
        failure_of([&] { client->call("refuse", object("a", 1), in(1s)); });
    CHECK(refused.code() == base::error_code::conflict);
    CHECK(refused.detail() == "not now");
    CHECK(refused.step() == "refuse");
    CHECK(!refused.peer().empty());
    const auto fault =
        failure_of([&] { client->call("fault", object("a", 1), in(1s)); });
    CHECK(fault.code() == base::error_code::internal);
    // The handler may have acted before it failed.
    CHECK(fault.effect_unknown());
    CHECK_FALSE(refused.effect_unknown());
    CHECK(fault.detail().find("matter") == std::string::npos);
    const auto unknown =
        failure_of([&] { client->call("none", object("a", 1), in(1s)); });
    CHECK(unknown.code() == base::error_code::not_found);
}

// Guards against a late response that is lost, and with it a granted slot.
TEST_CASE("a call ends at its deadline and its late result is reported")
{
    net::this_thread_io();
    auto server = test_server().build();
    int late = 0;
    auto client = peer::peer_client::builder{}
                      .connect_to(server->local_endpoint())
                      .authenticate_as(member("client"))
                      .on_late_result(
                          [&](const std::string& method, const Json::Value& r)
                          { late += method == "sleep" ? r["ms"].asInt() : 0; })
                      .build();
    client->call("sleep", object("ms", 0), in(1s));
    const auto start = base::steady_now();
    const auto failure =
        failure_of([&] { client->call("sleep", object("ms", 150), in(50ms)); });
    CHECK(failure.code() == base::error_code::timeout);
    CHECK(base::steady_now() - start < 120ms);
    boost::this_fiber::sleep_for(200ms);
    CHECK(late == 150);
}

// Guards against pending calls that hang, or are taken for not run, when the
// connection breaks.
TEST_CASE("a broken connection fails the pending calls with cut_off")
{
    net::this_thread_io();
    struct outcome
    {
        base::error_code code{};
        base::duration waited{};
    };
    const outcome seen = node_tests::play_without_stalls(
        300ms,
        []
        {
            outcome result;
            auto server = test_server().build();
            auto client = client_of(*server);
            client->call("sleep", object("ms", 0), in(5s));
            net::task_group fibers;
            fibers.spawn(
                [&]
                {
                    result.code =
                        failure_of(
                            [&] {
                                client->call("sleep", object("ms", 200),
                                             in(5s));
                            })
                            .code();
                });
            boost::this_fiber::sleep_for(30ms);
            const auto start = base::steady_now();
            server->stop_now();
            fibers.join();
            result.waited = base::steady_now() - start;
            return result;
        });
    CHECK(seen.code == base::error_code::cut_off);
    CHECK(seen.waited < 1s);
}

TEST_CASE("an unreachable peer is unavailable, and found after its restart")
{
    net::this_thread_io();
    const standin::port_reservation port;
    auto server = test_server(port.where()).build();
    auto client = client_of(*server);
    client->call("sleep", object("ms", 0), in(1s));
    server = nullptr;
    boost::this_fiber::sleep_for(20ms);
    for (int i = 0; i < 5; ++i)
        CHECK(failure_of([&]
                         { client->call("sleep", object("ms", 0), in(200ms)); })
                  .code() == base::error_code::unavailable);
    server = test_server(port.where()).build();
    boost::this_fiber::sleep_for(600ms); // beyond the longest backoff
    CHECK(client->call("sleep", object("ms", 0), in(1s)).isObject());
}

// Guards against a member that answers strangers.
TEST_CASE("a peer with another secret is refused on both sides")
{
    net::this_thread_io();
    int calls = 0;
    auto builder = test_server();
    builder.handle("count",
                   [&](const peer::call_context&, const Json::Value&)
                   {
                       ++calls;
                       return Json::Value(Json::objectValue);
                   });
    auto server = builder.build();
    auto stranger = peer::peer_client::builder{}
                        .connect_to(server->local_endpoint())
                        .authenticate_as(member("client", "wrong"))
                        .build();
    const auto failure =
        failure_of([&] { stranger->call("count", object("a", 1), in(1s)); });
    CHECK(failure.code() == base::error_code::unavailable);
    const std::string text = failure.what();
    CHECK(text.find("wrong") == std::string::npos);
    CHECK(text.find(shared_secret) == std::string::npos);
    // A call sent instead of the handshake is not run either.
    auto stream = peer::frame_stream::connect(server->local_endpoint(), in(1s));
    stream->write(
        R"({"id":1,"jsonrpc":"2.0","method":"count","params":{"a":1}})",
        in(1s));
    stream->read(1s); // the server's nonce
    CHECK_THROWS_AS(stream->read(1s), base::error);
    CHECK(calls == 0);
}

// Guards against a proof that can be used again: the answer of a member, seen
// on one connection, is presented on another.
TEST_CASE("a recorded proof is refused on another connection")
{
    using tcp = boost::asio::ip::tcp;
    auto server = test_server().build();
    tcp::acceptor relay(net::this_thread_io(),
                        {boost::asio::ip::make_address("127.0.0.1"), 0});
    auto member_client =
        peer::peer_client::builder{}
            .connect_to({"127.0.0.1", relay.local_endpoint().port()})
            .authenticate_as(member("client"))
            .build();
    net::task_group fibers;
    fibers.spawn(
        [&] {
            failure_of([&]
                       { member_client->call("x", object("a", 1), in(1s)); });
        });
    auto accepted = net::await_io<std::optional<tcp::socket>>(
        [&](auto done)
        {
            relay.async_accept([done](const boost::system::error_code& failure,
                                      tcp::socket socket) mutable
                               { done(failure, std::move(socket)); });
        });
    peer::frame_stream victim(std::move(*accepted.value));
    auto first = peer::frame_stream::connect(server->local_endpoint(), in(1s));
    victim.write(first->read(1s), in(1s));
    const std::string answer = victim.read(1s);
    auto second = peer::frame_stream::connect(server->local_endpoint(), in(1s));
    second->read(1s);
    second->write(answer, in(1s));
    CHECK_THROWS_AS(second->read(1s), base::error);
    // On its own connection the same answer is accepted.
    first->write(answer, in(1s));
    CHECK(peer::parse_object(first->read(1s)).isMember("proof"));
    victim.close();
    fibers.join();
}

// Guards against a server that proves itself to, and thereby computes proofs
// for, a peer that has proved nothing: the server's own hello is sent back.
TEST_CASE("a reflected hello gets no proof")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto stream = peer::frame_stream::connect(server->local_endpoint(), in(1s));
    Json::Value hello = peer::parse_object(stream->read(1s));
    hello["proof"] = std::string(64, '0');
    stream->write(peer::write_text(hello), in(1s));
    CHECK_THROWS_AS(stream->read(1s), base::error);
}

TEST_CASE("a member does not connect to itself")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto client = peer::peer_client::builder{}
                      .connect_to(server->local_endpoint())
                      .authenticate_as(member("server"))
                      .build();
    const auto failure =
        failure_of([&] { client->call("sleep", object("ms", 0), in(1s)); });
    CHECK(failure.code() == base::error_code::unavailable);
    CHECK(failure.detail().find("same member id") != std::string::npos);
}

// Guards against one peer that fills the process with fibers.
TEST_CASE("calls beyond the bound of a connection are refused")
{
    net::this_thread_io();
    auto server = test_server().max_calls(4).build();
    auto client = client_of(*server);
    client->call("sleep", object("ms", 0), in(1s));
    int refused = 0;
    int answered = 0;
    net::task_group fibers;
    for (int i = 0; i < 10; ++i)
        fibers.spawn(
            [&]
            {
                try
                {
                    client->call("sleep", object("ms", 100), in(2s));
                    ++answered;
                }
                catch (const base::error& failure)
                {
                    refused +=
                        failure.code() == base::error_code::refused ? 1 : 0;
                }
            });
    fibers.join();
    CHECK(answered == 4);
    CHECK(refused == 6);
}

// Guards against a crash on what an authenticated but faulty peer sends.
TEST_CASE("the server survives malformed messages")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto client = client_of(*server);
    const std::string good =
        R"({"id":3,"jsonrpc":"2.0","method":"sleep","params":{"ms":0}})";
    CHECK(rc::check(
        "changed frames",
        [&]
        {
            auto stream =
                peer::frame_stream::connect(server->local_endpoint(), in(1s));
            peer::connect_handshake(*stream, member("fuzzer"), in(1s));
            std::string text = good;
            const int changes = *rc::gen::inRange(0, 5);
            for (int i = 0; i < changes; ++i)
                text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                    *rc::gen::inRange<char>(0, 127);
            if (*rc::gen::inRange(0, 4) == 0)
                text.resize(*rc::gen::inRange<std::size_t>(1, text.size()));
            stream->write(text, in(1s));
            stream->close();
            RC_ASSERT(client->call("sleep", object("ms", 0), in(1s))["ms"] ==
                      0);
        }));
}

TEST_CASE("a planned stop waits for the calls in progress")
{
    net::this_thread_io();
    auto server = test_server().build();
    auto client = client_of(*server);
    client->call("sleep", object("ms", 0), in(1s));
    Json::Value answer;
    net::task_group fibers;
    fibers.spawn(
        [&] { answer = client->call("sleep", object("ms", 100), in(2s)); });
    boost::this_fiber::sleep_for(30ms);
    CHECK(server->stop_gracefully(in(1s)));
    fibers.join();
    CHECK(answer["ms"] == 100);
}

TEST_CASE("typed messages and a large document pass")
{
    net::this_thread_io();
    std::string received;
    auto server =
        test_server()
            .handle<peer::push_document>(
                [&](const peer::call_context& context,
                    const peer::push_document& message)
                {
                    CHECK(context.from.member == base::member_id("client"));
                    CHECK(context.connected());
                    received = message.content.text;
                    return peer::version_reply{message.content.version};
                })
            .build();
    auto client = client_of(*server);
    const std::string text(1'000'000, 'x');
    const auto reply =
        client->send(peer::push_document{{"bundle", 9, text}}, in(2s));
    CHECK(reply.version == 9);
    const bool same = received == text;
    CHECK(same);
    const auto failure = failure_of(
        [&]
        {
            client->send(
                peer::push_document{{"bundle", 9, std::string(2'000'000, 'x')}},
                in(2s));
        });
    CHECK(failure.code() == base::error_code::too_large);
    CHECK(
        client->send(peer::push_document{{"bundle", 9, "t"}}, in(2s)).version ==
        9);
}

// Guards against a response that ends the process: the library parses it
// recursively on the stack of a fiber.
TEST_CASE("a response nested too deep fails its call only")
{
    const std::string deep =
        std::string(900, '[') + "1" + std::string(900, ']');
    bool is_odd = true;
    raw_peer odd(
        [&](const std::string& request)
        {
            return with_id(request, is_odd ? R"("result":)" + deep
                                           : R"("result":{"ms":0})");
        });
    auto client = peer::peer_client::builder{}
                      .connect_to(odd.address())
                      .authenticate_as(member("client"))
                      .build();
    base::error_code code{};
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            code =
                failure_of([&] { client->call("x", object("ms", 0), in(1s)); })
                    .code();
        });
    fibers.join();
    CHECK(code == base::error_code::cut_off);
    is_odd = false;
    CHECK(client->call("x", object("ms", 0), in(1s))["ms"] == 0);
}

// Guards against a reply of another version that counts as a refusal: the peer
// may have acted on the message.
TEST_CASE("after a reply that cannot be read the effect is unknown")
{
    std::string reply;
    raw_peer odd([&](const std::string& request)
                 { return with_id(request, reply); });
    auto client = peer::peer_client::builder{}
                      .connect_to(odd.address())
                      .authenticate_as(member("client"))
                      .build();
    const peer::submit_job message{"pool", "queue", "00000000000000aa", "{}",
                                   1s};
    for (const char* text :
         {R"("result":{"outcome":"accepted"})", R"("result":7)",
          R"("result":{"outcome":7,"retry_after_us":1,"reason":""})",
          R"("result":null)", R"("error":7)", R"("error":{"code":1e300})",
          R"("error":{"code":"x","message":7})",
          R"("error":{"code":-1,"message":"m","data":{"code":7}})"})
    {
        reply = text;
        CAPTURE(reply);
        const base::error failure =
            failure_of([&] { client->send(message, in(1s)); });
        CHECK(failure.effect_unknown());
    }
    reply = R"("result":{"outcome":"accepted","reason":"","retry_after_us":0})";
    CHECK(client->send(message, in(1s)).outcome == "accepted");
}
