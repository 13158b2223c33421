#include "jobs/job.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace pimentograde::jobs
{

namespace
{

// Expected run time of one task of each step in seconds, and whether completed
// steps and tasks are left out.
struct step_times
{
    std::span<const double> seconds;
    bool only_remaining = false;
};

double critical_path_length(const job& subject, const step_times& times)
{
    double longest = 0;
    std::vector<double> ends(subject.step_count());
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
    {
        const std::size_t index = position % subject.step_count();
        double start = 0;
        for (const int earlier : subject.spec.steps[index].after)
            start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
        const bool counts =
            !times.only_remaining || !subject.steps[position].is_done();
        ends[index] = start + (counts ? times.seconds[index] : 0.0);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

double total_work(const job& subject, const step_times& times)
{
    constexpr double millis_per_core = 1000.0;
    double work = 0;
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
    {
        const step& entry = subject.steps[position];
        const auto tasks = static_cast<int>(entry.tasks.size());
        const int counted = times.only_remaining ? tasks - entry.done : tasks;
        const auto cores =
            static_cast<double>(subject.spec_of(position).need.cpu_millis) /
            millis_per_core;
        work +=
            counted * cores * times.seconds[position % subject.step_count()];
    }
    return work;
}

} // namespace

void job::prepare_steps()
{
    steps.clear();
    for (int occurrence = 0; occurrence < spec.occurrences(); ++occurrence)
        for (const step_spec& part : spec.steps)
        {
            step entry;
            entry.tasks.resize(static_cast<std::size_t>(part.task_count));
            steps.push_back(std::move(entry));
        }
}

void job::refresh_estimates(const run_time_model& run_times)
{
    std::vector<double> seconds;
    for (const step_spec& part : spec.steps)
        seconds.push_back(run_times.expected_seconds(part.estimate));
    const step_times all{seconds, false};
    const step_times remaining{seconds, true};
    estimates = {critical_path_length(*this, all),
                 critical_path_length(*this, remaining), total_work(*this, all),
                 total_work(*this, remaining)};
}

const step_spec& job::spec_of(std::size_t position) const
{
    return spec.steps[position % step_count()];
}

int job::occurrence_of(std::size_t position) const
{
    return static_cast<int>(position / step_count());
}

std::size_t job::position_of(const task_id& name) const
{
    return static_cast<std::size_t>(name.occurrence) * step_count() +
           static_cast<std::size_t>(name.step);
}

const step_spec* job::find_spec(const task_id& name) const
{
    if (name.step < 0 || static_cast<std::size_t>(name.step) >= step_count())
        return nullptr;
    return &spec.steps[static_cast<std::size_t>(name.step)];
}

const task* job::find(const task_id& name) const
{
    if (name.step < 0 || static_cast<std::size_t>(name.step) >= step_count())
        return nullptr;
    const std::size_t position = position_of(name);
    if (name.occurrence < 0 || position >= steps.size())
        return nullptr;
    const auto& tasks = steps[position].tasks;
    if (name.index < 0 || static_cast<std::size_t>(name.index) >= tasks.size())
        return nullptr;
    return &tasks[static_cast<std::size_t>(name.index)];
}

task* job::find(const task_id& name)
{
    return const_cast<task*>(std::as_const(*this).find(name));
}

task_id job::id_of(std::size_t position, int index) const
{
    return {id, occurrence_of(position),
            static_cast<int>(position % step_count()), index};
}

bool job::is_step_ready(std::size_t position, base::wall_time now) const
{
    const int occurrence = occurrence_of(position);
    if (spec.repeat_count > 0)
    {
        const auto due = spec.first_due +
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             spec.repeat_interval) *
                             occurrence;
        if (now < due)
            return false;
    }
    const std::size_t first =
        static_cast<std::size_t>(occurrence) * step_count();
    const auto& after = spec_of(position).after;
    return std::all_of(
        after.begin(), after.end(),
        [&](int earlier)
        { return steps[first + static_cast<std::size_t>(earlier)].is_done(); });
}

bool job::all_done() const
{
    return std::all_of(steps.begin(), steps.end(),
                       [](const step& entry) { return entry.is_done(); });
}

bool job::is_accessible_to(std::string_view caller_tenant) const
{
    return caller_tenant.empty() || tenant.empty() || tenant == caller_tenant;
}

} // namespace pimentograde::jobs
