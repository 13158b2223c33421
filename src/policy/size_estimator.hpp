#ifndef PIMENTOGRADE_POLICY_SIZE_ESTIMATOR_HPP
#define PIMENTOGRADE_POLICY_SIZE_ESTIMATOR_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace pimentograde::policy
{

struct size_estimate
{
    /// Median of each resource; the declared size at first.
    base::task_size size;
    /// Median run time.
    base::duration typical_time{};
    /// Nine of ten tasks take at most this long.
    base::duration long_time{};
};

/// Learns run time and size per queue. Medians and a rank below the maximum
/// keep a few wrong values, up to a tenth, from moving an estimate.
class size_estimator
{
public:
    /// Samples before an estimate replaces the bundle's value.
    static constexpr std::size_t min_samples = 10;
    static constexpr std::size_t max_samples = 64;

    /// The bundle's first estimate.
    void set_initial(const base::queue_name& queue, base::duration run_time);
    /// A task ended after `run_time`.
    void record_run(const base::queue_name& queue, base::duration run_time);
    /// A worker's report, which lags. Repeated reports of one lease count once,
    /// with their maximum. Run times of ended tasks take precedence, since a
    /// report may show a task that is still running.
    void record_usage(const base::queue_name& queue,
                      const base::lease_id& lease, const base::task_size& used,
                      base::duration run_time);

    [[nodiscard]] size_estimate estimate(const base::queue_name& queue,
                                         const base::task_size& declared) const;

private:
    struct usage
    {
        base::lease_id lease;
        base::task_size used;
        base::duration run_time{};
    };
    struct queue_state
    {
        base::duration initial{};
        std::deque<base::duration> runs;
        std::deque<usage> reports;
        base::task_size size;
        base::duration typical_time{};
        base::duration long_time{};
    };

    static void update_times(queue_state& state);
    static void update_size(queue_state& state);

    std::unordered_map<base::queue_name, queue_state> queues_;
};

/// Slots' worth of a worker that a task uses, at least 1: a task larger than
/// its slot is charged to its department's quota accordingly.
double slot_charge(const base::task_size& task, const base::task_size& worker,
                   std::uint32_t slots);

} // namespace pimentograde::policy

#endif
