#ifndef PIMENTOGRADE_STANDIN_EXECUTION_LOG_HPP
#define PIMENTOGRADE_STANDIN_EXECUTION_LOG_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::standin
{

enum class execution_outcome
{
    running,
    done,
    failed,
    stopped,
    checkpointed,
    /// The worker was killed.
    lost
};

std::string_view to_string(execution_outcome outcome);

/// One start of a task on a worker.
struct execution
{
    std::string worker;
    std::uint64_t incarnation = 0;
    std::string lease;
    std::string task;
    std::string queue;
    /// `answer` of the task's payload, by which a checker finds the caller.
    std::string token;
    /// Whether it continued from a checkpoint.
    bool resumed = false;
    std::int64_t started_at_ms = 0;
    /// 0 while running.
    std::int64_t ended_at_ms = 0;
    execution_outcome outcome = execution_outcome::running;
    std::string answer;
};

/// What all workers ran, for checkers. It survives the loss of a worker.
class execution_log
{
public:
    execution_log();

    /// Returns the position of the entry.
    std::size_t begin(execution entry);
    void end(std::size_t position, base::time_point now,
             execution_outcome outcome, std::string_view answer);
    [[nodiscard]] const std::vector<execution>& entries() const
    {
        return entries_;
    }
    /// Milliseconds since the epoch at a moment of the steady clock.
    [[nodiscard]] std::int64_t to_wall_ms(base::time_point moment) const;

private:
    std::vector<execution> entries_;
    base::duration wall_offset_{};
};

} // namespace pimentograde::standin

#endif
