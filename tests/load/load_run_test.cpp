#include "base/digest.hpp"
#include "load/load_run.hpp"
#include "load/log_fetcher.hpp"
#include "load/traffic_plan.hpp"
#include "net/http_server.hpp"
#include "net/io_scheduler.hpp"
#include "provider/worker_client.hpp"
#include "standin/platform_standin.hpp"

#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace pimentograde;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

config::bundle two_queues()
{
    config::bundle bundle;
    bundle.departments.push_back(
        {base::department_name("d"),
         100,
         0.1,
         {{base::caller_name("c"), base::sha256_hex("c-token")}}});
    for (const char* name : {"p", "q"})
    {
        bundle.pools.push_back({base::pool_name(name), false});
        config::worker worker;
        worker.id = base::worker_id(name);
        worker.pool = base::pool_name(name);
        worker.slots = 10;
        bundle.workers.push_back(worker);
        config::queue queue;
        queue.name = base::queue_name(name);
        queue.department = base::department_name("d");
        queue.pool = base::pool_name(name);
        queue.urgency = base::priority::urgent;
        queue.expected_time = 100ms;
        bundle.queues.push_back(queue);
    }
    return bundle;
}

/// Answers submissions as an entry instance does, with one worker.
class small_entry
{
public:
    enum class mode
    {
        honest,
        /// Says `not_run` after the task ran.
        denies,
        /// Gives each caller the previous caller's answer.
        mixes_up
    };

    explicit small_entry(mode behaviour) : behaviour_(behaviour)
    {
        net::this_thread_io();
        auto workers = standin::default_workers(1, 0);
        workers[0].slots = 1000;
        workers[0].connections = 1000;
        platform_ = standin::platform_standin::builder{}
                        .workers(std::move(workers))
                        .build();
        client_ = provider::worker_client::builder{}.build();
        work_ = client_->operations();
        server_ = net::http_server::builder{}
                      .listen_on({"127.0.0.1", 0})
                      .handle_with([this](const auto& request)
                                   { return handle(request); })
                      .build();
    }
    ~small_entry() { server_->stop_now(); }
    small_entry(const small_entry&) = delete;
    small_entry& operator=(const small_entry&) = delete;

    [[nodiscard]] net::endpoint address() const
    {
        return server_->local_endpoint();
    }
    [[nodiscard]] net::endpoint control() const
    {
        return platform_->control_endpoint();
    }

private:
    net::http_response handle(const net::http_request& request)
    {
        if (request.authorization != "Bearer c-token")
            return {401, R"({"error":"unauthorized","detail":""})"};
        if (request.method == "GET")
            return {200, json::serialize(jobs_.at(request.target))};
        const json::object body = json::parse(request.body).as_object();
        json::object result = run(body);
        if (request.target != "/v1/jobs")
            return {200, json::serialize(result)};
        const std::string job =
            "job-" + std::string(body.at("key").as_string());
        result["job"] = job;
        jobs_["/v1/jobs/" + job] = result;
        return {202, json::serialize(
                         json::object{{"status", "accepted"}, {"job", job}})};
    }

    json::object run(const json::object& body)
    {
        const std::string key(body.at("key").as_string());
        const auto ran = work_.run(
            platform_->worker_endpoints()[0],
            {key, "q", {}, std::string(body.at("payload").as_string())},
            base::steady_now() + 5s);
        if (behaviour_ == mode::denies)
            return {{"status", "not_run"}, {"reason", "denied"}};
        std::string answer = ran.status.answer;
        if (behaviour_ == mode::mixes_up)
            std::swap(answer, previous_);
        return {{"status", "done"}, {"answer", answer}};
    }

    mode behaviour_;
    std::unique_ptr<standin::platform_standin> platform_;
    std::unique_ptr<provider::worker_client> client_;
    provider::worker_operations work_;
    std::map<std::string, json::object> jobs_;
    std::string previous_;
    std::unique_ptr<net::http_server> server_;
};

std::vector<standin::violation> violations_of(small_entry::mode behaviour,
                                              std::size_t& calls)
{
    small_entry entry(behaviour);
    load::run_settings settings;
    settings.entries = {entry.address()};
    settings.traffic.total_rate = 200;
    settings.traffic.burst_time = 50ms;
    settings.traffic.time_scale = 0.05;
    settings.plan = load::plan_traffic(two_queues(), settings.traffic);
    settings.length = 500ms;
    settings.settle = 2s;
    load::load_run traffic(settings);
    traffic.run();
    calls = traffic.calls().size();
    const auto views = traffic.calls().views();
    return standin::check_outcomes(views, load::fetch_log(entry.control()));
}

} // namespace

// Guards against bursts whose mean differs from the mean that is asked for.
TEST_CASE("bursts of five means average one mean")
{
    load::traffic_settings settings;
    settings.total_rate = 100;
    settings.burst_time = 1s;
    const auto plan = load::plan_traffic(two_queues(), settings);
    REQUIRE(plan.size() == 2);
    CHECK(plan[0].mean_rate == doctest::Approx(50));
    const base::duration cycle = load::cycle_time(settings);
    double sum = 0;
    int in_burst = 0;
    constexpr int steps = 10'000;
    for (int step = 0; step < steps; ++step)
    {
        const auto level =
            load::level_at(plan[1], settings, cycle * step / steps);
        sum += level.rate;
        in_burst += level.rate > plan[1].mean_rate ? 1 : 0;
        CHECK(level.left > base::duration{});
    }
    CHECK(sum / steps == doctest::Approx(50).epsilon(0.01));
    CHECK(in_burst / double{steps} == doctest::Approx(0.192).epsilon(0.01));
}

TEST_CASE("a burst exceeds the capacity of the pool by the asked share")
{
    load::traffic_settings settings;
    settings.burst_load = 1.5;
    const auto plan = load::plan_traffic(two_queues(), settings);
    // 10 slots of 100 ms are 100 tasks a second.
    CHECK(plan[0].mean_rate * load::burst_level == doctest::Approx(150));
}

TEST_CASE("an honest entry instance passes the check")
{
    std::size_t calls = 0;
    CHECK(violations_of(small_entry::mode::honest, calls).empty());
    CHECK(calls > 30);
    CHECK(calls < 300);
}

// Guards against a load tool that cannot see a false answer.
TEST_CASE("work that ran although reported as not run is found")
{
    std::size_t calls = 0;
    const auto found = violations_of(small_entry::mode::denies, calls);
    CHECK(found.size() == calls);
    for (const auto& one : found)
        CHECK(one.kind == standin::violation_kind::not_run_but_started);
}

TEST_CASE("answers that belong to other callers are found")
{
    std::size_t calls = 0;
    const auto found = violations_of(small_entry::mode::mixes_up, calls);
    CHECK(found.size() == calls);
    for (const auto& one : found)
        CHECK(one.kind == standin::violation_kind::wrong_answer);
}
