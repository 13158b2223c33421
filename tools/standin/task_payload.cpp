#include "standin/task_payload.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

constexpr double max_work_ms = 86'400'000;
constexpr double max_answer_bytes = 1'000'000;

double number_of(const json::object& fields, std::string_view name, double most)
{
    const json::value* found = fields.if_contains(name);
    if (found == nullptr || !found->is_number())
        return 0;
    return std::clamp(found->to_number<double>(), 0.0, most);
}

bool flag_of(const json::object& fields, std::string_view name, bool absent)
{
    const json::value* found = fields.if_contains(name);
    return found != nullptr && found->is_bool() ? found->get_bool() : absent;
}

} // namespace

task_payload parse_task_payload(std::string_view text)
{
    task_payload result;
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::object* fields = failure ? nullptr : parsed.if_object();
    if (fields == nullptr)
        return result;
    result.work = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(
            number_of(*fields, "sleep_ms", max_work_ms)));
    if (const json::value* token = fields->if_contains("answer"))
        if (const json::string* word = token->if_string())
            result.token.assign(word->data(), word->size());
    result.fail = flag_of(*fields, "fail", false);
    result.checkpointable = flag_of(*fields, "checkpointable", true);
    result.answer_bytes = static_cast<std::size_t>(
        number_of(*fields, "answer_bytes", max_answer_bytes));
    const json::value* use = fields->if_contains("use");
    if (use == nullptr || !use->is_object())
        return result;
    constexpr double max_memory_mb = 1e9;
    constexpr double max_count = 1e6;
    const json::object& used = use->get_object();
    result.use = base::task_size{
        number_of(used, "cores", max_count),
        static_cast<std::uint64_t>(number_of(used, "memory_mb", max_memory_mb)),
        static_cast<std::uint32_t>(number_of(used, "accelerators", max_count))};
    return result;
}

} // namespace pimentograde::standin
