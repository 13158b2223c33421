#ifndef PIMENTOGRADE_DISPATCH_IN_FLIGHT_TABLE_HPP
#define PIMENTOGRADE_DISPATCH_IN_FLIGHT_TABLE_HPP

#include "base/work.hpp"

#include <boost/fiber/condition_variable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace pimentograde::dispatch
{

/// Work that a fiber of this process is executing. Further submissions of the
/// same identity wait for that fiber instead of starting another.
struct in_flight_work
{
    std::optional<base::work_result> result;
    /// Number of submissions that share this execution.
    std::size_t submissions = 0;
    boost::fibers::condition_variable ended;
};

/// Work in progress in this process, at most one entry per identity. Shared by
/// the request runner and the job runner, so that the scan for orphaned work
/// skips requests that are running.
class in_flight_table
{
public:
    in_flight_table();
    ~in_flight_table();
    in_flight_table(const in_flight_table&) = delete;
    in_flight_table& operator=(const in_flight_table&) = delete;

    [[nodiscard]] bool contains(const base::work_identity& identity) const;
    [[nodiscard]] std::size_t size() const;

    /// Returns the entry of an identity. If there is none, adds one and starts
    /// a fiber that runs `body`; its result completes the entry.
    std::shared_ptr<in_flight_work>
    join(const base::work_identity& identity,
         std::function<base::work_result(const in_flight_work&)> body);

    /// Waits for the result. Returns nullopt if the deadline passes first.
    std::optional<base::work_result>
    wait(const std::shared_ptr<in_flight_work>& entry,
         base::time_point deadline);

    /// Waits until no work is in progress. Returns false if the deadline passes
    /// first.
    bool drain(base::time_point deadline);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::dispatch

#endif
