#include "jobs/job_spec.hpp"

#include "base/error.hpp"

#include <algorithm>

namespace pimentograde::jobs
{

namespace
{

// Size limits of one job, so that a single submission cannot exhaust the memory
// of an entry instance (260 MB).
constexpr std::size_t max_steps = 256;
constexpr int max_tasks = 20'000;
constexpr int max_occurrences = 1'000;

[[noreturn]] void reject(const std::string& detail)
{
    throw base::error(base::error_code::invalid, "validate job", "", detail);
}

void validate_step(const step_spec& step, std::size_t index)
{
    const std::string name = "step " + std::to_string(index);
    if (step.task_count < 1 || step.task_count > max_tasks)
        reject(name + " has an invalid number of tasks");
    if (step.need.cpu_millis < 0 || step.need.memory_mb < 0 ||
        step.need.gpus < 0 || step.estimate < base::duration::zero())
        reject(name + " has a negative resource amount or estimate");
    for (const int earlier : step.after)
        if (earlier < 0 || static_cast<std::size_t>(earlier) >= index)
            reject(name + " depends on a step that is not an earlier one");
}

} // namespace

resource_amount& resource_amount::operator+=(const resource_amount& other)
{
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
}

resource_amount& resource_amount::operator-=(const resource_amount& other)
{
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
}

bool resource_amount::covers(const resource_amount& need) const
{
    return cpu_millis >= need.cpu_millis && memory_mb >= need.memory_mb &&
           gpus >= need.gpus;
}

int job_spec::occurrences() const
{
    return std::max(repeat_count, 1);
}

bool job_spec::is_long_running() const
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_spec& step)
                       { return step.is_long_running; });
}

void validate(const job_spec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > max_steps)
        reject("a job must have 1 to " + std::to_string(max_steps) + " steps");
    if (spec.repeat_count < 0 || spec.repeat_count > max_occurrences)
        reject("a job can have at most " + std::to_string(max_occurrences) +
               " occurrences");
    if (spec.repeat_interval < base::duration::zero())
        reject("the repeat interval is negative");
    int tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index)
    {
        validate_step(spec.steps[index], index);
        tasks += spec.steps[index].task_count;
    }
    if (tasks > max_tasks / spec.occurrences())
        reject("a job can have at most " + std::to_string(max_tasks) +
               " tasks");
}

} // namespace pimentograde::jobs
