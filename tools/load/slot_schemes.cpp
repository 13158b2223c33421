#include "load/slot_schemes.hpp"

#include "policy/backoff.hpp"
#include "policy/lending_policy.hpp"
#include "policy/size_estimator.hpp"
#include "policy/slot_broker.hpp"
#include "policy/two_choices.hpp"

#include <array>
#include <map>
#include <memory>
#include <unordered_map>

namespace pimentograde::load
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t instance_count = 9;
constexpr base::duration borrow_poll = 5ms;
constexpr base::duration report_interval = 1s;
// Large enough that the bound in time decides.
constexpr std::uint32_t max_waiting = 100000;
constexpr policy::backoff_settings full_backoff{20ms, 500ms};

policy::broker_terms terms_of(std::size_t pool, bool may_borrow)
{
    policy::broker_terms terms;
    for (const char* kind : {"-urgent", "-batch"})
        terms.queues.push_back(
            {base::queue_name(pool_at(pool).str() + kind), max_waiting, 60s});
    for (const char* department : {"a", "b"})
        terms.departments.push_back(
            {base::department_name(department), pool_slots / 2});
    terms.may_borrow = may_borrow;
    return terms;
}

std::unique_ptr<policy::slot_broker> make_broker(std::size_t pool)
{
    return std::make_unique<policy::slot_broker>(
        policy::broker_settings{base::member_id("m"), pool_at(pool), {}, {}});
}

std::size_t pool_index(const base::pool_name& pool)
{
    return static_cast<std::size_t>(pool.str().back() - '0');
}

/// Requests that wait at brokers or run on their grants.
class brokered_scheme : public slot_scheme
{
public:
    brokered_scheme(event_queue& events, listener told)
        : events_(events), listener_(std::move(told))
    {
        for (std::size_t pool = 0; pool < pool_count; ++pool)
            for (const char* kind : {"-urgent", "-batch"})
                sizes_.set_initial(base::queue_name(pool_at(pool).str() + kind),
                                   1s);
    }

protected:
    struct entry
    {
        policy::slot_broker* broker = nullptr;
        policy::slot_grant grant;
    };

    void submit_to(policy::slot_broker& broker, policy::slot_request request)
    {
        const auto learned = sizes_.estimate(request.queue, request.size);
        request.expected_time = learned.long_time;
        const auto result =
            broker.submit(request, base::member_id("m"),
                          {1, learned.typical_time}, events_.now());
        if (result.decision)
            return decide(request.id, broker, *result.decision);
        waiting_[{&broker, result.ticket}] = request.id;
        drain(broker);
    }

    void drain(policy::slot_broker& broker)
    {
        for (const auto& event : broker.advance(events_.now()))
        {
            auto node = waiting_.extract({&broker, event.ticket});
            decide(node.mapped(), broker, event.decision);
        }
    }

    void decide(const std::string& id, policy::slot_broker& broker,
                const policy::slot_decision& decision)
    {
        if (!decision.grant)
            return listener_.refused(id);
        running_[id] = {&broker, *decision.grant};
        listener_.started(id);
    }

    entry take_running(const std::string& id)
    {
        return running_.extract(id).mapped();
    }

    static policy::slot_outcome outcome_of(bool success)
    {
        return success ? policy::slot_outcome::succeeded
                       : policy::slot_outcome::failed;
    }

    event_queue& events_;
    listener listener_;
    policy::size_estimator sizes_;
    std::map<std::pair<policy::slot_broker*, std::uint64_t>, std::string>
        waiting_;
    std::unordered_map<std::string, entry> running_;
};

class lending_scheme : public brokered_scheme
{
public:
    lending_scheme(event_queue& events, listener told, bool lends)
        : brokered_scheme(events, std::move(told))
    {
        for (std::size_t pool = 0; pool < pool_count; ++pool)
        {
            auto& broker = brokers_.at(pool);
            broker = make_broker(pool);
            broker->set_terms(terms_of(pool, lends));
            std::vector<policy::broker_worker> workers;
            for (std::size_t index = 0; index < workers_per_pool; ++index)
                workers.push_back({worker_at(pool, index),
                                   {8, 8, 0},
                                   slots_per_worker,
                                   true});
            broker->set_workers(workers);
        }
        poll();
    }

    void submit(const policy::slot_request& request) override
    {
        queues_[request.id] = request.queue;
        const auto pool = pool_index(request.pool);
        submit_to(*brokers_.at(pool), request);
        borrow(pool);
    }

    void finish(const std::string& id, bool success,
                base::duration run_time) override
    {
        const auto done = take_running(id);
        sizes_.record_run(queues_.at(id), run_time);
        queues_.erase(id);
        const auto lender = pool_index(done.grant.pool);
        brokers_.at(lender)->release(done.grant, outcome_of(success),
                                     events_.now());
        drain(*brokers_.at(lender));
        if (done.broker == brokers_.at(lender).get())
            return;
        done.broker->release(done.grant, policy::slot_outcome::unused,
                             events_.now());
        drain(*done.broker);
    }

private:
    void poll()
    {
        events_.at(events_.now() + borrow_poll,
                   [this]
                   {
                       for (std::size_t pool = 0; pool < pool_count; ++pool)
                       {
                           drain(*brokers_.at(pool));
                           borrow(pool);
                       }
                       poll();
                   });
    }

    void borrow(std::size_t pool)
    {
        auto& broker = *brokers_.at(pool);
        while (const auto need = broker.next_borrow(events_.now()))
        {
            if (!borrow_for(broker, pool, *need))
                return;
            drain(broker);
        }
    }

    bool borrow_for(policy::slot_broker& broker, std::size_t pool,
                    const policy::borrow_need& need)
    {
        std::vector<policy::lender_candidate> candidates;
        for (std::size_t other = 0; other < pool_count; ++other)
        {
            if (other == pool)
                continue;
            const auto state = brokers_.at(other)->state(events_.now());
            candidates.push_back({pool_at(other), other + 1 == pool_count,
                                  state.slots - state.used});
        }
        for (const auto& name :
             policy::lending_policy::order(std::move(candidates)))
        {
            auto request = need.request;
            request.pool = name;
            request.id = "loan" + std::to_string(next_loan_++);
            const auto decision =
                brokers_.at(pool_index(name))
                    ->lend(request, need.holder, events_.now());
            if (decision.grant)
                return broker.add_loan(need.ticket, *decision.grant,
                                       events_.now());
        }
        return false;
    }

    std::array<std::unique_ptr<policy::slot_broker>, pool_count> brokers_;
    std::unordered_map<std::string, base::queue_name> queues_;
    std::uint64_t next_loan_ = 0;
};

class fixed_share_scheme : public brokered_scheme
{
public:
    fixed_share_scheme(event_queue& events, base::random_source& random,
                       listener told)
        : brokered_scheme(events, std::move(told)), random_(random)
    {
        for (std::size_t pool = 0; pool < pool_count; ++pool)
            for (std::size_t instance = 0; instance < instance_count;
                 ++instance)
            {
                auto& broker = brokers_.at(pool).at(instance);
                broker = make_broker(pool);
                broker->set_terms(terms_of(pool, false));
                broker->set_workers(share(pool, instance));
            }
        poll();
    }

    void submit(const policy::slot_request& request) override
    {
        submit_to(*brokers_.at(pool_index(request.pool))
                       .at(random_.below(instance_count)),
                  request);
    }

    void finish(const std::string& id, bool success, base::duration) override
    {
        const auto done = take_running(id);
        done.broker->release(done.grant, outcome_of(success), events_.now());
        drain(*done.broker);
    }

private:
    static std::vector<policy::broker_worker> share(std::size_t pool,
                                                    std::size_t instance)
    {
        std::vector<policy::broker_worker> workers;
        for (std::size_t index = 0; index < workers_per_pool; ++index)
        {
            std::uint32_t slots = 0;
            for (std::size_t slot = 0; slot < slots_per_worker; ++slot)
                if ((index * slots_per_worker + slot) % instance_count ==
                    instance)
                    ++slots;
            workers.push_back({worker_at(pool, index), {8, 8, 0}, slots, true});
        }
        return workers;
    }

    void poll()
    {
        events_.at(events_.now() + borrow_poll,
                   [this]
                   {
                       for (auto& pool : brokers_)
                           for (auto& broker : pool)
                               drain(*broker);
                       poll();
                   });
    }

    base::random_source& random_;
    std::array<std::array<std::unique_ptr<policy::slot_broker>, instance_count>,
               pool_count>
        brokers_;
};

class two_choices_scheme : public slot_scheme
{
public:
    two_choices_scheme(event_queue& events, base::random_source& random,
                       listener told)
        : events_(events), random_(random), listener_(std::move(told))
    {
        report();
    }

    void submit(const policy::slot_request& request) override
    {
        attempt(std::make_shared<pending>(
            pending{request, random_.below(instance_count),
                    policy::backoff(full_backoff)}));
    }

    void finish(const std::string& id, bool, base::duration) override
    {
        const auto task = running_.extract(id).mapped();
        --used_.at(task.pool).at(task.worker);
        --own_.at(task.instance).at(task.pool).at(task.worker);
    }

    [[nodiscard]] std::uint64_t refused_attempts() const override
    {
        return refused_attempts_;
    }

private:
    using pool_use = std::array<std::uint32_t, workers_per_pool>;
    using use = std::array<pool_use, pool_count>;
    struct pending
    {
        policy::slot_request request;
        std::size_t instance;
        policy::backoff delays;
    };
    struct place
    {
        std::size_t instance;
        std::size_t pool;
        std::size_t worker;
    };

    void report()
    {
        for (std::size_t instance = 0; instance < instance_count; ++instance)
            for (std::size_t pool = 0; pool < pool_count; ++pool)
                for (std::size_t worker = 0; worker < workers_per_pool;
                     ++worker)
                    others_.at(instance).at(pool).at(worker) =
                        used_.at(pool).at(worker) -
                        own_.at(instance).at(pool).at(worker);
        events_.at(events_.now() + report_interval, [this] { report(); });
    }

    void attempt(const std::shared_ptr<pending>& task)
    {
        const auto pool = pool_index(task->request.pool);
        pool_use known{};
        for (std::size_t worker = 0; worker < workers_per_pool; ++worker)
            known.at(worker) = own_.at(task->instance).at(pool).at(worker) +
                               others_.at(task->instance).at(pool).at(worker);
        const auto chosen = *policy::choose_of_two(known, random_);
        auto& used = used_.at(pool).at(chosen);
        if (used < slots_per_worker)
        {
            ++used;
            ++own_.at(task->instance).at(pool).at(chosen);
            running_[task->request.id] = {task->instance, pool, chosen};
            return listener_.started(task->request.id);
        }
        ++refused_attempts_;
        const auto delay =
            task->delays.next(events_.now(), task->request.deadline, random_);
        if (!delay)
            return listener_.refused(task->request.id);
        events_.at(events_.now() + *delay, [this, task] { attempt(task); });
    }

    event_queue& events_;
    base::random_source& random_;
    listener listener_;
    use used_{};
    std::array<use, instance_count> own_{};
    std::array<use, instance_count> others_{};
    std::unordered_map<std::string, place> running_;
    std::uint64_t refused_attempts_ = 0;
};

scheme_factory make_lending(bool lends)
{
    return [lends](event_queue& events, base::random_source&,
                   slot_scheme::listener listener)
    {
        return std::make_unique<lending_scheme>(events, std::move(listener),
                                                lends);
    };
}

} // namespace

scheme_factory broker_with_lending()
{
    return make_lending(true);
}

scheme_factory broker_without_lending()
{
    return make_lending(false);
}

scheme_factory two_choices()
{
    return [](event_queue& events, base::random_source& random,
              slot_scheme::listener listener)
    {
        return std::make_unique<two_choices_scheme>(events, random,
                                                    std::move(listener));
    };
}

scheme_factory fixed_shares()
{
    return [](event_queue& events, base::random_source& random,
              slot_scheme::listener listener)
    {
        return std::make_unique<fixed_share_scheme>(events, random,
                                                    std::move(listener));
    };
}

} // namespace pimentograde::load
