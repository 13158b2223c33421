#include "dispatch/history.hpp"

#include "dispatch/reasons.hpp"

#include <set>
#include <utility>

namespace pimentograde::tests
{

using base::work_kind;
using base::work_status;

namespace
{

constexpr std::size_t worker_count = 4;
constexpr std::size_t instance_count = 3;
constexpr int key_count = 10;
constexpr int rounds = 2;
constexpr base::duration round_time = 25ms;
constexpr base::duration client_timeout = 25ms;
constexpr base::duration settle_time = 5s;

bool is_definite(const base::work_result& result)
{
    return result.status != work_status::unknown;
}

class history
{
public:
    history(std::uint64_t seed, submit_function submit)
        : random_(seed), submit_(std::move(submit))
    {
        fault_percent_ = random_.below(12);
        workers_.slots = 3;
        workers_.run_time = [this](const std::string&)
        {
            return 200us + random_.jitter(random_.below(5) == 0 ? 30ms : 3ms);
        };
        workers_.fails = [this](const std::string&, const base::worker_id&)
        {
            return random_.below(8) == 0;
        };
        store_.next_fault = [this]
        {
            return next_store_fault();
        };
        for (std::size_t i = 0; i < instance_count; ++i)
            live_.push_back(make_instance(i));
        for (int i = 0; i < key_count; ++i)
            make_key(i);
    }

    history_log run()
    {
        net::task_group fibers;
        for (const auto& entry : log_.keys)
            for (std::size_t n = 0; n < 1 + random_.below(2); ++n)
                if (n == 0 || entry.second.origin ==
                                  dispatch::submission_origin::possible_retry)
                    fibers.spawn([this, &entry] { call(entry.second); });
        for (int round = 0; round < rounds; ++round)
            inject_faults();
        end_faults();
        fibers.join();
        late_answers_.join();
        resolve();
        log_.executions = workers_.log;
        live_.clear();
        dead_.clear();
        return std::move(log_);
    }

private:
    std::shared_ptr<instance> make_instance(std::size_t index)
    {
        auto out = std::make_shared<instance>(
            store_, workers_, bundle_, random_.bits(),
            [this, index](std::size_t shard)
            {
                // Some shards are owned by more than one member, as when
                // members disagree about the ownership.
                return (shard + owner_shift_) % instance_count == index ||
                       shard % 7 == owner_shift_ % 7;
            });
        out->fault_injector.next = [this]
        {
            return next_process_fault();
        };
        out->fault_injector.freeze_time = 5ms + random_.jitter(40ms);
        return out;
    }

    void make_key(int number)
    {
        const bool job = random_.below(2) == 0;
        const bool idempotent = random_.below(4) == 0;
        auto work =
            make_work("k" + std::to_string(number),
                      job ? work_kind::job : work_kind::request, idempotent);
        work.payload = "/" + std::to_string(number);
        work.time_limit = 5ms + random_.jitter(60ms);
        if (random_.below(6) == 0)
            work.queue = base::queue_name("absent");
        if (random_.below(10) == 0)
            work.urgency = base::priority::urgent;
        const auto origin = random_.below(4) == 0
                                ? dispatch::submission_origin::first
                                : dispatch::submission_origin::possible_retry;
        log_.keys[work.identity.key] = {work, origin};
    }

    store_fault next_store_fault()
    {
        if (!faults_ || random_.below(100) >= fault_percent_)
            return store_fault::none;
        return static_cast<store_fault>(1 + random_.below(4));
    }

    process_fault next_process_fault()
    {
        if (!faults_ || random_.below(200) >= fault_percent_)
            return process_fault::none;
        return static_cast<process_fault>(1 + random_.below(6));
    }

    void note(const std::string& key, const base::work_result& result)
    {
        log_.answers.push_back({key, result});
        if (result.status == work_status::accepted && !result.job.empty())
            log_.accepted[key] = result.job;
    }

    /// Makes one submission. An answer that arrives after the caller's timeout
    /// is checked too, except for a first submission: its caller guarantees to
    /// wait for the answer, or to discard it and submit as a retry.
    std::optional<base::work_result> send(const history_key& key,
                                          dispatch::submission_origin origin)
    {
        auto through = live_[random_.below(live_.size())];
        auto answer = std::make_shared<std::optional<base::work_result>>();
        auto waits = std::make_shared<bool>(true);
        late_answers_.spawn(
            [=, this]
            {
                auto result = submit_(*through, key.work, origin);
                through->fault_injector.wait_while_frozen();
                const bool is_counted =
                    *waits ||
                    origin == dispatch::submission_origin::possible_retry;
                if (through->fault_injector.killed || !is_counted)
                    return;
                note(key.work.identity.key, result);
                *answer = result;
            });
        const auto give_up = base::steady_now() + client_timeout;
        while (!*answer && base::steady_now() < give_up)
            boost::this_fiber::sleep_for(500us);
        *waits = false;
        if (*answer && (*answer)->status == work_status::not_run)
            refused_.insert(key.work.identity.key);
        return *answer;
    }

    /// Cancels an accepted job through any instance.
    void cancel(const history_key& key, const base::job_id& job)
    {
        auto through = live_[random_.below(live_.size())];
        try
        {
            const auto& identity = key.work.identity;
            const auto result = through->work->jobs().cancel(
                job, identity.department, identity.caller,
                base::steady_now() + 50ms);
            if (!through->fault_injector.killed)
                note(identity.key, result);
        }
        catch (const base::error&)
        {
            // The caller gets no result.
        }
    }

    void call(const history_key& key)
    {
        boost::this_fiber::sleep_for(random_.jitter(round_time));
        auto origin = key.origin;
        for (int attempt = 0; attempt < 5; ++attempt)
        {
            const auto answer = send(key, origin);
            if (answer && answer->status == work_status::accepted &&
                random_.below(4) == 0)
                cancel(key, answer->job);
            if (answer && is_definite(*answer))
                return;
            origin = dispatch::submission_origin::possible_retry;
            boost::this_fiber::sleep_for(random_.jitter(5ms));
        }
    }

    void kill(std::size_t index)
    {
        live_[index]->fault_injector.killed = true;
        dead_.push_back(live_[index]);
        live_[index] = make_instance(index);
    }

    /// Planned replacement: the old process drains and then exits.
    void replace_gracefully(std::size_t index)
    {
        auto old = live_[index];
        dead_.push_back(old);
        live_[index] = make_instance(index);
        late_answers_.spawn(
            [old]
            {
                old->work->drain(base::steady_now() + 60ms);
                old->fault_injector.killed = true;
            });
    }

    void replace_killed()
    {
        for (std::size_t i = 0; i < live_.size(); ++i)
            if (live_[i]->fault_injector.killed)
                kill(i);
    }

    void inject_faults()
    {
        const auto end = base::steady_now() + round_time;
        while (base::steady_now() < end)
        {
            boost::this_fiber::sleep_for(random_.jitter(6ms));
            replace_killed();
            const auto worker =
                "w" + std::to_string(random_.below(worker_count));
            switch (random_.below(12))
            {
            case 0:
                kill(random_.below(instance_count));
                break;
            case 1:
                replace_gracefully(random_.below(instance_count));
                break;
            case 2:
                store_.down = true;
                break;
            case 3:
                if (random_.below(3) == 0)
                {
                    workers_.reboot(worker);
                    log_.any_reboot = true;
                }
                break;
            case 4:
                workers_.set_unreachable(worker, true);
                break;
            case 5:
                workers_.set_leaving(worker, random_.below(2) == 0);
                break;
            case 6:
                ++owner_shift_;
                break;
            default:
                store_.down = false;
                workers_.set_unreachable(worker, false);
            }
        }
    }

    void end_faults()
    {
        faults_ = false;
        store_.down = false;
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            const auto worker = "w" + std::to_string(i);
            workers_.set_unreachable(worker, false);
            workers_.set_leaving(worker, false);
        }
        replace_killed();
    }

    base::work_result look_up(const history_key& key)
    {
        // A call that began before the faults ended may still kill its process.
        replace_killed();
        const auto& identity = key.work.identity;
        const auto job = log_.accepted.find(identity.key);
        try
        {
            if (job != log_.accepted.end())
                return live_[0]->work->jobs().find(
                    job->second, identity.department, identity.caller,
                    base::steady_now() + 1s);
            return submit_(*live_[0], key.work,
                           dispatch::submission_origin::possible_retry);
        }
        catch (const base::error& failure)
        {
            return {work_status::unknown, {}, {}, failure.what()};
        }
    }

    void resolve()
    {
        for (auto& [name, key] : log_.keys)
        {
            // A caller that got `not_run` does not submit again.
            if (refused_.contains(name) &&
                key.origin == dispatch::submission_origin::first)
                continue;
            key.work.time_limit = 500ms;
            auto result = look_up(key);
            const auto give_up = base::steady_now() + settle_time;
            while (base::steady_now() < give_up &&
                   (result.status == work_status::accepted ||
                    (result.status == work_status::unknown &&
                     result.reason != dispatch::reason::outcome_unknown)))
            {
                boost::this_fiber::sleep_for(1ms);
                if (result.status == work_status::accepted)
                    note(name, result);
                result = look_up(key);
            }
            log_.final_answers.push_back({name, result});
        }
    }

    base::random_source random_;
    submit_function submit_;
    fake_store store_;
    fake_workers workers_{worker_count};
    std::shared_ptr<const config::bundle> bundle_ = make_bundle(worker_count);
    std::vector<std::shared_ptr<instance>> live_;
    std::vector<std::shared_ptr<instance>> dead_;
    std::size_t owner_shift_ = 0;
    std::size_t fault_percent_ = 0;
    bool faults_ = true;
    history_log log_;
    std::set<std::string> refused_;
    net::task_group late_answers_;
};

std::map<std::string, std::size_t> count_runs(const history_log& log)
{
    std::map<std::string, std::size_t> out;
    for (const auto& run : log.executions)
        ++out[run.task];
    return out;
}

/// Idempotent requests have no record: the result covers only the caller's own
/// submission, and another submission may have run.
bool has_record(const base::submission& work)
{
    return work.kind == work_kind::job || !work.idempotent;
}

std::string check_answer(const base::submission& work,
                         const base::work_result& reported, std::size_t runs)
{
    const auto& key = work.identity.key;
    if (reported.status == work_status::not_run && runs > 0 && has_record(work))
        return key + ": reported not run (" + reported.reason + ") but ran";
    if (reported.status == work_status::done && runs == 0)
        return key + ": reported done but never ran";
    if (reported.status == work_status::done &&
        reported.answer != "answer to " + key + work.payload)
        return key + ": wrong answer: " + reported.answer;
    if (reported.status == work_status::failed && runs == 0 && !work.idempotent)
        return key + ": reported failed but never ran";
    return {};
}

std::string check_end(const history_log& log, const history_key& key,
                      const base::work_result& reported)
{
    const auto& name = key.work.identity.key;
    const bool ended = reported.status == work_status::done ||
                       reported.status == work_status::failed ||
                       reported.status == work_status::not_run;
    if (ended || !has_record(key.work))
        return {};
    if (reported.status == work_status::unknown && log.any_reboot &&
        reported.reason == dispatch::reason::outcome_unknown)
        return {};
    return name + ": never ended: " + reported.reason;
}

} // namespace

base::work_result submit_to_runners(instance& through,
                                    const base::submission& work,
                                    dispatch::submission_origin origin)
{
    return work.kind == work_kind::job
               ? through.work->jobs().submit(work, origin)
               : through.work->requests().run(work, origin);
}

history_log run_history(std::uint64_t seed, const submit_function& submit)
{
    net::this_thread_io();
    return history(seed, submit).run();
}

std::vector<std::string> check_history(const history_log& log)
{
    std::vector<std::string> found;
    const auto add = [&](std::string violation)
    {
        if (!violation.empty())
            found.push_back(std::move(violation));
    };
    auto runs = count_runs(log);
    for (const auto& [name, key] : log.keys)
        if (!key.work.idempotent && runs[name] > 1)
            add(name + ": ran " + std::to_string(runs[name]) + " times");
    for (const auto& answer : log.answers)
        add(check_answer(log.keys.at(answer.key).work, answer.result,
                         runs[answer.key]));
    for (const auto& answer : log.final_answers)
    {
        const auto& key = log.keys.at(answer.key);
        add(check_answer(key.work, answer.result, runs[answer.key]));
        add(check_end(log, key, answer.result));
    }
    return found;
}

} // namespace pimentograde::tests
