#include "standin/platform_standin.hpp"

#include "base/error.hpp"
#include "net/http_server.hpp"
#include "net/task_group.hpp"
#include "standin/control.hpp"
#include "standin/fake_worker.hpp"
#include "standin/lossy_server.hpp"
#include "standin/store_model.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <utility>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds tick{10};
// Snapshots of the instance list older than this are dropped.
constexpr std::chrono::minutes list_history{5};

struct list_snapshot
{
    base::time_point since;
    std::vector<provider::listed_instance> instances;
};

bool equal(const std::vector<provider::listed_instance>& left,
           const std::vector<provider::listed_instance>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& one, const auto& other) {
                          return one.id == other.id && one.state == other.state;
                      });
}

} // namespace

struct platform_standin::impl
{
    explicit impl(std::uint64_t seed) : faults(seed) {}

    fault_board faults;
    execution_log log;
    checkpoint_table checkpoints;
    std::unique_ptr<fake_store> store;
    std::vector<std::unique_ptr<fake_worker>> workers;
    std::unique_ptr<lossy_server> list_server;
    base::duration list_lag{};
    std::deque<list_snapshot> snapshots;
    std::unique_ptr<net::http_server> control;
    net::stop_signal stop;
    net::task_group fibers;

    void apply_faults(base::time_point now);
    void expire_store_leases(base::time_point now);
    void take_snapshot(base::time_point now);
    [[nodiscard]] std::vector<provider::listed_instance>
    listed(base::time_point now) const;
    reply serve_list(const net::http_request& request);
};

void platform_standin::impl::expire_store_leases(base::time_point now)
{
    for (const active_fault& active : faults.list(now))
        if (active.what.kind == fault_kind::store_expire_leases)
        {
            store->model().expire_all_leases(now);
            store->notify();
            faults.clear(active.id);
        }
}

void platform_standin::impl::take_snapshot(base::time_point now)
{
    std::vector<provider::listed_instance> current;
    for (const auto& worker : workers)
        if (worker->is_up())
            current.push_back({worker->model().settings().id,
                               worker->model().leaving()
                                   ? provider::listed_state::leaving
                                   : provider::listed_state::live});
    if (snapshots.empty() || !equal(snapshots.back().instances, current))
        snapshots.push_back({now, std::move(current)});
    while (snapshots.size() > 1 && snapshots[1].since < now - list_history)
        snapshots.pop_front();
}

void platform_standin::impl::apply_faults(base::time_point now)
{
    expire_store_leases(now);
    store->apply_faults(now);
    for (const auto& worker : workers)
        worker->apply_faults(now);
    take_snapshot(now);
    if (faults.is_certain(fault_kind::list_down, "", now))
        list_server->close();
    else
        list_server->open();
}

std::vector<provider::listed_instance>
platform_standin::impl::listed(base::time_point now) const
{
    base::duration lag = list_lag;
    for (const active_fault& active : faults.list(now))
        if (active.what.kind == fault_kind::list_lag)
            lag = std::max(lag, active.what.delay);
    const list_snapshot* seen = &snapshots.front();
    for (const list_snapshot& candidate : snapshots)
        if (candidate.since <= now - lag)
            seen = &candidate;
    return seen->instances;
}

reply platform_standin::impl::serve_list(const net::http_request& request)
{
    const auto now = base::steady_now();
    if (faults.draw(fault_kind::list_down, "", now))
        return {{}, delivery::lost};
    if (request.target != "/v1/instances")
        return {error_response(404, "not_found", "unknown operation")};
    json::array instances;
    for (const auto& instance : listed(now))
        instances.push_back(json::object{
            {"id", instance.id.str()},
            {"state", instance.state == provider::listed_state::live
                          ? "live"
                          : "leaving"}});
    const json::object body{{"instances", std::move(instances)}};
    return {{200, json::serialize(body)}};
}

platform_standin::builder& platform_standin::builder::seed(std::uint64_t value)
{
    seed_ = value;
    return *this;
}

platform_standin::builder&
platform_standin::builder::store_port(std::uint16_t port)
{
    store_port_ = port;
    return *this;
}

platform_standin::builder&
platform_standin::builder::list_port(std::uint16_t port)
{
    list_port_ = port;
    return *this;
}

platform_standin::builder&
platform_standin::builder::control_port(std::uint16_t port)
{
    control_port_ = port;
    return *this;
}

platform_standin::builder&
platform_standin::builder::store_bounds(store_limits limits)
{
    store_limits_ = limits;
    return *this;
}

platform_standin::builder&
platform_standin::builder::list_lag(base::duration length)
{
    list_lag_ = length;
    return *this;
}

platform_standin::builder&
platform_standin::builder::workers(std::vector<worker_settings> settings)
{
    workers_ = std::move(settings);
    return *this;
}

std::unique_ptr<platform_standin> platform_standin::builder::build()
{
    const std::string loopback = "127.0.0.1";
    auto state = std::make_unique<impl>(seed_);
    impl* self = state.get();
    self->list_lag = list_lag_;
    self->store = std::make_unique<fake_store>(
        net::endpoint{loopback, store_port_}, store_limits_, self->faults);
    for (const worker_settings& settings : workers_)
        self->workers.push_back(std::make_unique<fake_worker>(
            settings, self->log, self->checkpoints, self->faults));
    self->list_server = lossy_server::builder{}
                            .listen_on({loopback, list_port_})
                            .handle_with([self](const auto& request)
                                         { return self->serve_list(request); })
                            .build();
    self->take_snapshot(base::steady_now());
    std::unique_ptr<platform_standin> standin(
        new platform_standin(std::move(state)));
    self->control = net::http_server::builder{}
                        .listen_on({loopback, control_port_})
                        .handle_with([owner = standin.get()](
                                         const net::http_request& request)
                                     { return serve_control(*owner, request); })
                        .build();
    self->fibers.spawn(
        [self]
        {
            while (!self->stop.wait_for(tick))
                self->apply_faults(base::steady_now());
        });
    return standin;
}

platform_standin::platform_standin(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

platform_standin::~platform_standin()
{
    impl_->stop.set();
    impl_->fibers.join();
    if (impl_->control)
        impl_->control->stop_now();
}

net::endpoint platform_standin::store_endpoint() const
{
    return impl_->store->local_endpoint();
}

net::endpoint platform_standin::list_endpoint() const
{
    return impl_->list_server->local_endpoint();
}

net::endpoint platform_standin::control_endpoint() const
{
    return impl_->control->local_endpoint();
}

std::vector<provider::worker_endpoint>
platform_standin::worker_endpoints() const
{
    std::vector<provider::worker_endpoint> endpoints;
    for (const auto& worker : impl_->workers)
        endpoints.push_back(worker->endpoint());
    return endpoints;
}

std::uint64_t platform_standin::set_fault(const fault& what)
{
    const auto now = base::steady_now();
    const std::uint64_t id = impl_->faults.set(what, now);
    impl_->apply_faults(now);
    return id;
}

bool platform_standin::clear_fault(std::uint64_t id)
{
    const bool cleared = impl_->faults.clear(id);
    impl_->apply_faults(base::steady_now());
    return cleared;
}

void platform_standin::clear_faults()
{
    impl_->faults.clear_all();
    impl_->apply_faults(base::steady_now());
}

const fault_board& platform_standin::faults() const
{
    return impl_->faults;
}

fake_store& platform_standin::store()
{
    return *impl_->store;
}

fake_worker& platform_standin::worker(std::string_view id)
{
    for (const auto& worker : impl_->workers)
        if (worker->model().settings().id.str() == id)
            return *worker;
    throw base::error(base::error_code::not_found, "find worker", "", id);
}

const execution_log& platform_standin::log() const
{
    return impl_->log;
}

std::vector<provider::listed_instance> platform_standin::listed() const
{
    return impl_->listed(base::steady_now());
}

std::vector<worker_settings> default_workers(std::size_t count,
                                             std::uint16_t base_port)
{
    std::vector<worker_settings> workers(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        char name[32];
        std::snprintf(name, sizeof name, "w%03zu", index + 1);
        workers[index].id = base::worker_id(name);
        if (base_port != 0)
            workers[index].address.port =
                static_cast<std::uint16_t>(base_port + index);
    }
    return workers;
}

} // namespace pimentograde::standin
