#include "provider/json_exchange.hpp"
#include "standin/lossy_server.hpp"

#include <boost/json.hpp>

#include "platform_fixture.hpp"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace pimentograde::testing;
using base::error_code;

namespace
{

/// A server that answers each call with the given reply.
struct canned_server
{
    canned_server()
    {
        net::this_thread_io();
        server =
            standin::lossy_server::builder{}
                .listen_on({"127.0.0.1", 0})
                .handle_with([this](const net::http_request&) { return next; })
                .build();
        kv_connection = provider::kv_client::builder{}
                            .store(server->local_endpoint())
                            .build();
        kv = kv_connection->operations();
        worker_connections = provider::worker_client::builder{}.build();
        work = worker_connections->operations();
        list_connection = provider::instance_list_client::builder{}
                              .address(server->local_endpoint())
                              .build();
        instances = list_connection->operations();
        worker = {base::worker_id("w001"), server->local_endpoint()};
    }

    /// One call of each operation, by number.
    void call(unsigned operation)
    {
        const base::lease_id lease("l");
        const provider::task_spec task{"t", "q", {}, "{}"};
        const std::vector<std::function<void()>> calls{
            [&] { kv.get("k", in(1s)); },
            [&] { kv.compare_and_swap("k", 1, "v", in(1s)); },
            [&] { kv.watch("k", 1, in(1s)); },
            [&] { kv.list("k", in(1s)); },
            [&] { kv.acquire_lease("l", "h", 1s, in(1s)); },
            [&] { kv.release_lease("l", "h", in(1s)); },
            [&] { kv.put_leased("k", "v", "l", in(1s)); },
            [&] { instances.list(in(1s)); },
            [&] { work.reserve(worker, {}, 1s, in(1s)); },
            [&] { work.start(worker, lease, task, in(1s)); },
            [&] { work.run(worker, task, in(1s)); },
            [&] { work.query(worker, lease, in(1s)); },
            [&] { work.renew(worker, lease, 1s, in(1s)); },
            [&] { work.stop(worker, lease, in(1s)); },
            [&] { work.checkpoint(worker, lease, in(1s)); },
            [&] { work.throttle(worker, lease, 1, in(1s)); },
            [&] { work.report(worker, in(1s)); },
            [&] { work.drain(worker, in(1s)); },
            [&] { work.undrain(worker, in(1s)); },
            [&]
            {
                work.reboot(worker, in(1s));
            }};
        calls.at(operation)();
    }

    standin::reply next;
    std::unique_ptr<standin::lossy_server> server;
    std::unique_ptr<provider::kv_client> kv_connection;
    std::unique_ptr<provider::worker_client> worker_connections;
    std::unique_ptr<provider::instance_list_client> list_connection;
    provider::kv_operations kv;
    provider::worker_operations work;
    provider::instance_list_operations instances;
    provider::worker_endpoint worker;
};

constexpr unsigned operation_count = 20;

/// A response object that is valid for every operation.
boost::json::object valid_response()
{
    const boost::json::object status{{"state", "done"},
                                     {"answer", "a"},
                                     {"reason", ""},
                                     {"incarnation", 1},
                                     {"run_time_ms", 1}};
    boost::json::object body = status;
    body["key"] = "k";
    body["version"] = 2;
    body["value"] = "v";
    body["outcome"] = "granted";
    body["prefix"] = "k";
    body["items"] = boost::json::array{};
    body["name"] = "l";
    body["held"] = true;
    body["holder"] = "h";
    body["instances"] = boost::json::array{};
    body["worker"] = "w001";
    body["lease"] = "l";
    body["task"] = "t";
    body["status"] = status;
    body["leaving"] = false;
    body["slots"] = 1;
    body["slots_used"] = 1;
    body["usage"] = boost::json::array{};
    return body;
}

boost::json::object valid_response(unsigned operation)
{
    auto body = valid_response();
    constexpr unsigned compare_and_swap = 1;
    if (operation == compare_and_swap)
        body["outcome"] = "applied";
    return body;
}

/// The fields that an operation reads.
std::vector<std::string> fields_of(unsigned operation)
{
    const std::vector<std::string> status{"worker",     "lease",  "state",
                                          "answer",     "reason", "incarnation",
                                          "run_time_ms"};
    const std::vector<std::string> plain{"worker"};
    const std::vector<std::vector<std::string>> fields{
        {"key", "version", "value"},
        {"key", "version", "outcome"},
        {"key", "version", "value"},
        {"prefix", "items"},
        {"name", "held", "holder"},
        {"name"},
        {"key", "version"},
        {"instances"},
        {"worker", "outcome", "lease", "incarnation", "slots_used"},
        {"worker", "lease", "task", "state", "answer", "reason", "incarnation",
         "run_time_ms"},
        {"worker", "task", "outcome", "status"},
        status,
        status,
        status,
        status,
        status,
        {"worker", "incarnation", "leaving", "slots", "slots_used", "usage"},
        plain,
        plain,
        plain};
    return fields.at(operation);
}

} // namespace

TEST_CASE_FIXTURE(canned_server, "the valid response is accepted")
{
    for (unsigned operation = 0; operation < operation_count; ++operation)
    {
        next.response.body = boost::json::serialize(valid_response(operation));
        CAPTURE(operation);
        CHECK(code_of([&] { call(operation); }) == std::nullopt);
    }
}

// Guards against a default value that stands in for a missing or wrong field.
TEST_CASE_FIXTURE(canned_server, "each missing or wrong field is an error")
{
    const std::vector<boost::json::value> wrong{
        nullptr, -1, "other", 1.5, boost::json::object{}, true};
    for (unsigned operation = 0; operation < operation_count; ++operation)
        for (const std::string& field : fields_of(operation))
        {
            CAPTURE(operation);
            CAPTURE(field);
            auto body = valid_response(operation);
            body.erase(field);
            next.response.body = boost::json::serialize(body);
            CHECK(code_of([&] { call(operation); }) == error_code::cut_off);
            for (const auto& value : wrong)
            {
                constexpr unsigned reserve = 8;
                const bool is_text = field == "answer" || field == "reason" ||
                                     field == "value" ||
                                     (field == "lease" && operation == reserve);
                if (value.kind() == valid_response(operation)[field].kind() &&
                    (is_text || value.is_bool()))
                    continue; // a valid value of that field
                CAPTURE(value.kind());
                body[field] = value;
                next.response.body = boost::json::serialize(body);
                const bool rejected =
                    code_of([&] { call(operation); }) == error_code::cut_off;
                CHECK(rejected);
            }
        }
}

// Guards against a response that is cut at any byte and still accepted.
TEST_CASE_FIXTURE(canned_server, "a response cut at any byte is an error")
{
    CHECK(rc::check(
        "cut responses",
        [this]
        {
            const auto operation = *rc::gen::inRange(0U, operation_count);
            next = {};
            next.response.body =
                boost::json::serialize(valid_response(operation));
            next.how = *rc::gen::element(standin::delivery::truncated,
                                         standin::delivery::short_body,
                                         standin::delivery::lost);
            next.sent_share = *rc::gen::inRange(0, 1000) / 1000.0;
            RC_ASSERT(code_of([&] { call(operation); }) == error_code::cut_off);
        }));
}

// Guards against bytes that crash a client or are taken for a response.
TEST_CASE_FIXTURE(canned_server, "random bytes are an error")
{
    CHECK(rc::check(
        "random bytes",
        [this](const std::string& bytes, bool framed, bool status_line)
        {
            const auto operation = *rc::gen::inRange(0U, operation_count);
            next = {};
            next.response.body = bytes;
            if (!framed)
            {
                next.how = standin::delivery::raw;
                if (status_line)
                    next.response.body = "HTTP/1.1 200 OK\r\n" + bytes;
            }
            RC_ASSERT(code_of([&] { call(operation); }) == error_code::cut_off);
        }));
}

// Guards against a damaged response that is accepted with a changed meaning:
// every single changed byte either fails or leaves the response valid JSON.
TEST_CASE_FIXTURE(canned_server, "a changed byte never escapes as a crash")
{
    CHECK(rc::check("changed bytes",
                    [this](char byte)
                    {
                        const auto operation =
                            *rc::gen::inRange(0U, operation_count);
                        next = {};
                        std::string& body = next.response.body;
                        body =
                            boost::json::serialize(valid_response(operation));
                        const auto position =
                            *rc::gen::inRange<std::size_t>(0, body.size());
                        body[position] = byte;
                        const auto code = code_of([&] { call(operation); });
                        RC_ASSERT(!code || *code == error_code::cut_off);
                    }));
}

// Guards against a response that fills the memory of the process.
TEST_CASE_FIXTURE(canned_server, "an oversized response is an error")
{
    const std::size_t over_limit = 9 * provider::max_value_bytes;
    for (unsigned operation = 0; operation < operation_count; ++operation)
    {
        auto body = valid_response(operation);
        body["more"] = std::string(over_limit, 'x');
        next = {};
        next.response.body = boost::json::serialize(body);
        CAPTURE(operation);
        CHECK(code_of([&] { call(operation); }) == error_code::cut_off);
    }
    next = {};
    next.how = standin::delivery::raw;
    next.response.body =
        "HTTP/1.1 200 OK\r\nX: " + std::string(over_limit, 'x');
    CHECK(code_of([&] { call(0); }) == error_code::cut_off);
    next.response.body = "HTTP/1.1 200 OK\r\nContent-Length: "
                         "99999999999999999999\r\n\r\n{}";
    CHECK(code_of([&] { call(0); }) == error_code::cut_off);
}

// Guards against nesting that exhausts the stack of a fiber.
TEST_CASE_FIXTURE(canned_server, "deep nesting is an error")
{
    next.response.body = std::string(100'000, '[');
    CHECK(code_of([&] { call(0); }) == error_code::cut_off);
}

// Guards against garbage that is taken for a refusal: a refusal promises that
// nothing was done.
TEST_CASE_FIXTURE(canned_server, "status codes map to error codes")
{
    const std::vector<std::pair<unsigned, error_code>> expected{
        {400, error_code::invalid},      {401, error_code::unauthorized},
        {403, error_code::unauthorized}, {404, error_code::not_found},
        {409, error_code::conflict},     {413, error_code::too_large},
        {429, error_code::refused},      {500, error_code::cut_off},
        {502, error_code::cut_off},      {503, error_code::refused},
        {504, error_code::timeout},      {204, error_code::cut_off},
        {302, error_code::cut_off}};
    for (const auto& [status, code] : expected)
    {
        CAPTURE(status);
        next.response = standin::error_response(status, "word", "detail");
        CHECK(code_of([&] { call(1); }) == code);
        next.response.body = "<html>" + std::to_string(status) + "</html>";
        CHECK(code_of([&] { call(1); }) == error_code::cut_off);
        next.response.body = "{}";
        CHECK(code_of([&] { call(1); }) == error_code::cut_off);
    }
}
