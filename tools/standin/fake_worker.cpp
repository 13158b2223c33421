#include "standin/fake_worker.hpp"

#include "base/error.hpp"
#include "standin/lossy_server.hpp"
#include "standin/request_reader.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

namespace pimentograde::standin
{

namespace json = boost::json;
using provider::lease_state;

namespace
{

constexpr std::chrono::milliseconds hang_poll{10};
// The response to a reboot call is sent before the listener closes.
constexpr std::chrono::milliseconds reboot_delay{20};
// Bounds a wait whose end depends on faults.
constexpr std::chrono::seconds longest_wait{1};

std::string_view to_word(lease_state state)
{
    switch (state)
    {
    case lease_state::unknown:
        return "unknown";
    case lease_state::reserved:
        return "reserved";
    case lease_state::running:
        return "running";
    case lease_state::done:
        return "done";
    case lease_state::failed:
        return "failed";
    case lease_state::stopped_unstarted:
        return "stopped_unstarted";
    case lease_state::stopped_started:
        break;
    }
    return "stopped_started";
}

std::string_view to_word(provider::reserve_outcome outcome)
{
    switch (outcome)
    {
    case provider::reserve_outcome::granted:
        return "granted";
    case provider::reserve_outcome::full:
        return "full";
    case provider::reserve_outcome::leaving:
        return "leaving";
    case provider::reserve_outcome::too_large:
        break;
    }
    return "too_large";
}

json::object to_json(const provider::lease_status& status)
{
    return {{"state", to_word(status.state)},
            {"answer", status.answer},
            {"reason", status.reason},
            {"incarnation", status.incarnation},
            {"run_time_ms", base::count_millis(status.run_time)}};
}

json::object to_json(const base::task_size& size)
{
    return {{"cores", size.cores},
            {"memory_mb", size.memory_mb},
            {"accelerators", size.accelerators}};
}

base::task_size size_of(const request_reader& request)
{
    const request_reader size = request.nested("size");
    return {size.real("cores"), size.number("memory_mb"),
            static_cast<std::uint32_t>(size.number("accelerators"))};
}

provider::task_spec task_of(const request_reader& request)
{
    return {request.text("task"), request.text("queue"), size_of(request),
            request.text("payload")};
}

bool is_new_work(std::string_view target)
{
    return target == "/v1/leases/reserve" || target == "/v1/leases/start" ||
           target == "/v1/run";
}

} // namespace

struct fake_worker::impl
{
    impl(const worker_settings& settings, execution_log& log,
         checkpoint_table& checkpoints, fault_board& board)
        : model(settings,
                static_cast<std::uint64_t>(base::to_millis(base::wall_now())),
                log, checkpoints),
          faults(&board)
    {
    }

    worker_model model;
    fault_board* faults;
    std::unique_ptr<lossy_server> server;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool stopping = false;
    bool killed = false;
    std::optional<base::time_point> reboot_start;
    std::optional<base::time_point> reboot_end;
    /// Changes with each loss of the worker: older calls get no response.
    std::uint64_t generation = 0;

    std::optional<fault> draw(fault_kind kind)
    {
        return faults->draw(kind, model.settings().id.str(),
                            base::steady_now());
    }
    [[nodiscard]] bool is_lost(std::uint64_t started_in) const
    {
        return stopping || started_in != generation;
    }
    void lose();
    bool freeze(std::uint64_t started_in);
    reply handle(const net::http_request& request);
    json::object act(std::string_view target, const request_reader& request,
                     std::uint64_t started_in);
    json::object reserve(const request_reader& request);
    json::object run(const request_reader& request, std::uint64_t started_in);
    json::object lease_action(std::string_view target,
                              const request_reader& request,
                              std::uint64_t started_in);
    json::object report();
    provider::lease_status start(const base::lease_id& lease,
                                 const provider::task_spec& task,
                                 std::uint64_t started_in);
};

void fake_worker::impl::lose()
{
    ++generation;
    server->close();
    changed.notify_all();
}

bool fake_worker::impl::freeze(std::uint64_t started_in)
{
    while (!is_lost(started_in) &&
           faults->is_on(fault_kind::worker_freeze, model.settings().id.str(),
                         base::steady_now()))
        boost::this_fiber::sleep_for(hang_poll);
    return !is_lost(started_in);
}

reply fake_worker::impl::handle(const net::http_request& request)
{
    const std::uint64_t started_in = generation;
    if (draw(fault_kind::worker_freeze) && !freeze(started_in))
        return {{}, delivery::lost};
    if (const auto slow = draw(fault_kind::worker_slow))
        boost::this_fiber::sleep_for(slow->delay);
    if (is_lost(started_in))
        return {{}, delivery::lost};
    const bool refused = is_new_work(request.target) &&
                         (reboot_end || draw(fault_kind::worker_refuse));
    if (refused)
        return {error_response(503, "refused", "the worker refuses")};
    const request_reader fields(request.body);
    if (fields.has("worker") &&
        fields.text("worker") != model.settings().id.str())
        return {error_response(409, "conflict", "another worker")};
    json::object body = act(request.target, fields, started_in);
    if (is_lost(started_in))
        return {{}, delivery::lost};
    body["worker"] = model.settings().id.str();
    reply answer;
    answer.response.body = json::serialize(body);
    if (draw(fault_kind::worker_truncate))
    {
        answer.how = faults->random().below(2) == 0 ? delivery::truncated
                                                    : delivery::short_body;
        answer.sent_share = faults->random().unit();
    }
    return answer;
}

json::object fake_worker::impl::act(std::string_view target,
                                    const request_reader& request,
                                    std::uint64_t started_in)
{
    const auto now = base::steady_now();
    if (target == "/v1/leases/reserve")
        return reserve(request);
    if (target == "/v1/run")
        return run(request, started_in);
    if (target.starts_with("/v1/leases/"))
        return lease_action(target, request, started_in);
    if (target == "/v1/report")
        return report();
    if (target == "/v1/drain")
        model.drain(now);
    else if (target == "/v1/undrain")
        model.undrain();
    else if (target == "/v1/reboot")
    {
        model.reboot(now);
        reboot_start = now + reboot_delay;
        reboot_end = *reboot_start + model.settings().reboot_time;
    }
    else
        throw base::error(base::error_code::not_found, "worker", "",
                          "unknown operation");
    return {};
}

json::object fake_worker::impl::reserve(const request_reader& request)
{
    const auto result = model.reserve(
        size_of(request), request.millis("ttl_ms"), base::steady_now());
    return {{"outcome", to_word(result.outcome)},
            {"lease", result.lease.str()},
            {"incarnation", result.incarnation},
            {"slots_used", result.slots_used}};
}

provider::lease_status fake_worker::impl::start(const base::lease_id& lease,
                                                const provider::task_spec& task,
                                                std::uint64_t started_in)
{
    const bool fails = draw(fault_kind::worker_fail_tasks).has_value();
    auto status = model.start(lease, task, fails, base::steady_now());
    while (status.state == lease_state::running && !is_lost(started_in))
    {
        const auto now = base::steady_now();
        const auto wake = std::min<base::time_point>(
            model.next_event().value_or(now + longest_wait),
            now + longest_wait);
        {
            std::unique_lock lock(mutex);
            changed.wait_until(lock, wake);
        }
        if (is_lost(started_in))
            break;
        status = model.query(lease, base::steady_now());
    }
    return status;
}

json::object fake_worker::impl::run(const request_reader& request,
                                    std::uint64_t started_in)
{
    constexpr std::chrono::seconds short_ttl{1};
    const provider::task_spec task = task_of(request);
    const auto reserved =
        model.reserve(task.size, short_ttl, base::steady_now());
    json::object body{{"task", task.task},
                      {"outcome", to_word(reserved.outcome)}};
    if (reserved.outcome == provider::reserve_outcome::granted)
        body["status"] = to_json(start(reserved.lease, task, started_in));
    return body;
}

json::object fake_worker::impl::lease_action(std::string_view target,
                                             const request_reader& request,
                                             std::uint64_t started_in)
{
    const std::string_view action =
        target.substr(std::string_view("/v1/leases/").size());
    const base::lease_id lease(request.text("lease"));
    const auto now = base::steady_now();
    provider::lease_status status;
    if (action == "start")
        status = start(lease, task_of(request), started_in);
    else if (action == "query")
        status = model.query(lease, now);
    else if (action == "renew")
        status = model.renew(lease, request.millis("ttl_ms"), now);
    else if (action == "stop")
        status = model.stop(lease, now);
    else if (action == "checkpoint")
        status = model.checkpoint(lease, now);
    else if (action == "throttle")
        status = model.throttle(lease, request.real("share"), now);
    else
        throw base::error(base::error_code::not_found, "worker", "",
                          "unknown operation");
    if (action != "start" && action != "query")
        changed.notify_all();
    json::object body = to_json(status);
    body["lease"] = lease.str();
    if (action == "start")
        body["task"] = request.text("task");
    return body;
}

json::object fake_worker::impl::report()
{
    const auto current = model.report(base::steady_now());
    json::array usage;
    for (const auto& task : current.usage)
        usage.push_back(
            json::object{{"lease", task.lease.str()},
                         {"queue", task.queue},
                         {"used", to_json(task.used)},
                         {"run_time_ms", base::count_millis(task.run_time)}});
    return {{"incarnation", current.incarnation},
            {"leaving", current.leaving},
            {"slots", current.slots},
            {"slots_used", current.slots_used},
            {"usage", std::move(usage)}};
}

fake_worker::fake_worker(const worker_settings& settings, execution_log& log,
                         checkpoint_table& checkpoints, fault_board& faults)
    : impl_(std::make_unique<impl>(settings, log, checkpoints, faults))
{
    impl_->server = lossy_server::builder{}
                        .listen_on(settings.address)
                        .max_connections(settings.connections)
                        .handle_with([self = impl_.get()](const auto& request)
                                     { return self->handle(request); })
                        .build();
}

fake_worker::~fake_worker()
{
    impl_->stopping = true;
    impl_->server->close();
    impl_->changed.notify_all();
    impl_->server->join();
}

provider::worker_endpoint fake_worker::endpoint() const
{
    return {impl_->model.settings().id, impl_->server->local_endpoint()};
}

worker_model& fake_worker::model()
{
    return impl_->model;
}

bool fake_worker::is_up() const
{
    return impl_->server->is_open();
}

void fake_worker::apply_faults(base::time_point now)
{
    impl& self = *impl_;
    const std::string& id = self.model.settings().id.str();
    const bool kill = self.faults->is_on(fault_kind::worker_kill, id, now);
    if (kill && !self.killed)
    {
        self.model.kill(now);
        self.lose();
    }
    self.killed = kill;
    if (self.reboot_start && now >= *self.reboot_start)
    {
        self.reboot_start.reset();
        self.lose();
    }
    if (self.reboot_end && now >= *self.reboot_end)
        self.reboot_end.reset();
    if (!self.killed && !self.reboot_end)
        self.server->open();
    double slowness = 1;
    for (const active_fault& active : self.faults->list(now))
        if (active.what.kind == fault_kind::worker_slow &&
            (active.what.worker.empty() || active.what.worker == id))
            slowness = std::max(slowness, active.what.factor);
    self.model.set_slowness(slowness, now);
    self.model.advance(now);
}

} // namespace pimentograde::standin
