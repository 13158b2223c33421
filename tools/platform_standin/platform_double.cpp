#include "platform_standin/platform_double.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace pimentograde::platform_standin
{

namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

std::unique_ptr<net::http_server> serve(net::http_server::handler handler)
{
    return net::http_server::builder{}
        .listen_on({"127.0.0.1", 0})
        .handle_with(std::move(handler))
        .build();
}

json::object capacity()
{
    return {{"Cpu", 4000}, {"MemMb", 8000}, {"Gpu", 0}};
}

json::object configuration(std::int64_t version, const std::string& pool,
                           std::span<const std::string> more_pools)
{
    json::array services{json::object{{"Name", pool}}};
    for (const std::string& name : more_pools)
        services.push_back(json::object{{"Name", name}});
    const json::object queue{{"Name", "queue"},        {"Host", "h"},
                             {"Prefix", "/q/"},        {"Service", pool},
                             {"MaxAttempts", 3},       {"Stretch", 1.6},
                             {"TargetDurationMs", 600}};
    return {{"Version", version},
            {"Routes", json::array{queue}},
            {"Services", std::move(services)},
            {"Limits", {{"MaxBodyBytes", 100'000}}}};
}

} // namespace

platform_double::platform_double()
{
    store_server_ = serve([this](const net::http_request& request)
                          { return store.handle(request); });
    machine_server_ = serve([this](const net::http_request& request)
                            { return handle_machines(request); });
}

platform_double::~platform_double()
{
    for (auto& [id, entry] : workers_)
        entry.worker->end();
    store.faults = {};
}

worker_double& platform_double::add_worker(const std::string& id,
                                           const std::string& pool,
                                           base::duration task_time)
{
    worker_entry& entry = workers_[id];
    entry.pool = pool;
    entry.worker = std::make_unique<worker_double>(id, task_time);
    entry.server =
        serve([worker = entry.worker.get()](const net::http_request& request)
              { return worker->handle(request); });
    announce(entry);
    return *entry.worker;
}

void platform_double::announce(const worker_entry& entry)
{
    store.put("servers/" + entry.worker->id(),
              json::serialize(json::object{
                  {"Service", entry.pool},
                  {"Address",
                   net::to_string(entry.way ? entry.way->local_endpoint()
                                            : entry.server->local_endpoint())},
                  {"Zone", "z"},
                  {"State", "ready"},
                  {"Capacity", capacity()},
                  {"Labels", {"a", "r1"}},
                  {"born", entry.worker->born_ms()}}));
}

void platform_double::announce(const std::string& id)
{
    announce(workers_.at(id));
}

worker_double& platform_double::worker(const std::string& id)
{
    return *workers_.at(id).worker;
}

relay& platform_double::add_relay(const std::string& id)
{
    worker_entry& entry = workers_.at(id);
    entry.way = std::make_unique<relay>(entry.server->local_endpoint());
    entry.worker->cut_connections = [way = entry.way.get()]
    {
        way->cut();
    };
    announce(entry);
    return *entry.way;
}

relay& platform_double::way_to(const std::string& id)
{
    return *workers_.at(id).way;
}

std::vector<run_record> platform_double::records()
{
    std::vector<run_record> all;
    for (auto& [id, entry] : workers_)
    {
        entry.worker->refresh();
        all.insert(all.end(), entry.worker->records.begin(),
                   entry.worker->records.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const run_record& left, const run_record& right)
                     { return left.began < right.began; });
    return all;
}

void platform_double::begin_maintenance(const std::string& id)
{
    begin_maintenance(workers_.at(id));
}

void platform_double::begin_maintenance(worker_entry& entry)
{
    entry.down_until = base::steady_now() + maintenance_time;
    entry.worker->restart();
    announce(entry);
}

void platform_double::note_maintained(const std::string& id, std::int64_t wave)
{
    workers_.at(id).waves.insert(wave);
}

void platform_double::configure(std::int64_t version, const std::string& pool)
{
    configure(version, pool, std::span<const std::string>{});
}

void platform_double::configure(std::int64_t version, const std::string& pool,
                                std::span<const std::string> more_pools)
{
    store.put("op/config",
              json::serialize(configuration(version, pool, more_pools)));
}

void platform_double::configure(std::int64_t version, const std::string& pool,
                                std::span<const tenant> tenants,
                                std::span<const std::string> more_pools)
{
    json::object whole = configuration(version, pool, more_pools);
    json::object open = whole["Routes"].as_array().front().as_object();
    open["Name"] = "open";
    open["Prefix"] = "/open/";
    open["Public"] = true;
    whole["Routes"].as_array().push_back(std::move(open));
    json::array rows;
    for (const tenant& entry : tenants)
        rows.push_back(json::object{
            {"Name", entry.name},
            {"ApiKeys", json::array(entry.keys.begin(), entry.keys.end())},
            {"Weight", 1},
            {"Cap", {{"Cpu", 0}, {"MemMb", 0}, {"Gpu", 0}}}});
    whole["Tenants"] = std::move(rows);
    store.put("op/config", json::serialize(whole));
}

net::endpoint platform_double::store_address() const
{
    return store_server_->local_endpoint();
}

net::endpoint platform_double::machine_address() const
{
    return machine_server_->local_endpoint();
}

int platform_double::starts_of(const std::string& task) const
{
    int count = 0;
    for (const auto& [id, entry] : workers_)
    {
        const auto found = entry.worker->starts.find(task);
        count += found == entry.worker->starts.end() ? 0 : found->second;
    }
    return count;
}

int platform_double::completions_of(const std::string& task) const
{
    int count = 0;
    for (const auto& [id, entry] : workers_)
    {
        const auto found = entry.worker->completions.find(task);
        count += found == entry.worker->completions.end() ? 0 : found->second;
    }
    return count;
}

net::http_response
platform_double::handle_machines(const net::http_request& request)
{
    const base::time_point now = base::steady_now();
    if (is_machine_service_garbled)
        return {200, garbled_body(++garbled_)};
    if (request.target.starts_with("/-/machines"))
    {
        if (refuses_listings)
            return json_answer(503);
        json::array rows;
        for (const auto& [id, entry] : workers_)
        {
            const std::string machine = "m-" + id;
            if (machine == unlisted_machine)
                continue;
            rows.push_back(json::object{
                {"Machine", machine},
                {"Pool", entry.pool},
                {"State", now < entry.down_until ? "upkeep" : "up"},
                {"Zone", "z"},
                {"Labels", {"a", "r1"}},
                {"Capacity", capacity()},
                {"Id", id}});
        }
        return json_answer(
            200, {{"Machines", std::move(rows)}, {"NextToken", nullptr}});
    }
    const json::value body = json::parse(request.body);
    machine_order order;
    order.machine = std::string(body.at("Machine").as_string());
    order.path = request.target;
    for (const auto& [name, value] : request.headers)
    {
        if (name == "X-Pimentograde-Lease-Holder")
            order.holder = value;
        if (name == "X-Pimentograde-Fencing-Token")
            order.fence = std::stoll(value);
    }
    order.at = now;
    orders.push_back(order);
    if (refuses_orders)
        return json_answer(503);
    worker_entry& entry = workers_.at(order.machine.substr(2));
    const json::value* wave = body.as_object().if_contains("Wave");
    if (wave != nullptr &&
        !entry.waves.insert(wave->to_number<std::int64_t>()).second)
        return json_answer(200);
    if (now < entry.down_until)
        return json_answer(409, {{"Reason", "busy"}});
    carried_out.push_back(order);
    begin_maintenance(entry);
    if (order_answer_delay > base::duration::zero())
        boost::this_fiber::sleep_for(order_answer_delay);
    return json_answer(200);
}

} // namespace pimentograde::platform_standin
