#ifndef PIMENTOGRADE_LOAD_CALL_TABLE_HPP
#define PIMENTOGRADE_LOAD_CALL_TABLE_HPP

#include "standin/outcome_checker.hpp"

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace pimentograde::load
{

/// One piece of work with everything that its caller was told.
struct call
{
    standin::caller_view view;
    std::string queue;
    std::string caller;
    bool urgent = false;
    bool is_job = false;
    /// Id of an accepted job.
    std::string job;
    std::string reason;
    std::int64_t issued_at_ms = 0;
    /// Whether the caller has a final status.
    bool ended = false;
    /// From issue to the task's start on the worker.
    std::optional<std::int64_t> start_wait_ms;
    /// Submissions beyond the first.
    unsigned resent = 0;
};

/// All calls of a run.
class call_table
{
public:
    /// The reference stays valid.
    call& add(call added);
    [[nodiscard]] std::size_t size() const { return calls_.size(); }
    /// Counts by status, start waits in ms by priority and kind, and refusals
    /// by reason, over all calls.
    [[nodiscard]] boost::json::object summary() const;
    [[nodiscard]] std::vector<standin::caller_view> views() const;

private:
    std::deque<call> calls_;
};

/// Reads `started_at_ms` of a worker's answer.
std::optional<std::int64_t> started_at_ms(std::string_view answer);

} // namespace pimentograde::load

#endif
