#ifndef PIMENTOGRADE_LOAD_BURST_MODEL_HPP
#define PIMENTOGRADE_LOAD_BURST_MODEL_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "policy/slot.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace pimentograde::load
{

constexpr std::size_t pool_count = 5;
constexpr std::size_t workers_per_pool = 10;
constexpr std::uint32_t slots_per_worker = 8;
constexpr std::uint32_t pool_slots = workers_per_pool * slots_per_worker;

/// Events in order of time.
class event_queue
{
public:
    void at(base::time_point when, std::function<void()> action);
    /// Runs events up to `end`.
    void run_until(base::time_point end);
    [[nodiscard]] base::time_point now() const { return now_; }

private:
    struct event
    {
        base::time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    std::priority_queue<event> events_;
    base::time_point now_{std::chrono::hours{1}};
    std::uint64_t order_ = 0;
};

/// A way to give slots to requests.
class slot_scheme
{
public:
    /// Called once for each submitted request.
    struct listener
    {
        std::function<void(const std::string& request_id)> started;
        std::function<void(const std::string& request_id)> refused;
    };

    virtual ~slot_scheme() = default;
    virtual void submit(const policy::slot_request& request) = 0;
    virtual void finish(const std::string& request_id, bool success,
                        base::duration run_time) = 0;
    /// Attempts that a worker refused.
    [[nodiscard]] virtual std::uint64_t refused_attempts() const { return 0; }
};

using scheme_factory = std::function<std::unique_ptr<slot_scheme>(
    event_queue&, base::random_source&, slot_scheme::listener)>;

struct burst_results
{
    double urgent_start_wait_p50_s = 0;
    double urgent_start_wait_p99_s = 0;
    double batch_start_wait_p99_s = 0;
    double batch_done_ratio = 0;
    /// Used slots of all pools while any queue is in a burst.
    double slot_use_at_burst = 0;
    /// Refused share of the requests of a queue in a burst.
    double refusal_ratio_at_burst = 0;
    /// Attempts at workers for each task that was attempted.
    double retry_amplification = 0;
};

enum class burst_order
{
    /// One pool after the other: nearly always exactly one bursts.
    in_turn,
    /// At independent random times: bursts overlap, and at times more than all
    /// slots are requested.
    independent
};

/// Each pool's queues request 5 times their mean for 19 % of the time and a
/// twentieth of it otherwise; 70 % of all slots on average.
burst_results run_bursts(const scheme_factory& make, burst_order order,
                         std::uint64_t seed, base::duration length);

base::pool_name pool_at(std::size_t index);
base::worker_id worker_at(std::size_t pool, std::size_t index);

} // namespace pimentograde::load

#endif
