#ifndef PIMENTOGRADE_DISPATCH_WORK_DISPATCHER_HPP
#define PIMENTOGRADE_DISPATCH_WORK_DISPATCHER_HPP

#include "dispatch/job_runner.hpp"
#include "dispatch/request_runner.hpp"

#include <cstdint>
#include <memory>

namespace pimentograde::dispatch
{

/// The request and job runners of one process, with the state they share.
class work_dispatcher
{
public:
    class builder
    {
    public:
        builder& hooks(runner_hooks value);
        builder& settings(runner_settings value);
        builder& table(std::shared_ptr<records::record_table> value);
        builder& seed(std::uint64_t value);
        /// Starts the scan for accepted and orphaned work.
        std::unique_ptr<work_dispatcher> build();

    private:
        runner_hooks hooks_;
        runner_settings settings_;
        std::shared_ptr<records::record_table> table_;
        std::shared_ptr<base::random_source> random_;
    };

    /// Abandons work in progress; its leases are left to other instances.
    ~work_dispatcher();
    work_dispatcher(const work_dispatcher&) = delete;
    work_dispatcher& operator=(const work_dispatcher&) = delete;

    request_runner& requests();
    job_runner& jobs();

    /// Refuses new work, waits for work in progress and its record writes, and
    /// abandons the rest at the deadline. Returns true if nothing was
    /// abandoned.
    bool drain(base::time_point deadline);

private:
    struct impl;
    explicit work_dispatcher(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
