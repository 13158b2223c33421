#include "slots/slot_cluster.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>

namespace pimentograde::tests
{

using namespace std::chrono_literals;

slot_cluster::slot_cluster(const std::vector<std::string>& members)
{
    for (const auto& member : members)
        services_[member] = dispatch::slot_service::builder{}
                                .self(base::member_id(member))
                                .hooks(hooks(member))
                                .seed(7)
                                .build();
}

slot_cluster::~slot_cluster()
{
    for (auto& [name, service] : services_)
        service->stop();
    // Fibers of one member may still return slots to a destroyed member.
    closing_ = true;
    services_.clear();
}

dispatch::slot_service& slot_cluster::at(const std::string& member)
{
    return *services_.at(member);
}

dispatch::slot_service& slot_cluster::reach(const base::member_id& member)
{
    boost::this_fiber::yield();
    if (closing_ || down_.contains(member.str()))
        throw base::error(base::error_code::unavailable, "test", member.str(),
                          "down");
    return at(member.str());
}

dispatch::slot_hooks slot_cluster::hooks(const std::string& member)
{
    const base::member_id self(member);
    dispatch::slot_hooks result;
    result.remote_acquire = [this, self](const base::member_id& broker,
                                         const policy::slot_request& request)
    {
        auto decision = reach(broker).handle_acquire(self, request);
        if (std::exchange(lose_response_, false))
            throw base::error(base::error_code::cut_off, "test", broker.str(),
                              "response lost");
        return decision;
    };
    result.remote_borrow = [this, self](const base::member_id& lender,
                                        const policy::slot_request& request)
    {
        return reach(lender).handle_borrow(self, request);
    };
    result.remote_release = [this, self](const base::member_id& broker,
                                         const policy::slot_request& request,
                                         const policy::slot_grant& grant,
                                         policy::slot_outcome outcome,
                                         base::duration run_time)
    {
        auto& service = reach(broker);
        if (!lose_cancellations_ || outcome != policy::slot_outcome::unused)
            service.handle_release(self, request, grant, outcome, run_time);
    };
    result.broker_of = [this](const base::pool_name& pool)
    {
        const auto known = brokers_.find(pool.str());
        return known == brokers_.end() ? base::member_id{}
                                       : base::member_id(known->second);
    };
    return result;
}

void slot_cluster::move_broker(const std::string& pool,
                               const std::string& member)
{
    brokers_[pool] = member;
    for (auto& [name, service] : services_)
        service->update_brokers();
}

void slot_cluster::set_fleet(const config::bundle& bundle)
{
    for (auto& [name, service] : services_)
        service->set_fleet(bundle, {});
}

void slot_cluster::set_down(const std::string& member, bool down)
{
    if (down)
        down_.insert(member);
    else
        down_.erase(member);
}

std::int64_t slot_cluster::used_slots(bool with_borrowed)
{
    std::int64_t used = 0;
    for (const auto& [name, service] : services_)
    {
        const auto snapshot = service->snapshot();
        for (const auto& pool : snapshot.at("pools").as_object())
        {
            const auto& state = pool.value().as_object();
            used += state.at("used").to_number<std::int64_t>();
            if (with_borrowed)
                used += state.at("borrowed").to_number<std::int64_t>();
        }
    }
    return used;
}

std::string slot_cluster::describe()
{
    boost::json::object states;
    for (const auto& [name, service] : services_)
        states[name] = service->snapshot();
    return boost::json::serialize(states);
}

config::bundle make_bundle(std::uint32_t workers, std::uint32_t slots)
{
    config::bundle bundle;
    for (const char* name : {"a", "b"})
        bundle.departments.push_back({base::department_name(name), 8, 0.1, {}});
    for (const std::string pool : {"p", "q", "s"})
    {
        bundle.pools.push_back({base::pool_name(pool), pool == "s"});
        for (const std::string department : {"a", "b"})
            for (const std::string kind : {"urgent", "batch"})
                bundle.queues.push_back(
                    {base::queue_name(department + "-" + pool + "-" + kind),
                     base::department_name(department), base::pool_name(pool),
                     kind == "urgent" ? base::priority::urgent
                                      : base::priority::batch,
                     50, 2s, 50ms});
        for (std::uint32_t index = 0; index < workers; ++index)
        {
            config::worker worker;
            worker.id = base::worker_id(pool + std::to_string(index));
            worker.pool = base::pool_name(pool);
            worker.size = {8, 1000, 0};
            worker.slots = slots;
            bundle.workers.push_back(worker);
        }
    }
    return bundle;
}

policy::slot_request make_request(const std::string& department,
                                  const std::string& pool,
                                  base::duration time_limit,
                                  base::priority urgency)
{
    policy::slot_request request;
    request.department = base::department_name(department);
    request.pool = base::pool_name(pool);
    request.urgency = urgency;
    request.queue = base::queue_name(
        department + "-" + pool +
        (urgency == base::priority::urgent ? "-urgent" : "-batch"));
    request.size = {1, 10, 0};
    request.deadline = base::steady_now() + time_limit;
    return request;
}

} // namespace pimentograde::tests
