#ifndef PIMENTOGRADE_TESTS_DISPATCH_INSTANCE_HPP
#define PIMENTOGRADE_TESTS_DISPATCH_INSTANCE_HPP

#include "dispatch/fake_workers.hpp"
#include "dispatch/work_dispatcher.hpp"
#include "net/io_scheduler.hpp"
#include "net/task_group.hpp"
#include "records/fake_store.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace pimentograde::tests
{

using namespace std::chrono_literals;

/// Fault injected into a process at one of its hook calls.
enum class process_fault
{
    none,
    request_lost,
    response_lost,
    kill_before,
    kill_after,
    freeze_before,
    freeze_after
};

/// Simulates the faults of one process. Each of its hook calls goes through
/// `invoke`, which may lose messages or kill or freeze the process.
struct process_fault_injector
{
    std::function<process_fault()> next = []
    {
        return process_fault::none;
    };
    bool killed = false;
    bool frozen = false;
    base::duration freeze_time = 30ms;

    [[noreturn]] static void fail(base::error_code code)
    {
        throw base::error(code, "hook", "fake", "fault");
    }

    void wait_while_frozen() const
    {
        while (frozen && !killed)
            boost::this_fiber::sleep_for(500us);
    }

    void freeze()
    {
        if (std::exchange(frozen, true))
            return wait_while_frozen();
        boost::this_fiber::sleep_for(freeze_time);
        frozen = false;
    }

    template <class Call>
    auto invoke(Call&& call) -> decltype(call())
    {
        wait_while_frozen();
        const auto fault = killed ? process_fault::none : next();
        if (fault == process_fault::freeze_before)
            freeze();
        if (fault == process_fault::kill_before)
            killed = true;
        if (killed)
            fail(base::error_code::unavailable);
        if (fault == process_fault::request_lost)
            fail(base::error_code::timeout);
        auto out = call();
        if (fault == process_fault::freeze_after)
            freeze();
        if (fault == process_fault::kill_after)
            killed = true;
        wait_while_frozen();
        if (killed || fault == process_fault::response_lost)
            fail(base::error_code::cut_off);
        return out;
    }

    template <class Result, class... Arguments>
    std::function<Result(Arguments...)>
    wrap(std::function<Result(Arguments...)> inner)
    {
        return [this, inner](Arguments... arguments)
        {
            return invoke([&] { return inner(arguments...); });
        };
    }

    provider::kv_operations wrap(provider::kv_operations inner)
    {
        inner.get = wrap(inner.get);
        inner.compare_and_swap = wrap(inner.compare_and_swap);
        return inner;
    }

    provider::worker_operations wrap(provider::worker_operations inner)
    {
        inner.reserve = wrap(inner.reserve);
        inner.start = wrap(inner.start);
        inner.run = wrap(inner.run);
        inner.query = wrap(inner.query);
        inner.renew = wrap(inner.renew);
        inner.stop = wrap(inner.stop);
        return inner;
    }
};

inline std::shared_ptr<const config::bundle> make_bundle(std::size_t workers)
{
    auto out = std::make_shared<config::bundle>();
    for (std::size_t i = 0; i < workers; ++i)
    {
        config::worker entry;
        entry.id = base::worker_id("w" + std::to_string(i));
        entry.size = {8, 1000, 0};
        entry.slots = 8;
        out->workers.push_back(entry);
    }
    config::queue queue;
    queue.name = base::queue_name("quotes");
    queue.pool = base::pool_name("field");
    out->queues.push_back(queue);
    return out;
}

/// Slot operations that choose a random worker that is not excluded. The worker
/// itself refuses when it is full.
inline policy::slot_operations
random_slots(const std::shared_ptr<const config::bundle>& bundle,
             const std::shared_ptr<base::random_source>& random)
{
    policy::slot_operations out;
    out.acquire = [=](const policy::slot_request& request)
    {
        policy::slot_decision decision;
        std::vector<base::worker_id> free;
        for (const auto& worker : bundle->workers)
            if (std::ranges::find(request.excluded, worker.id) ==
                request.excluded.end())
                free.push_back(worker.id);
        if (free.empty())
            return decision;
        decision.grant = policy::slot_grant{random->hex_id(),
                                            free[random->below(free.size())],
                                            request.pool,
                                            {}};
        return decision;
    };
    out.release = [](const policy::slot_request&, const policy::slot_grant&,
                     policy::slot_outcome, base::duration) {
    };
    return out;
}

/// Settings with short times, so that a history takes a fraction of a second.
inline dispatch::runner_settings quick_settings()
{
    dispatch::runner_settings out;
    out.lease_ttl = 20ms;
    out.store_attempt = 10ms;
    out.worker_call = 10ms;
    out.start_wait = 15ms;
    out.first_poll = 1ms;
    out.longest_poll = 4ms;
    out.reserved_grace = 3ms;
    out.follow_time = 30ms;
    out.first_retry = 1ms;
    out.longest_retry = 6ms;
    out.scan_interval = 4ms;
    out.refresh_interval = 4ms;
    out.orphan_age = 5ms;
    out.unknown_interval = 10ms;
    out.job_slot_wait = 10ms;
    out.read_age = 1ms;
    return out;
}

inline records::shard_timing quick_timing()
{
    return {10ms, 1ms, 5ms, 4ms, 1ms};
}

/// One entry instance: its fault injector, record table and runners.
struct instance
{
    instance(
        fake_store& store, fake_workers& workers,
        std::shared_ptr<const config::bundle> bundle, std::uint64_t seed,
        std::function<bool(std::size_t)> owns = [](std::size_t)
        { return true; },
        dispatch::runner_settings settings = quick_settings())
    {
        net::this_thread_io();
        auto random = std::make_shared<base::random_source>(seed);
        table = records::record_table::builder{}
                    .store(fault_injector.wrap(store.operations()))
                    .writes_per_second([] { return 1e5; })
                    .timing(quick_timing())
                    .seed(seed)
                    .build();
        hooks.workers = fault_injector.wrap(workers.operations());
        hooks.slots = random_slots(bundle, random);
        hooks.bundle = [bundle]
        {
            return bundle;
        };
        hooks.owns_shard = std::move(owns);
        work = dispatch::work_dispatcher::builder{}
                   .hooks(hooks)
                   .settings(settings)
                   .table(table)
                   .seed(seed)
                   .build();
    }

    process_fault_injector fault_injector;
    dispatch::runner_hooks hooks;
    std::shared_ptr<records::record_table> table;
    std::unique_ptr<dispatch::work_dispatcher> work;
    /// For designs that continue after returning a result. Joined before the
    /// other members are destroyed.
    net::task_group background;
};

inline base::submission make_work(const std::string& key, base::work_kind kind,
                                  bool idempotent = false)
{
    base::submission out;
    out.identity = {base::department_name("field"), base::caller_name("club"),
                    key};
    out.kind = kind;
    out.queue = base::queue_name("quotes");
    out.size = {1, 100, 0};
    out.idempotent = idempotent;
    out.issued_at = base::wall_now();
    out.time_limit = 200ms;
    return out;
}

} // namespace pimentograde::tests

#endif
