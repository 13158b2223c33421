#include "net/http_server.hpp"
#include "net/raw_call.hpp"
#include "net/task_group.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

std::unique_ptr<net::http_server> serve(base::duration time)
{
    net::this_thread_io();
    return net::http_server::builder{}
        .listen_on({"127.0.0.1", 0})
        .handle_with(
            [time](const net::http_request&)
            {
                boost::this_fiber::sleep_for(time);
                return net::http_response{200, "{}"};
            })
        .build();
}

const std::string plain_call = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against a caller who takes a header that is too large for a body that
// is (413), or who sees a reset connection instead of the status.
TEST_CASE("a request with too large header fields gets 431 and is closed")
{
    const auto server = serve(100ms);
    std::string beside;
    net::task_group calls;
    net_tests::raw_connection other(server->local_endpoint());
    calls.spawn([&] { beside = other.call(plain_call); });
    for (const std::size_t size : {9'000U, 64'000U, 500'000U})
    {
        net_tests::raw_connection large(server->local_endpoint());
        const std::string answer =
            large.call("GET / HTTP/1.1\r\nHost: h\r\nAuthorization: Token " +
                       std::string(size, 'k') + "\r\n\r\n");
        CAPTURE(size);
        CHECK(answer.starts_with("HTTP/1.1 431"));
        CHECK(answer.find("kkk") == std::string::npos);
        CHECK(large.is_closed());
    }
    calls.join();
    CHECK(beside.starts_with("HTTP/1.1 200"));
    CHECK(other.call(plain_call).starts_with("HTTP/1.1 200"));
}

// Guards against a limit of the body that gets the status of the headers'.
TEST_CASE("a request with too large a body gets 413 and is closed")
{
    const auto server = serve(0ms);
    net_tests::raw_connection large(server->local_endpoint());
    const std::string answer =
        large.call("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n"
                   "\r\n" +
                   std::string(100'000, 'b'));
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(large.is_closed());
}
