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
    /// Median of each resource; the declared size until there are enough
    /// samples.
    base::task_size size;
    /// Median run time.
    base::duration typical_time{};
    /// 90th percentile of the run time.
    base::duration long_time{};
};

/// Estimates run time and task size per queue. Uses the median and the 90th
/// percentile, so that up to a tenth of wrong samples don't distort the result.
class size_estimator
{
public:
    /// Samples required before an estimate replaces the bundle's value.
    static constexpr std::size_t min_samples = 10;
    static constexpr std::size_t max_samples = 64;

    /// Sets the estimate from the bundle.
    void set_initial(const base::queue_name& queue, base::duration run_time);
    /// Records the run time of a completed task.
    void record_run(const base::queue_name& queue, base::duration run_time);
    /// Records a worker's report, which arrives with a delay. Several reports
    /// of one lease count once, with their maximum. Run times of completed
    /// tasks take precedence, because a reported task may still be running.
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

/// Number of slots that a task is charged to its department's quota, at
/// least 1. A task larger than one slot of the worker is charged in proportion.
double slot_charge(const base::task_size& task, const base::task_size& worker,
                   std::uint32_t slots);

} // namespace pimentograde::policy

#endif
