#ifndef PIMENTOGRADE_CLI_LOG_TIMELINE_HPP
#define PIMENTOGRADE_CLI_LOG_TIMELINE_HPP

#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentograde::cli
{

/// A line of an instance's JSON log.
struct log_line
{
    /// ISO 8601 in UTC, by the clock of the instance that wrote it.
    std::string time;
    std::string process;
    /// Number in the catalogue, such as `PG-3203`.
    std::string event;
    std::string text;
    /// All other members, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Empty if the line has no such field.
    [[nodiscard]] std::string_view value_of(std::string_view name) const;
};

/// A start of one run of a task, as its owner has logged it.
struct logged_start
{
    std::string task;
    std::string run;
    std::string worker;
    std::string process;
    std::string fence;
    std::string time;
    /// The decision that ended the run, with its time; empty if none is logged.
    std::string end;
    std::string end_time;
};

struct explanation
{
    std::vector<log_line> lines;
    std::vector<logged_start> starts;
    /// Missing lines, and starts that another run of the task contradicts.
    std::vector<std::string> warnings;
};

/// Puts the logs of many instances together into one timeline of a job, worker,
/// machine, pool or wave. Lines that name it are kept, and of the other lines
/// those about the ownership of its pools, the reachability of its workers and
/// the state of the instances that decided.
class log_timeline
{
public:
    /// `id` names a job, task, worker, machine or pool, or is the number of a
    /// wave.
    explicit log_timeline(std::string id);
    ~log_timeline();

    /// Reads lines to the end of `logs`, in any order. What comes before the
    /// JSON object of a line is ignored, as collectors add prefixes.
    void read(std::istream& logs);

    [[nodiscard]] explanation explain() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::cli

#endif
