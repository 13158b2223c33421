#include "entry/operator_listener.hpp"
#include "net/http_client.hpp"
#include "net/io_scheduler.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

struct operator_fixture
{
    operator_fixture()
    {
        net::this_thread_io();
        entry::operator_listener::builder builder;
        builder.listen_on({"127.0.0.1", 0})
            .find_operator_with(
                [](std::string_view token)
                {
                    std::optional<entry::operator_identity> found;
                    if (token == "author-token")
                        found = {"ana", config::operator_role::author};
                    if (token == "viewer-token")
                        found = {"vera", config::operator_role::viewer};
                    return found;
                })
            .metrics_from([] { return std::string("members 7\n"); })
            .route("GET", "/v1/status", config::operator_role::viewer,
                   [](const entry::operator_call& call) {
                       return boost::json::object{{"who", call.who.name}};
                   })
            .route("POST", "/v1/instances/{}/drain",
                   config::operator_role::author,
                   [this](const entry::operator_call& call)
                   {
                       drained = call.arguments.at(0);
                       return boost::json::object{};
                   });
        listener = builder.build();
        client = net::http_client::builder{}.build();
    }

    net::http_response send(std::string method, std::string target,
                            std::string body, const std::string& token)
    {
        return client->send(listener->local_endpoint(),
                            {std::move(method),
                             std::move(target),
                             std::move(body),
                             "Bearer " + token,
                             {}},
                            base::steady_now() + 2s, "test");
    }

    std::string drained;
    std::unique_ptr<entry::operator_listener> listener;
    std::unique_ptr<net::http_client> client;
};

} // namespace

// Guards against an operator who acts beyond the role.
TEST_CASE("a route needs a known token and its role")
{
    operator_fixture fixture;
    CHECK(fixture.send("GET", "/v1/status", "", "viewer-token").status == 200);
    CHECK(fixture.send("GET", "/v1/status", "", "wrong").status == 403);
    CHECK(fixture.send("POST", "/v1/instances/w1/drain", "", "viewer-token")
              .status == 403);
    CHECK(fixture.drained.empty());
    CHECK(fixture.send("POST", "/v1/instances/w1/drain", "", "author-token")
              .status == 200);
    CHECK(fixture.drained == "w1");
}

TEST_CASE("scrapers read the metrics without a token")
{
    operator_fixture fixture;
    CHECK(fixture.send("GET", "/metrics", "", "").body == "members 7\n");
}

// Guards against bytes that stop the listener for the next operator.
TEST_CASE("after hostile targets and bodies the next operator is served")
{
    operator_fixture fixture;
    CHECK(rc::check("targets and bodies",
                    [&](const std::string& noise)
                    {
                        std::string target = "/v1/instances/";
                        for (const char symbol : noise)
                            if (symbol > ' ' && symbol < 127)
                                target += symbol;
                        const auto first =
                            fixture.send("PUT", target, noise, "author-token");
                        RC_ASSERT(first.status >= 400u);
                        const auto next = fixture.send("GET", "/v1/status", "",
                                                       "viewer-token");
                        RC_ASSERT(next.status == 200u);
                    }));
}
