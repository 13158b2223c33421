#include "jobs/task_id.hpp"

#include <charconv>

namespace pimentograde::jobs
{

namespace
{

// Parses the trailing `.NUMBER` of `text` and removes it from `text`.
std::optional<int> take_last_number(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    int value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + dot + 1, end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0)
        return std::nullopt;
    text = text.substr(0, dot);
    return value;
}

} // namespace

std::string to_string(const task_id& task)
{
    std::string text = task.job;
    for (const int part : {task.occurrence, task.step, task.index})
        text.append(".").append(std::to_string(part));
    return text;
}

std::optional<task_id> parse_task_id(std::string_view text)
{
    const auto index = take_last_number(text);
    const auto step = index ? take_last_number(text) : std::nullopt;
    const auto occurrence = step ? take_last_number(text) : std::nullopt;
    if (!occurrence || text.empty())
        return std::nullopt;
    return task_id{std::string(text), *occurrence, *step, *index};
}

} // namespace pimentograde::jobs
