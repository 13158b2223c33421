#ifndef PIMENTOGRADE_JOBS_QUEUE_STATISTICS_HPP
#define PIMENTOGRADE_JOBS_QUEUE_STATISTICS_HPP

#include "jobs/run_time_model.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace pimentograde::jobs
{

/// Statistics learned from a queue's jobs.
class queue_statistics
{
public:
    queue_statistics() = default;
    queue_statistics(double mean_work, const run_time_model& model)
        : run_times(model), mean_work_(mean_work)
    {
    }

    void note_job(double work);
    /// Moving average of the work per job in core-seconds; 0 when unknown.
    [[nodiscard]] double mean_work() const { return mean_work_; }

    run_time_model run_times;

private:
    double mean_work_ = 0.0;
};

/// Statistics by queue.
using statistics_table = std::map<std::string, queue_statistics, std::less<>>;

/// For the store: a new owner goes on with what the earlier ones have learned.
std::string encode_statistics(const statistics_table& table);
/// Throws `base::error` with `invalid`.
statistics_table decode_statistics(std::string_view text);

} // namespace pimentograde::jobs

#endif
