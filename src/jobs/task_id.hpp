#ifndef PIMENTOGRADE_JOBS_TASK_ID_HPP
#define PIMENTOGRADE_JOBS_TASK_ID_HPP

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace pimentograde::jobs
{

/// Identifies one task of a job. The text form is `JOB.OCCURRENCE.STEP.INDEX`.
struct task_id
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const task_id&) const = default;
};

std::string to_string(const task_id& task);

/// Returns nothing when the text is not a valid task id.
std::optional<task_id> parse_task_id(std::string_view text);

} // namespace pimentograde::jobs

#endif
