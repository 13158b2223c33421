#include "cli/logged_runs.hpp"

#include <algorithm>
#include <array>

namespace pimentograde::cli
{

namespace
{

// Decisions after which a run no longer exists.
constexpr std::array final_decisions{
    std::string_view("step_done"), std::string_view("run_ended"),
    std::string_view("run_lost"), std::string_view("run_absent"),
    std::string_view("start_answered")};
// Answers to a start that leave open whether the run exists.
constexpr std::array open_answers{std::string_view("unknown"),
                                  std::string_view("unreachable")};
constexpr std::string_view outcome_done = "done";

// Everything before the index of the task within its step, with the dot.
std::string_view step_of(std::string_view task)
{
    const auto dot = task.rfind('.');
    return dot == std::string_view::npos ? std::string_view()
                                         : task.substr(0, dot + 1);
}

/// A run as `detail` names it: INDEX#RUN, or INDEX#RUN@WORKER.
struct named_run
{
    std::string task;
    std::string run;
    std::string worker;
};

std::vector<named_run> runs_in(const log_line& line)
{
    std::vector<named_run> runs;
    std::string_view rest = line.value_of("detail");
    while (!rest.empty())
    {
        const std::string_view word = rest.substr(0, rest.find(' '));
        rest.remove_prefix(std::min(rest.size(), word.size() + 1));
        const auto hash = word.find('#');
        if (hash == std::string_view::npos)
            continue;
        const auto at = word.find('@', hash);
        std::string task(step_of(line.value_of("task")));
        task += word.substr(0, hash);
        runs.push_back(
            {std::move(task),
             std::string(word.substr(
                 hash + 1, at == std::string_view::npos ? at : at - hash - 1)),
             std::string(at == std::string_view::npos ? std::string_view()
                                                      : word.substr(at + 1))});
    }
    return runs;
}

bool is_final(const log_line& line)
{
    const auto what = line.value_of("what");
    if (std::find(final_decisions.begin(), final_decisions.end(), what) ==
        final_decisions.end())
        return false;
    return what != "start_answered" ||
           std::find(open_answers.begin(), open_answers.end(),
                     line.value_of("detail")) == open_answers.end();
}

std::string outcome_of(const log_line& line)
{
    const auto what = line.value_of("what");
    if (what == "step_done")
        return std::string(outcome_done);
    if (what == "run_ended")
        return std::string(line.value_of("detail"));
    return std::string(what);
}

void note_end(std::span<logged_start> starts, const named_run& run,
              const log_line& line)
{
    for (logged_start& start : starts)
    {
        const bool is_same = start.task == run.task && start.run == run.run &&
                             (run.worker.empty() || start.worker == run.worker);
        if (!is_same || !start.end.empty())
            continue;
        start.end = outcome_of(line);
        start.end_time = line.time;
    }
}

void note_ends(std::span<logged_start> starts, const log_line& line)
{
    const auto runs = runs_in(line);
    for (const named_run& run : runs)
        note_end(starts, run, line);
    if (runs.empty())
        note_end(starts,
                 {std::string(line.value_of("task")),
                  std::string(line.value_of("run")),
                  std::string(line.value_of("worker"))},
                 line);
}

std::string describe(const logged_start& start)
{
    return "run " + start.run + " on " + start.worker + " (" + start.process +
           ", fence " + start.fence + ", " + start.time + ")";
}

bool concerns(const logged_start& start, std::string_view id)
{
    return start.worker == id || start.task == id ||
           (start.task.size() > id.size() && start.task.starts_with(id) &&
            start.task[id.size()] == '.');
}

} // namespace

std::vector<logged_start> starts_in(const log_line& line)
{
    std::vector<logged_start> starts;
    if (line.value_of("what") != "start")
        return starts;
    for (named_run& run : runs_in(line))
        starts.push_back({std::move(run.task),
                          std::move(run.run),
                          std::move(run.worker),
                          line.process,
                          std::string(line.value_of("fence")),
                          line.time,
                          {},
                          {}});
    return starts;
}

std::vector<logged_start> starts_of(std::span<const log_line> lines,
                                    std::string_view id)
{
    std::vector<logged_start> starts;
    for (const log_line& line : lines)
    {
        for (logged_start& start : starts_in(line))
            if (concerns(start, id))
                starts.push_back(std::move(start));
        if (is_final(line))
            note_ends(starts, line);
    }
    return starts;
}

std::vector<std::string> contradictions_of(std::span<const logged_start> starts)
{
    std::vector<std::string> found;
    for (std::size_t next = 0; next < starts.size(); ++next)
        for (std::size_t before = 0; before < next; ++before)
        {
            const logged_start& earlier = starts[before];
            const logged_start& later = starts[next];
            if (earlier.task != later.task)
                continue;
            const bool has_ended =
                !earlier.end.empty() && earlier.end_time <= later.time;
            if (has_ended && earlier.end != outcome_done)
                continue;
            found.push_back(earlier.task + ": " + describe(later) +
                            (has_ended
                                 ? " was started after the end of "
                                 : " was started with no end logged of ") +
                            describe(earlier));
        }
    return found;
}

} // namespace pimentograde::cli
