#ifndef PIMENTOGRADE_TESTS_FLEET_FAKE_PLATFORM_HPP
#define PIMENTOGRADE_TESTS_FLEET_FAKE_PLATFORM_HPP

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "capacity/fleet_codec.hpp"
#include "capacity/make_bundle.hpp"
#include "dispatch/fleet_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentograde::tests
{

struct fake_worker
{
    std::uint64_t incarnation = 1;
    bool alive = true;
    bool refuses_work = false;
    std::uint32_t slots_used = 0;
    /// Queue of the running tasks.
    std::string queue;
    /// A reboot ends at this time.
    base::duration back_at{};
    bool rebooting = false;
    /// Reboots that met running tasks.
    int harmful_reboots = 0;
    int reboots = 0;
};

/// Store, workers and clock in memory. Time passes only by `advance`.
class fake_platform
{
public:
    explicit fake_platform(const config::bundle& bundle, std::uint64_t seed = 1)
        : bundle_(std::make_shared<config::bundle>(bundle)), random_(seed)
    {
        for (const auto& worker : bundle.workers)
            workers[worker.id];
    }

    std::map<base::worker_id, fake_worker> workers;
    std::set<base::worker_id> listed_leaving;
    /// Whether the list shows drained workers as leaving, and how long it
    /// still does so afterwards.
    bool lists_drained = false;
    base::duration list_lag = std::chrono::seconds{2};
    bool store_up = true;
    /// Probability that a write takes effect and its response is lost.
    double lost_responses = 0;
    /// Probability that a call to a worker fails.
    double lost_calls = 0;
    std::set<std::string> cut_off_members;
    base::duration reboot_time = std::chrono::seconds{5};
    std::size_t writes = 0;
    std::size_t reads = 0;
    /// Called within each compare-and-swap before it is decided.
    std::function<void()> before_swap;
    /// Called once, within a call to a worker before it takes effect, when
    /// `calls_until_pause` more calls have passed. Not within a reboot: the
    /// platform restarts only an idle worker, and that refusal is the last
    /// protection against a reboot which arrives late.
    std::function<void()> during_call;
    std::size_t calls_until_pause = 0;

    void advance(base::duration step)
    {
        elapsed_ += step;
        for (auto& [id, worker] : workers)
            if (worker.rebooting && elapsed_ >= worker.back_at)
            {
                worker.rebooting = false;
                worker.refuses_work = false;
                ++worker.incarnation;
            }
    }

    /// The planners' machines are suspended: their steady clocks stand still.
    void suspend_planners(base::duration length)
    {
        advance(length);
        suspended_ += length;
    }

    [[nodiscard]] base::wall_time now() const
    {
        return start_time() +
               std::chrono::floor<std::chrono::milliseconds>(elapsed_);
    }

    [[nodiscard]] bool has_state() const { return version_ != 0; }

    [[nodiscard]] const capacity::fleet_state& state()
    {
        if (decoded_version_ != version_)
            decoded_ = capacity::decode(value_);
        decoded_version_ = version_;
        return decoded_;
    }

    void set_bundle(const config::bundle& bundle)
    {
        bundle_ = std::make_shared<config::bundle>(bundle);
    }

    [[nodiscard]] const config::bundle& bundle() const { return *bundle_; }

    std::unique_ptr<dispatch::fleet_service> make_service(
        const std::string& member, dispatch::fleet_settings settings,
        std::function<void(const capacity::fleet_state&)> listener = {})
    {
        dispatch::fleet_service::hooks hooks;
        hooks.store = store_hooks();
        hooks.workers = worker_hooks();
        hooks.instances.list = [this](base::time_point)
        {
            return listed();
        };
        hooks.bundle = [this]
        {
            return bundle_;
        };
        hooks.on_state = std::move(listener);
        hooks.steady_now = [this]
        {
            return base::time_point{} + elapsed_ - suspended_;
        };
        hooks.suspend_aware_now = [this]
        {
            return base::time_point{} + elapsed_;
        };
        hooks.wall_now = [this]
        {
            return now();
        };
        return dispatch::fleet_service::builder{}
            .self(base::member_id(member))
            .settings(settings)
            .use(std::move(hooks))
            .build();
    }

private:
    void require_store() const
    {
        if (!store_up)
            throw base::error(base::error_code::unavailable, "store", "", "");
    }

    provider::kv_operations store_hooks()
    {
        provider::kv_operations hooks;
        hooks.get = [this](std::string_view, base::time_point)
        {
            require_store();
            ++reads;
            return provider::kv_entry{value_, version_};
        };
        hooks.compare_and_swap =
            [this](std::string_view, std::uint64_t expected,
                   std::string_view value, base::time_point)
        {
            return swap(expected, value);
        };
        hooks.acquire_lease = [this](std::string_view, std::string_view holder,
                                     base::duration ttl, base::time_point)
        {
            require_store();
            if (holder_ != holder && elapsed_ < lease_end_)
                return provider::lease_grant{false, holder_};
            holder_ = holder;
            lease_end_ = elapsed_ + ttl;
            return provider::lease_grant{true, holder_};
        };
        hooks.release_lease =
            [this](std::string_view, std::string_view holder, base::time_point)
        {
            require_store();
            if (holder_ == holder)
                lease_end_ = elapsed_;
        };
        return hooks;
    }

    provider::swap_result swap(std::uint64_t expected, std::string_view value)
    {
        require_store();
        if (before_swap)
            std::exchange(before_swap, {})();
        if (expected != version_)
            return {provider::swap_outcome::conflict, version_};
        value_ = value;
        ++version_;
        ++writes;
        if (random_.unit() < lost_responses)
            throw base::error(base::error_code::timeout, "store", "", "");
        return {provider::swap_outcome::applied, version_};
    }

    fake_worker& reach(const provider::worker_endpoint& where)
    {
        if (during_call && calls_until_pause-- == 0)
            std::exchange(during_call, {})();
        return answer(where);
    }

    fake_worker& answer(const provider::worker_endpoint& where)
    {
        fake_worker& worker = workers[where.id];
        if (!worker.alive || worker.rebooting || random_.unit() < lost_calls)
            throw base::error(base::error_code::timeout, "worker",
                              where.id.str(), "");
        return worker;
    }

    provider::worker_operations worker_hooks()
    {
        provider::worker_operations hooks;
        hooks.report = [this](const auto& where, base::time_point)
        {
            const fake_worker& worker = reach(where);
            provider::worker_report report;
            report.incarnation = worker.incarnation;
            report.leaving = worker.refuses_work;
            report.slots = slots_per_worker;
            report.slots_used = worker.slots_used;
            if (worker.slots_used > 0)
                report.usage.push_back(
                    {base::lease_id("lease"), worker.queue, {}, {}});
            return report;
        };
        hooks.checkpoint =
            [this](const auto& where, const auto& lease, base::time_point)
        {
            fake_worker& worker = reach(where);
            worker.slots_used = 0;
            provider::lease_status status;
            status.state = provider::lease_state::stopped_started;
            status.reason = lease.str();
            return status;
        };
        hooks.drain = [this](const auto& where, base::time_point)
        {
            reach(where).refuses_work = true;
        };
        hooks.undrain = [this](const auto& where, base::time_point)
        {
            reach(where).refuses_work = false;
        };
        hooks.reboot = [this](const auto& where, base::time_point)
        {
            fake_worker& worker = answer(where);
            worker.harmful_reboots += worker.slots_used == 0 ? 0 : 1;
            worker.slots_used = 0;
            worker.rebooting = true;
            ++worker.reboots;
            worker.back_at = elapsed_ + reboot_time;
        };
        return hooks;
    }

    bool shows(const base::worker_id& id, const fake_worker& worker)
    {
        if (!lists_drained)
            return false;
        if (worker.refuses_work)
            refused_at_[id] = elapsed_;
        const auto refused = refused_at_.find(id);
        return refused != refused_at_.end() &&
               elapsed_ - refused->second <= list_lag;
    }

    std::vector<provider::listed_instance> listed()
    {
        std::vector<provider::listed_instance> all;
        for (const auto& [id, worker] : workers)
            all.push_back({id, listed_leaving.contains(id) || shows(id, worker)
                                   ? provider::listed_state::leaving
                                   : provider::listed_state::live});
        return all;
    }

    std::shared_ptr<config::bundle> bundle_;
    std::map<base::worker_id, base::duration> refused_at_;
    base::random_source random_;
    base::duration elapsed_{};
    base::duration suspended_{};
    std::string value_;
    std::uint64_t version_ = 0;
    capacity::fleet_state decoded_;
    std::uint64_t decoded_version_ = 0;
    std::string holder_;
    base::duration lease_end_{};
};

} // namespace pimentograde::tests

#endif
