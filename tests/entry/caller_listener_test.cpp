#include "entry/caller_listener.hpp"
#include "net/http_client.hpp"
#include "net/io_scheduler.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;
using namespace std::chrono_literals;

namespace
{

struct listener_fixture
{
    listener_fixture()
    {
        net::this_thread_io();
        entry::caller_operations operations;
        operations.find_caller = [this](std::string_view token)
        {
            std::optional<entry::caller_identity> found;
            if (has_bundle && token == "token-a")
                found = {base::department_name("d"), base::caller_name("a")};
            return found;
        };
        operations.submit = [](const base::submission& work)
        {
            return base::work_result{base::work_status::done,
                                     "answer to " + work.identity.key,
                                     {},
                                     {}};
        };
        operations.find_job =
            [](const entry::caller_identity& caller, const base::job_id& job)
        {
            std::optional<base::work_result> found;
            if (caller.caller.str() == "b" && job.str() == "job-of-b")
                found = base::work_result{};
            return found;
        };
        operations.is_ready = [this]
        {
            return has_bundle;
        };
        operations.takes_work = [this]
        {
            return has_bundle;
        };
        listener = entry::caller_listener::builder{}
                       .listen_on({"127.0.0.1", 0})
                       .use(operations)
                       .build();
        client = net::http_client::builder{}.build();
    }

    net::http_response send(std::string method, std::string target,
                            std::string body, std::string token)
    {
        return client->send(listener->local_endpoint(),
                            {std::move(method),
                             std::move(target),
                             std::move(body),
                             "Bearer " + token,
                             {}},
                            base::steady_now() + 2s, "test");
    }

    bool has_bundle = true;
    std::unique_ptr<entry::caller_listener> listener;
    std::unique_ptr<net::http_client> client;
};

const std::string request_body =
    R"({"queue":"q","idempotent":true,"key":"k1","payload":""})";

} // namespace

TEST_CASE("a caller gets its answer and nobody else does")
{
    listener_fixture fixture;
    const auto own =
        fixture.send("POST", "/v1/requests", request_body, "token-a");
    CHECK(own.status == 200);
    CHECK(own.body.find("answer to k1") != std::string::npos);
    CHECK(fixture.send("POST", "/v1/requests", request_body, "wrong").status ==
          401);
    // The job exists, but belongs to caller b.
    CHECK(fixture.send("GET", "/v1/jobs/job-of-b", "", "token-a").status ==
          404);
}

// Found by the failure run: a restarted instance without a bundle answered
// 401, which tells a caller that its token is wrong.
TEST_CASE("without a bundle a submission is refused as not run")
{
    listener_fixture fixture;
    fixture.has_bundle = false;
    const auto response =
        fixture.send("POST", "/v1/requests", request_body, "token-a");
    CHECK(response.status == 503);
    CHECK(response.body.find("not_ready") != std::string::npos);
    CHECK(fixture.send("GET", "/readyz", "", "").status == 503);
    CHECK(fixture.send("GET", "/healthz", "", "").status == 200);
}

// Guards against bytes that stop the listener for the next caller.
TEST_CASE("after hostile targets and bodies the next caller is served")
{
    listener_fixture fixture;
    CHECK(rc::check("targets and bodies",
                    [&](const std::string& noise)
                    {
                        std::string target = "/v1/jobs/";
                        for (const char symbol : noise)
                            if (symbol > ' ' && symbol < 127)
                                target += symbol;
                        const auto first =
                            fixture.send("GET", target, noise, "token-a");
                        RC_ASSERT(first.status >= 400u);
                        const auto next = fixture.send("POST", "/v1/requests",
                                                       request_body, "token-a");
                        RC_ASSERT(next.status == 200u);
                    }));
}
