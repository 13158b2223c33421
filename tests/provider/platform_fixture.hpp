#ifndef PIMENTOGRADE_TESTS_PLATFORM_FIXTURE_HPP
#define PIMENTOGRADE_TESTS_PLATFORM_FIXTURE_HPP

#include "base/error.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "provider/instance_list_client.hpp"
#include "provider/kv_client.hpp"
#include "provider/worker_client.hpp"
#include "standin/fake_worker.hpp"
#include "standin/platform_standin.hpp"

#include <boost/fiber/operations.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentograde::testing
{

using namespace std::chrono_literals;

inline base::time_point in(base::duration length)
{
    return base::steady_now() + length;
}

/// The code of the `base::error` that `call` throws; empty when it returns.
inline std::optional<base::error_code>
code_of(const std::function<void()>& call)
{
    try
    {
        call();
    }
    catch (const base::error& failure)
    {
        return failure.code();
    }
    return std::nullopt;
}

/// Two workers with 2 slots, a store, a list, and clients of them.
struct platform_fixture
{
    static std::vector<standin::worker_settings> two_workers()
    {
        auto workers = standin::default_workers(2, 0);
        for (auto& settings : workers)
        {
            settings.slots = 2;
            settings.usage_lag = 50ms;
            settings.reboot_time = 50ms;
        }
        return workers;
    }

    explicit platform_fixture(
        std::vector<standin::worker_settings> workers = two_workers())
    {
        net::this_thread_io();
        platform = standin::platform_standin::builder{}
                       .seed(20261204)
                       .workers(std::move(workers))
                       .build();
        kv_connection = provider::kv_client::builder{}
                            .store(platform->store_endpoint())
                            .build();
        kv = kv_connection->operations();
        list_connection = provider::instance_list_client::builder{}
                              .address(platform->list_endpoint())
                              .build();
        instances = list_connection->operations();
        worker_connections = provider::worker_client::builder{}.build();
        work = worker_connections->operations();
        first = platform->worker_endpoints()[0];
        second = platform->worker_endpoints()[1];
    }

    /// Reserves on the first worker.
    base::lease_id reserve(base::duration ttl = 5s)
    {
        const auto result = work.reserve(first, {1, 100, 0}, ttl, in(1s));
        return result.lease;
    }

    static provider::task_spec task(const std::string& name, int sleep_ms,
                                    const std::string& more = "")
    {
        return {name,
                "queue",
                {1, 100, 0},
                R"({"answer":"token of )" + name + R"(","sleep_ms":)" +
                    std::to_string(sleep_ms) + more + "}"};
    }

    /// Waits until the workers have started this many tasks.
    void wait_for_starts(std::size_t count) const
    {
        const auto deadline = in(30s);
        while (platform->log().entries().size() < count &&
               base::steady_now() < deadline)
            boost::this_fiber::sleep_for(1ms);
    }

    std::uint64_t set_fault(standin::fault_kind kind,
                            base::duration duration = {},
                            base::duration delay = {})
    {
        return platform->set_fault({kind, "", 1, duration, delay, 1});
    }

    std::unique_ptr<standin::platform_standin> platform;
    std::unique_ptr<provider::kv_client> kv_connection;
    std::unique_ptr<provider::instance_list_client> list_connection;
    std::unique_ptr<provider::worker_client> worker_connections;
    provider::kv_operations kv;
    provider::instance_list_operations instances;
    provider::worker_operations work;
    provider::worker_endpoint first;
    provider::worker_endpoint second;
};

} // namespace pimentograde::testing

#endif
