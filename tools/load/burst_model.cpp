#include "load/burst_model.hpp"

#include "policy/backoff.hpp"
#include "policy/retry_budget.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <unordered_map>
#include <utility>

namespace pimentograde::load
{

namespace
{

using namespace std::chrono_literals;

constexpr double mean_load = 0.7;
constexpr double burst_factor = 5;
constexpr double quiet_factor = 0.05;
// 5p + 0.05(1 - p) = 1.
constexpr double burst_share = 0.19;
constexpr base::duration cycle = 20s;
constexpr double urgent_share = 0.3;
constexpr double failure_share = 0.01;
// Urgent tasks take 0.2 to 0.8 s, batch tasks 0.2 to 1.8 s.
constexpr double shortest_s = 0.2;
constexpr double urgent_spread_s = 0.6;
constexpr double batch_spread_s = 1.6;
constexpr double mean_run_time_s =
    urgent_share * (shortest_s + urgent_spread_s / 2) +
    (1 - urgent_share) * (shortest_s + batch_spread_s / 2);
// The design's bound for the start of urgent work.
constexpr base::duration urgent_patience = 3600ms;
constexpr base::duration batch_patience = 60s;
constexpr base::duration sample_interval = 100ms;

base::duration seconds(double value)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(value));
}

double percentile(std::vector<double>& values, double rank)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::ptrdiff_t>(
        rank * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

class burst_run
{
public:
    burst_run(const scheme_factory& make, burst_order order, std::uint64_t seed,
              base::duration length)
        : order_(order), arrivals_(seed), random_(seed + 1),
          start_(events_.now()), end_(start_ + length)
    {
        scheme_ = make(events_, random_,
                       {[this](const std::string& id) { start_task(id); },
                        [this](const std::string& id)
                        {
                            refuse_task(id);
                        }});
    }

    burst_results run()
    {
        for (std::size_t pool = 0; pool < pool_count; ++pool)
        {
            schedule_bursts(pool);
            schedule_arrival(pool);
        }
        sample();
        // Late enough for the last batch task to end.
        events_.run_until(end_ + batch_patience + 10s);
        return results();
    }

private:
    struct task
    {
        policy::slot_request request;
        base::time_point arrival;
        base::duration run_time{};
        bool in_burst = false;
        bool started = false;
        policy::backoff delays;
    };

    void schedule_bursts(std::size_t pool)
    {
        if (order_ == burst_order::in_turn)
        {
            const auto turn = cycle / static_cast<std::int64_t>(pool_count);
            events_.at(start_ + turn * static_cast<std::int64_t>(pool),
                       [this, pool] { toggle(pool); });
            return;
        }
        in_burst_.at(pool) = arrivals_.unit() < burst_share;
        events_.at(start_ + state_length(pool), [this, pool] { toggle(pool); });
    }

    void toggle(std::size_t pool)
    {
        in_burst_.at(pool) = !in_burst_.at(pool);
        events_.at(events_.now() + state_length(pool),
                   [this, pool]
                   {
                       if (events_.now() < end_)
                           toggle(pool);
                   });
    }

    base::duration state_length(std::size_t pool)
    {
        const double mean =
            base::count_seconds(cycle) *
            (in_burst_.at(pool) ? burst_share : 1 - burst_share);
        const bool fixed = order_ == burst_order::in_turn;
        return seconds(fixed ? mean : -std::log(1 - arrivals_.unit()) * mean);
    }

    [[nodiscard]] double rate(bool burst) const
    {
        const double mean = mean_load * pool_slots / mean_run_time_s;
        return mean * (burst ? burst_factor : quiet_factor);
    }

    // A Poisson process at the burst's rate, thinned in quiet times.
    void schedule_arrival(std::size_t pool)
    {
        const double wait = -std::log(1 - arrivals_.unit()) / rate(true);
        events_.at(events_.now() + seconds(wait),
                   [this, pool]
                   {
                       if (events_.now() >= end_)
                           return;
                       const bool burst = in_burst_.at(pool);
                       if (burst ||
                           arrivals_.unit() < quiet_factor / burst_factor)
                           arrive(pool, burst);
                       schedule_arrival(pool);
                   });
    }

    void arrive(std::size_t pool, bool burst)
    {
        const bool urgent = arrivals_.unit() < urgent_share;
        task added;
        auto& request = added.request;
        request.id = std::to_string(next_id_++);
        request.pool = pool_at(pool);
        request.department =
            base::department_name(arrivals_.below(2) == 0 ? "a" : "b");
        request.urgency =
            urgent ? base::priority::urgent : base::priority::batch;
        request.queue = base::queue_name(request.pool.str() +
                                         (urgent ? "-urgent" : "-batch"));
        request.size = {1, 1, 0};
        request.deadline =
            events_.now() + (urgent ? urgent_patience : batch_patience);
        added.arrival = events_.now();
        added.run_time =
            seconds(shortest_s + arrivals_.unit() * (urgent ? urgent_spread_s
                                                            : batch_spread_s));
        added.in_burst = burst;
        batch_submitted_ += urgent ? 0 : 1;
        burst_submitted_ += burst ? 1 : 0;
        const auto id = request.id;
        const auto submitted = request;
        tasks_.emplace(id, std::move(added));
        scheme_->submit(submitted);
    }

    void start_task(const std::string& id)
    {
        auto& known = tasks_.at(id);
        const bool urgent = known.request.urgency == base::priority::urgent;
        ++attempts_;
        ++used_;
        if (!std::exchange(known.started, true))
        {
            ++attempted_;
            budget_.record_first_attempt(known.request.department);
            (urgent ? urgent_waits_ : batch_waits_)
                .push_back(base::count_seconds(events_.now() - known.arrival));
        }
        events_.at(events_.now() + known.run_time,
                   [this, id] { end_task(id); });
    }

    void end_task(const std::string& id)
    {
        auto& known = tasks_.at(id);
        const bool success = random_.unit() >= failure_share;
        --used_;
        scheme_->finish(id, success, known.run_time);
        if (success)
        {
            if (known.request.urgency == base::priority::batch)
                ++batch_done_;
            tasks_.erase(id);
            return;
        }
        const auto delay =
            known.delays.next(events_.now(), known.request.deadline, random_);
        if (!delay || !budget_.try_retry(known.request.department))
        {
            tasks_.erase(id);
            return;
        }
        events_.at(
            events_.now() + *delay, [this, id]
            { scheme_->submit(policy::slot_request(tasks_.at(id).request)); });
    }

    void refuse_task(const std::string& id)
    {
        const auto& known = tasks_.at(id);
        if (known.in_burst && !known.started)
            ++burst_refused_;
        tasks_.erase(id);
    }

    void sample()
    {
        events_.at(events_.now() + sample_interval,
                   [this]
                   {
                       if (events_.now() >= end_)
                           return;
                       if (std::find(in_burst_.begin(), in_burst_.end(),
                                     true) != in_burst_.end())
                       {
                           use_sum_ += used_;
                           ++use_samples_;
                       }
                       sample();
                   });
    }

    burst_results results()
    {
        burst_results found;
        const auto ratio = [](double part, double whole)
        {
            return whole > 0 ? part / whole : 0.0;
        };
        found.urgent_start_wait_p50_s = percentile(urgent_waits_, 0.5);
        found.urgent_start_wait_p99_s = percentile(urgent_waits_, 0.99);
        found.batch_start_wait_p99_s = percentile(batch_waits_, 0.99);
        found.batch_done_ratio = ratio(batch_done_, batch_submitted_);
        found.slot_use_at_burst =
            ratio(use_sum_, use_samples_ * pool_count * pool_slots);
        found.refusal_ratio_at_burst = ratio(burst_refused_, burst_submitted_);
        found.retry_amplification =
            ratio(attempts_ + static_cast<double>(scheme_->refused_attempts()),
                  attempted_);
        return found;
    }

    event_queue events_;
    burst_order order_;
    // All schemes meet the same arrivals.
    base::random_source arrivals_;
    base::random_source random_;
    base::time_point start_;
    base::time_point end_;
    std::unique_ptr<slot_scheme> scheme_;
    policy::retry_budget budget_;
    std::unordered_map<std::string, task> tasks_;
    std::vector<double> urgent_waits_;
    std::vector<double> batch_waits_;
    std::array<bool, pool_count> in_burst_{};
    std::uint64_t next_id_ = 0;
    double used_ = 0;
    double use_sum_ = 0;
    double use_samples_ = 0;
    double batch_submitted_ = 0;
    double batch_done_ = 0;
    double burst_submitted_ = 0;
    double burst_refused_ = 0;
    double attempts_ = 0;
    double attempted_ = 0;
};

} // namespace

void event_queue::at(base::time_point when, std::function<void()> action)
{
    events_.push({std::max(when, now_), order_++, std::move(action)});
}

void event_queue::run_until(base::time_point end)
{
    while (!events_.empty() && events_.top().when <= end)
    {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
    }
}

burst_results run_bursts(const scheme_factory& make, burst_order order,
                         std::uint64_t seed, base::duration length)
{
    return burst_run(make, order, seed, length).run();
}

base::pool_name pool_at(std::size_t index)
{
    return base::pool_name("pool-" + std::to_string(index));
}

base::worker_id worker_at(std::size_t pool, std::size_t index)
{
    return base::worker_id("w" + std::to_string(pool) + "-" +
                           std::to_string(index));
}

} // namespace pimentograde::load
