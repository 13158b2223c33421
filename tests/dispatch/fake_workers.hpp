#ifndef PIMENTOGRADE_TESTS_DISPATCH_FAKE_WORKERS_HPP
#define PIMENTOGRADE_TESTS_DISPATCH_FAKE_WORKERS_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "provider/worker_operations.hpp"

#include <boost/fiber/operations.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentograde::tests
{

/// One execution of a task in the workers' log.
struct execution
{
    std::string task;
    base::worker_id worker;
    base::time_point started;
};

/// Workers that follow the platform's lease rules: a lease starts at most once,
/// never after it was stopped or expired, and a reboot forgets all leases.
class fake_workers
{
public:
    explicit fake_workers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            workers_["w" + std::to_string(i)] = {};
    }

    std::function<base::duration(const std::string& task)> run_time =
        [](const std::string&)
    {
        return std::chrono::milliseconds{1};
    };
    std::function<bool(const std::string& task, const base::worker_id&)> fails =
        [](const std::string&, const base::worker_id&)
    {
        return false;
    };
    std::vector<execution> log;
    std::size_t slots = 8;
    std::size_t reservations = 0;

    void reboot(const std::string& worker)
    {
        auto& target = workers_.at(worker);
        ++target.incarnation;
        target.leases.clear();
    }
    void set_unreachable(const std::string& worker, bool value)
    {
        workers_.at(worker).unreachable = value;
    }
    void set_leaving(const std::string& worker, bool value)
    {
        workers_.at(worker).leaving = value;
    }
    [[nodiscard]] std::uint64_t incarnation(const std::string& worker) const
    {
        return workers_.at(worker).incarnation;
    }

    provider::worker_operations operations()
    {
        using namespace provider;
        worker_operations out;
        out.reserve = [this](const worker_endpoint& peer,
                             const base::task_size&, base::duration ttl,
                             base::time_point)
        {
            return reserve(peer, ttl);
        };
        out.start = [this](const worker_endpoint& peer,
                           const base::lease_id& lease, const task_spec& task,
                           base::time_point deadline)
        {
            return start(peer, lease, task, deadline);
        };
        out.run = [this](const worker_endpoint& peer, const task_spec& task,
                         base::time_point deadline)
        {
            const auto reserved = reserve(peer, std::chrono::seconds{1});
            run_result done{reserved.outcome, {}};
            if (reserved.outcome == reserve_outcome::granted)
                done.status = start(peer, reserved.lease, task, deadline);
            return done;
        };
        out.query = [this](const worker_endpoint& peer,
                           const base::lease_id& lease, base::time_point)
        {
            return status_of(reach(peer), lease);
        };
        out.renew = [this](const worker_endpoint& peer,
                           const base::lease_id& lease, base::duration ttl,
                           base::time_point)
        {
            auto& target = reach(peer);
            auto status = status_of(target, lease);
            if (status.state == lease_state::reserved ||
                status.state == lease_state::running)
                target.leases.at(lease).expires = base::steady_now() + ttl;
            return status;
        };
        out.stop = [this](const worker_endpoint& peer,
                          const base::lease_id& lease, base::time_point)
        {
            return stop(reach(peer), lease);
        };
        return out;
    }

private:
    struct lease_entry
    {
        provider::lease_state state = provider::lease_state::reserved;
        base::time_point expires;
        base::time_point ends;
        base::duration ttl{};
        std::string answer;
        bool fails = false;
    };
    struct worker_entry
    {
        std::uint64_t incarnation = 1;
        bool unreachable = false;
        bool leaving = false;
        std::map<base::lease_id, lease_entry> leases;
    };

    [[noreturn]] static void fail(base::error_code code)
    {
        throw base::error(code, "worker call", "fake worker", "fault");
    }

    worker_entry& reach(const provider::worker_endpoint& peer)
    {
        auto& target = workers_.at(peer.id.str());
        if (target.unreachable)
            fail(base::error_code::unavailable);
        return target;
    }

    static void advance(lease_entry& of)
    {
        using provider::lease_state;
        const auto now = base::steady_now();
        if (of.state == lease_state::reserved && now >= of.expires)
            of.state = lease_state::stopped_unstarted;
        if (of.state != lease_state::running)
            return;
        if (of.ends <= of.expires && now >= of.ends)
            of.state = of.fails ? lease_state::failed : lease_state::done;
        else if (now >= of.expires)
            of.state = lease_state::stopped_started;
    }

    static provider::lease_status status_of(worker_entry& target,
                                            const base::lease_id& id)
    {
        provider::lease_status out;
        out.incarnation = target.incarnation;
        const auto found = target.leases.find(id);
        if (found == target.leases.end())
            return out;
        advance(found->second);
        out.state = found->second.state;
        if (out.state == provider::lease_state::done)
            out.answer = found->second.answer;
        return out;
    }

    provider::reserve_result reserve(const provider::worker_endpoint& peer,
                                     base::duration ttl)
    {
        using provider::lease_state;
        using provider::reserve_outcome;
        auto& target = reach(peer);
        provider::reserve_result out;
        out.incarnation = target.incarnation;
        if (target.leaving)
        {
            out.outcome = reserve_outcome::leaving;
            return out;
        }
        std::size_t used = 0;
        for (auto& [id, entry] : target.leases)
        {
            advance(entry);
            used += entry.state == lease_state::reserved ||
                            entry.state == lease_state::running
                        ? 1
                        : 0;
        }
        if (used >= slots)
            return out;
        ++reservations;
        out.outcome = reserve_outcome::granted;
        out.lease =
            base::lease_id(peer.id.str() + "-" + std::to_string(++last_lease_));
        auto& entry = target.leases[out.lease];
        entry.ttl = ttl;
        entry.expires = base::steady_now() + ttl;
        return out;
    }

    provider::lease_status start(const provider::worker_endpoint& peer,
                                 const base::lease_id& id,
                                 const provider::task_spec& task,
                                 base::time_point deadline)
    {
        using provider::lease_state;
        const auto incarnation = reach(peer).incarnation;
        auto status = status_of(reach(peer), id);
        if (status.state == lease_state::reserved)
        {
            auto& entry = reach(peer).leases.at(id);
            const auto now = base::steady_now();
            entry.state = lease_state::running;
            entry.ends = now + run_time(task.task);
            entry.expires = now + entry.ttl;
            entry.answer = "answer to " + task.task + task.payload;
            entry.fails = fails(task.task, peer.id);
            log.push_back({task.task, peer.id, now});
        }
        for (;;)
        {
            // A reboot or a network failure cuts the connection of a waiting
            // start. `unavailable` would mean that nothing was sent.
            auto& target = workers_.at(peer.id.str());
            if (target.incarnation != incarnation || target.unreachable)
                fail(base::error_code::cut_off);
            status = status_of(target, id);
            if (status.state != lease_state::running)
                return status;
            if (base::steady_now() >= deadline)
                fail(base::error_code::timeout);
            boost::this_fiber::sleep_for(std::chrono::microseconds{500});
        }
    }

    static provider::lease_status stop(worker_entry& target,
                                       const base::lease_id& id)
    {
        using provider::lease_state;
        const auto before = status_of(target, id).state;
        if (before == lease_state::reserved)
            target.leases.at(id).state = lease_state::stopped_unstarted;
        if (before == lease_state::running)
            target.leases.at(id).state = lease_state::stopped_started;
        return status_of(target, id);
    }

    std::map<std::string, worker_entry> workers_;
    std::uint64_t last_lease_ = 0;
};

} // namespace pimentograde::tests

#endif
