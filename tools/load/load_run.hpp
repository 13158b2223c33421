#ifndef PIMENTOGRADE_LOAD_LOAD_RUN_HPP
#define PIMENTOGRADE_LOAD_LOAD_RUN_HPP

#include "load/call_table.hpp"
#include "load/traffic_plan.hpp"
#include "net/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pimentograde::load
{

struct run_settings
{
    /// Listeners for callers.
    std::vector<net::endpoint> entries;
    std::vector<queue_traffic> plan;
    traffic_settings traffic;
    /// A caller's bearer token is its name and this.
    std::string token_suffix = "-token";
    base::duration length = std::chrono::seconds{10};
    /// Longest wait for accepted jobs after the last submission.
    base::duration settle = std::chrono::seconds{30};
    /// How long a caller waits for one submission.
    base::duration urgent_deadline = std::chrono::seconds{10};
    base::duration batch_deadline = std::chrono::seconds{60};
    double job_share = 0.2;
    double idempotent_share = 0.5;
    /// Bounds of the load.
    std::size_t max_calls = 100'000;
    std::size_t max_in_progress = 2000;
    /// Time between printed summaries.
    base::duration report_interval = std::chrono::seconds{5};
    std::uint64_t seed = 1;
};

/// Sends the planned traffic to the entry instances.
class load_run
{
public:
    explicit load_run(run_settings settings);
    ~load_run();
    load_run(const load_run&) = delete;
    load_run& operator=(const load_run&) = delete;

    /// Returns when all calls have ended or the time is over; prints a
    /// summary line at each interval.
    void run();
    [[nodiscard]] const call_table& calls() const;
    /// Submissions that were not sent because of `max_in_progress`.
    [[nodiscard]] std::uint64_t skipped() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::load

#endif
