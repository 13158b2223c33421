#include "provider/worker_client.hpp"

#include "provider/json_exchange.hpp"

#include <boost/json.hpp>

#include <array>
#include <functional>
#include <utility>

namespace pimentograde::provider
{

namespace json = boost::json;

namespace
{

struct state_word
{
    std::string_view word;
    lease_state state;
};

constexpr std::array<state_word, 7> state_words{{
    {"unknown", lease_state::unknown},
    {"reserved", lease_state::reserved},
    {"running", lease_state::running},
    {"done", lease_state::done},
    {"failed", lease_state::failed},
    {"stopped_unstarted", lease_state::stopped_unstarted},
    {"stopped_started", lease_state::stopped_started},
}};

lease_state read_state(const response_reader& response)
{
    const std::string word = response.text("state");
    for (const state_word& known : state_words)
        if (known.word == word)
            return known.state;
    response.fail("unknown lease state");
}

std::uint64_t read_incarnation(const response_reader& response)
{
    const std::uint64_t incarnation = response.number("incarnation");
    if (incarnation == 0)
        response.fail("incarnation is 0");
    return incarnation;
}

lease_status read_status(const response_reader& response)
{
    return {read_state(response), response.text("answer"),
            response.text("reason"), read_incarnation(response),
            response.millis("run_time_ms")};
}

// A state that has not ended contradicts a call that waits for the end.
void require_ended(const response_reader& response, lease_state state)
{
    if (state == lease_state::reserved || state == lease_state::running)
        response.fail("the task has not ended");
}

reserve_outcome read_outcome(const response_reader& response)
{
    const std::string word = response.text("outcome");
    if (word == "granted")
        return reserve_outcome::granted;
    if (word == "full")
        return reserve_outcome::full;
    if (word == "leaving")
        return reserve_outcome::leaving;
    if (word == "too_large")
        return reserve_outcome::too_large;
    response.fail("unknown outcome");
}

base::task_size read_size(const response_reader& response)
{
    return {response.real("cores"), response.number("memory_mb"),
            response.small_number("accelerators")};
}

json::object to_json(const base::task_size& size)
{
    return {{"cores", size.cores},
            {"memory_mb", size.memory_mb},
            {"accelerators", size.accelerators}};
}

json::object to_json(const task_spec& task)
{
    return {{"task", task.task},
            {"queue", task.queue},
            {"size", to_json(task.size)},
            {"payload", task.payload}};
}

} // namespace

struct worker_client::impl
{
    std::unique_ptr<net::http_client> client;

    response_reader call(const worker_endpoint& worker, std::string_view target,
                         std::string_view step, base::time_point deadline,
                         json::object body);
    lease_status lease_call(const worker_endpoint& worker,
                            const base::lease_id& lease,
                            std::string_view target, std::string_view step,
                            base::time_point deadline, json::object body = {});
    reserve_result reserve(const worker_endpoint& worker,
                           const base::task_size& size, base::duration ttl,
                           base::time_point deadline);
    lease_status start(const worker_endpoint& worker,
                       const base::lease_id& lease, const task_spec& task,
                       base::time_point deadline);
    run_result run(const worker_endpoint& worker, const task_spec& task,
                   base::time_point deadline);
    lease_status end_call(const worker_endpoint& worker,
                          const base::lease_id& lease, std::string_view target,
                          std::string_view step, base::time_point deadline);
    worker_report report(const worker_endpoint& worker,
                         base::time_point deadline);
    void plain_call(const worker_endpoint& worker, std::string_view target,
                    std::string_view step, base::time_point deadline);
};

// The request names the worker and the response repeats the name: an address
// may have passed to another worker.
response_reader worker_client::impl::call(const worker_endpoint& worker,
                                          std::string_view target,
                                          std::string_view step,
                                          base::time_point deadline,
                                          json::object body)
{
    body["worker"] = worker.id.str();
    auto response =
        exchange(*client, {worker.address, target, step, deadline}, body);
    response.expect_echo("worker", worker.id.str());
    return response;
}

lease_status worker_client::impl::lease_call(const worker_endpoint& worker,
                                             const base::lease_id& lease,
                                             std::string_view target,
                                             std::string_view step,
                                             base::time_point deadline,
                                             json::object body)
{
    body["lease"] = lease.str();
    const auto response = call(worker, target, step, deadline, std::move(body));
    response.expect_echo("lease", lease.str());
    return read_status(response);
}

reserve_result worker_client::impl::reserve(const worker_endpoint& worker,
                                            const base::task_size& size,
                                            base::duration ttl,
                                            base::time_point deadline)
{
    const auto response =
        call(worker, "/v1/leases/reserve", "worker reserve", deadline,
             {{"size", to_json(size)}, {"ttl_ms", base::count_millis(ttl)}});
    reserve_result result;
    result.outcome = read_outcome(response);
    result.lease = base::lease_id(response.text("lease"));
    result.incarnation = read_incarnation(response);
    result.slots_used = response.small_number("slots_used");
    if ((result.outcome == reserve_outcome::granted) == result.lease.empty())
        response.fail("outcome and lease contradict each other");
    return result;
}

lease_status worker_client::impl::start(const worker_endpoint& worker,
                                        const base::lease_id& lease,
                                        const task_spec& task,
                                        base::time_point deadline)
{
    json::object body = to_json(task);
    body["lease"] = lease.str();
    const auto response = call(worker, "/v1/leases/start", "worker start",
                               deadline, std::move(body));
    response.expect_echo("lease", lease.str());
    response.expect_echo("task", task.task);
    lease_status status = read_status(response);
    require_ended(response, status.state);
    return status;
}

run_result worker_client::impl::run(const worker_endpoint& worker,
                                    const task_spec& task,
                                    base::time_point deadline)
{
    const auto response =
        call(worker, "/v1/run", "worker run", deadline, to_json(task));
    response.expect_echo("task", task.task);
    run_result result;
    result.outcome = read_outcome(response);
    if (result.outcome != reserve_outcome::granted)
        return result;
    const auto status = response.nested("status");
    result.status = read_status(status);
    require_ended(status, result.status.state);
    return result;
}

// The final state after a stop or a checkpoint is never one that can go on.
lease_status worker_client::impl::end_call(const worker_endpoint& worker,
                                           const base::lease_id& lease,
                                           std::string_view target,
                                           std::string_view step,
                                           base::time_point deadline)
{
    json::object body{{"lease", lease.str()}};
    const auto response = call(worker, target, step, deadline, std::move(body));
    response.expect_echo("lease", lease.str());
    lease_status status = read_status(response);
    require_ended(response, status.state);
    return status;
}

worker_report worker_client::impl::report(const worker_endpoint& worker,
                                          base::time_point deadline)
{
    const auto response =
        call(worker, "/v1/report", "worker report", deadline, {});
    worker_report report;
    report.incarnation = read_incarnation(response);
    report.leaving = response.flag("leaving");
    report.slots = response.small_number("slots");
    report.slots_used = response.small_number("slots_used");
    for (const response_reader& element : response.elements("usage"))
        report.usage.push_back(
            {base::lease_id(element.text("lease")), element.text("queue"),
             read_size(element.nested("used")), element.millis("run_time_ms")});
    return report;
}

void worker_client::impl::plain_call(const worker_endpoint& worker,
                                     std::string_view target,
                                     std::string_view step,
                                     base::time_point deadline)
{
    call(worker, target, step, deadline, {});
}

worker_client::builder& worker_client::builder::max_idle(std::size_t count)
{
    max_idle_ = count;
    return *this;
}

std::unique_ptr<worker_client> worker_client::builder::build()
{
    auto state = std::make_unique<impl>();
    state->client = net::http_client::builder{}.max_idle(max_idle_).build();
    return std::unique_ptr<worker_client>(new worker_client(std::move(state)));
}

worker_client::worker_client(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{
}

worker_client::~worker_client() = default;

worker_operations worker_client::operations()
{
    impl* self = impl_.get();
    using deadline_type = base::time_point;
    const auto lease_hook =
        [self](std::string_view target, std::string_view step)
    {
        return [=](const worker_endpoint& worker, const base::lease_id& lease,
                   deadline_type deadline)
        {
            return self->lease_call(worker, lease, target, step, deadline);
        };
    };
    const auto plain_hook =
        [self](std::string_view target, std::string_view step)
    {
        return [=](const worker_endpoint& worker, deadline_type deadline)
        {
            self->plain_call(worker, target, step, deadline);
        };
    };
    worker_operations hooks;
    hooks.reserve = std::bind_front(&impl::reserve, self);
    hooks.start = std::bind_front(&impl::start, self);
    hooks.run = std::bind_front(&impl::run, self);
    hooks.query = lease_hook("/v1/leases/query", "worker query");
    hooks.renew = [self](const worker_endpoint& worker,
                         const base::lease_id& lease, base::duration ttl,
                         deadline_type deadline)
    {
        return self->lease_call(worker, lease, "/v1/leases/renew",
                                "worker renew", deadline,
                                {{"ttl_ms", base::count_millis(ttl)}});
    };
    hooks.stop = [self](const worker_endpoint& worker,
                        const base::lease_id& lease, deadline_type deadline)
    {
        return self->end_call(worker, lease, "/v1/leases/stop", "worker stop",
                              deadline);
    };
    hooks.checkpoint = [self](const worker_endpoint& worker,
                              const base::lease_id& lease,
                              deadline_type deadline)
    {
        return self->end_call(worker, lease, "/v1/leases/checkpoint",
                              "worker checkpoint", deadline);
    };
    hooks.throttle = [self](const worker_endpoint& worker,
                            const base::lease_id& lease, double share,
                            deadline_type deadline)
    {
        self->lease_call(worker, lease, "/v1/leases/throttle",
                         "worker throttle", deadline, {{"share", share}});
    };
    hooks.report = std::bind_front(&impl::report, self);
    hooks.drain = plain_hook("/v1/drain", "worker drain");
    hooks.undrain = plain_hook("/v1/undrain", "worker undrain");
    hooks.reboot = plain_hook("/v1/reboot", "worker reboot");
    return hooks;
}

} // namespace pimentograde::provider
