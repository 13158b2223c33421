#ifndef PIMENTOGRADE_TESTS_NODE_CLUSTER_HPP
#define PIMENTOGRADE_TESTS_NODE_CLUSTER_HPP

#include "base/time.hpp"
#include "log/event.hpp"
#include "net/http_client.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "node/node_instance.hpp"
#include "node/test_ports.hpp"

#include <boost/fiber/operations.hpp>

#include "platform_standin/platform_double.hpp"
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Complete entry instances with a test double of the platform, on loopback.
namespace pimentograde::node_tests
{

using namespace std::chrono_literals;
using platform_standin::platform_double;

inline bool eventually(const std::function<bool()>& holds,
                       base::duration limit = 15s)
{
    const auto deadline = base::steady_now() + limit;
    while (base::steady_now() < deadline)
    {
        if (holds())
            return true;
        boost::this_fiber::sleep_for(10ms);
    }
    return holds();
}

struct entry
{
    platform::node_settings settings;
    std::unique_ptr<node::node_instance> instance;

    entry(const platform_double& platform, const std::string& name,
          double cores = 1.0, std::optional<net::endpoint> way_to_store = {},
          std::optional<std::uint16_t> internal_port = {},
          node::node_options options = {})
    {
        auto& ports = test_ports::of_this_process();
        settings.cores = cores;
        settings.name = name;
        settings.zone = "z";
        settings.address = "127.0.0.1";
        settings.first_internal_port =
            internal_port ? *internal_port : ports.reserve(2);
        settings.caller_listen = {"127.0.0.1", ports.reserve(1)};
        settings.readiness_listen = {"127.0.0.1", ports.reserve(1)};
        settings.store = way_to_store.value_or(platform.store_address());
        settings.machine_service = platform.machine_address();
        settings.longest_worker_lease = 1500ms;
        settings.grace = 3500ms;
        settings.move_time = 200ms;
        settings.maintenance_time = 200ms;
        settings.machine_holder_pause = 300ms;
        settings.is_first_start = true;
        instance = std::make_unique<node::node_instance>(
            settings, [this] { return settings; }, options);
        instance->start();
    }
};

struct caller
{
    std::unique_ptr<net::http_client> http =
        net::http_client::builder{}.build();

    net::http_response call(const entry& where, const std::string& method,
                            const std::string& path,
                            const std::string& body = {}) const
    {
        net::http_request request;
        request.method = method;
        request.target = path;
        request.body = body;
        request.host = "h";
        return http->send(where.settings.caller_listen, request,
                          base::steady_now() + 5s, "call");
    }
    unsigned submit(const entry& where, const std::string& id,
                    const std::string& body) const
    {
        return call(where, "POST", "/q/" + id, body).status;
    }
    [[nodiscard]] bool owns_pool(const entry& where) const
    {
        return state_contains(where, "\"loaded\":true");
    }
    [[nodiscard]] bool accepts_starts(const entry& where) const
    {
        return state_contains(where, "\"accepts_starts\":true");
    }
    /// Whether the owner of the worker's pool counts it among its workers.
    [[nodiscard]] bool knows_worker(const entry& where,
                                    const std::string& worker) const
    {
        return state_contains(where, '"' + worker + "\":{");
    }
    [[nodiscard]] bool state_contains(const entry& where,
                                      const std::string& text) const
    {
        net::http_request request;
        request.method = "GET";
        request.target = "/state";
        const auto metrics_port =
            static_cast<std::uint16_t>(where.settings.first_internal_port + 1);
        const auto reply = http->send({"127.0.0.1", metrics_port}, request,
                                      base::steady_now() + 5s, "state");
        return reply.body.find(text) != std::string::npos;
    }
    std::string state(const entry& where, const std::string& id) const
    {
        const auto reply = call(where, "GET", "/q/" + id);
        return reply.status == 200 ? reply.body : std::to_string(reply.status);
    }
};

inline const std::string two_steps =
    R"({"Spec":"s","Steps":[{"Count":3,"Cpu":1000,"MemMb":10,"EstimateMs":100},
    {"Count":1,"Cpu":1000,"MemMb":10,"EstimateMs":100,"After":[0]}]})";
inline const std::string one_task =
    R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1000,"MemMb":10,
    "EstimateMs":100}]})";
inline const std::string whole_worker =
    R"({"Spec":"s","Steps":[{"Count":1,"Cpu":4000,"MemMb":10,
    "EstimateMs":100}]})";
inline const std::string lasting =
    R"({"Spec":"lasts","Steps":[{"Count":1,"Cpu":1000,"MemMb":10,
    "EstimateMs":100,"LongRunning":true}]})";
inline const std::string id_a = "00000000000000aa";
inline const std::string id_b = "00000000000000bb";
inline const std::string completed = R"({"State":"completed"})";
inline const std::string running = R"({"State":"running"})";

struct cluster
{
    platform_double platform;
    caller client;
    std::vector<std::unique_ptr<entry>> entries;

    explicit cluster(int instances, int workers = 2,
                     base::duration task_time = 100ms)
    {
        if (std::getenv("PIMENTOGRADE_TEST_LOG") != nullptr)
            log::configure(log::format::plain, log::severity::info, "test");
        platform.configure(1, "pool");
        for (int index = 0; index < workers; ++index)
            platform.add_worker("w" + std::to_string(index), "pool", task_time);
        for (int index = 0; index < instances; ++index)
            entries.push_back(
                std::make_unique<entry>(platform, "e" + std::to_string(index)));
        REQUIRE(eventually(
            [&]
            {
                for (const auto& one : entries)
                    if (!one->instance->is_ready() ||
                        client.call(*one, "GET", "/q/").status != 200)
                        return false;
                return entries.empty() || workers == 0 || has_usable_worker();
            }));
    }
    ~cluster()
    {
        for (const auto& one : entries)
            if (one)
                one->instance->stop();
    }
    // A pool refuses jobs until its workers are listed and recorded.
    [[nodiscard]] bool has_usable_worker() const
    {
        return std::any_of(entries.begin(), entries.end(),
                           [this](const auto& one)
                           { return client.accepts_starts(*one); });
    }
    [[nodiscard]] std::size_t owner() const
    {
        for (std::size_t index = 0; index < entries.size(); ++index)
            if (entries[index] && client.owns_pool(*entries[index]))
                return index;
        return entries.size();
    }
    [[nodiscard]] bool completes(std::size_t index, const std::string& id) const
    {
        return eventually(
            [&] { return client.state(*entries[index], id) == completed; });
    }
};

} // namespace pimentograde::node_tests

#endif
