#include "base/error.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"

#include <boost/fiber/operations.hpp>

#include <doctest/doctest.h>

#include <ctime>

using namespace pimentograde;
using namespace std::chrono_literals;

// Guards against a scheduler that polls in a loop while all fibers sleep.
TEST_CASE("an idle scheduler uses next to no processor time")
{
    net::this_thread_io();
    const std::clock_t before = std::clock();
    boost::this_fiber::sleep_for(500ms);
    const double cpu_seconds =
        static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    CHECK(cpu_seconds < 0.05);
}

// Guards against busy fibers that keep sockets and timers from running.
TEST_CASE("timers fire while another fiber is always ready")
{
    net::this_thread_io();
    bool stop = false;
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            while (!stop)
                boost::this_fiber::yield();
        });
    const auto start = base::steady_now();
    boost::this_fiber::sleep_for(50ms);
    const auto waited = base::steady_now() - start;
    stop = true;
    fibers.join();
    CHECK(waited < 500ms);
}

TEST_CASE("a request is answered over a reused connection")
{
    auto server = net::http_server::builder{}
                      .listen_on({"127.0.0.1", 0})
                      .handle_with(
                          [](const net::http_request& request) {
                              return net::http_response{200, request.body};
                          })
                      .build();
    auto client = net::http_client::builder{}.build();
    for (int round = 0; round < 3; ++round)
    {
        const std::string body = "round " + std::to_string(round);
        const auto response =
            client->send(server->local_endpoint(), {"POST", "/", body, {}, {}},
                         base::steady_now() + 1s, "test");
        CHECK(response.status == 200);
        CHECK(response.body == body);
    }
    CHECK(server->connection_count() == 1);
    CHECK(server->stop_gracefully(base::steady_now() + 1s));
}

// Guards against a timeout that is reported as if nothing had been sent.
TEST_CASE("a late response is a timeout with unknown effect")
{
    auto server = net::http_server::builder{}
                      .listen_on({"127.0.0.1", 0})
                      .handle_with(
                          [](const net::http_request&)
                          {
                              boost::this_fiber::sleep_for(200ms);
                              return net::http_response{};
                          })
                      .build();
    auto client = net::http_client::builder{}.build();
    bool unknown = false;
    try
    {
        client->send(server->local_endpoint(), {"GET", "/", {}, {}, {}},
                     base::steady_now() + 50ms, "test");
    }
    catch (const base::error& failure)
    {
        unknown = failure.effect_unknown();
    }
    CHECK(unknown);
}

// Guards against one timeout after another when all connections to a peer have
// gone silent at once.
TEST_CASE("after a timeout the idle connections to that peer are not used")
{
    base::duration pause{};
    auto server = net::http_server::builder{}
                      .listen_on({"127.0.0.1", 0})
                      .handle_with(
                          [&](const net::http_request&)
                          {
                              boost::this_fiber::sleep_for(pause);
                              return net::http_response{};
                          })
                      .build();
    auto client = net::http_client::builder{}.max_idle(4).build();
    const auto send = [&](base::duration limit)
    {
        return client->send(server->local_endpoint(), {"GET", "/", {}, {}, {}},
                            base::steady_now() + limit, "test");
    };
    pause = 30ms;
    net::task_group fibers;
    for (int index = 0; index < 3; ++index)
        fibers.spawn([&] { CHECK(send(1s).status == 200); });
    fibers.join();
    CHECK(server->connection_count() == 3);
    pause = 300ms;
    CHECK_THROWS_AS(send(50ms), base::error);
    pause = 0ms;
    CHECK(send(1s).status == 200);
    boost::this_fiber::sleep_for(400ms);
    // Only the connection that was opened after the timeout is left.
    CHECK(server->connection_count() == 1);
}

// Guards against a planned stop that waits for the end of a long poll.
TEST_CASE("cancelling a client ends its calls in progress")
{
    bool is_called = false;
    bool has_answered = false;
    bool is_over = false;
    auto server = net::http_server::builder{}
                      .listen_on({"127.0.0.1", 0})
                      .handle_with(
                          [&](const net::http_request&)
                          {
                              is_called = true;
                              const auto latest = base::steady_now() + 4s;
                              while (!is_over && base::steady_now() < latest)
                                  boost::this_fiber::sleep_for(1ms);
                              has_answered = true;
                              return net::http_response{};
                          })
                      .build();
    auto client = net::http_client::builder{}.build();
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            CHECK_THROWS_AS(client->send(server->local_endpoint(),
                                         {"GET", "/", {}, {}, {}},
                                         base::steady_now() + 10s, "test"),
                            base::error);
        });
    const auto deadline = base::steady_now() + 5s;
    while (!is_called && base::steady_now() < deadline)
        boost::this_fiber::sleep_for(1ms);
    client->cancel();
    fibers.join();
    CHECK(is_called);
    CHECK_FALSE(has_answered);
    is_over = true;
}

// Guards against a planned stop that cuts off a request in progress.
TEST_CASE("a graceful stop finishes the request in progress")
{
    auto server = net::http_server::builder{}
                      .listen_on({"127.0.0.1", 0})
                      .handle_with(
                          [](const net::http_request&)
                          {
                              boost::this_fiber::sleep_for(100ms);
                              return net::http_response{200, "complete"};
                          })
                      .build();
    auto client = net::http_client::builder{}.build();
    net::http_response response;
    net::task_group fibers;
    fibers.spawn(
        [&]
        {
            response =
                client->send(server->local_endpoint(), {"GET", "/", {}, {}, {}},
                             base::steady_now() + 1s, "test");
        });
    boost::this_fiber::sleep_for(30ms);
    CHECK(server->stop_gracefully(base::steady_now() + 1s));
    fibers.join();
    CHECK(response.body == "complete");
}
