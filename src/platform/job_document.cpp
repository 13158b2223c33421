#include "platform/job_document.hpp"

#include "platform/json_call.hpp"

#include <algorithm>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_payload_bytes = 4000;
constexpr std::size_t id_digits = 16;
// Sums over the tasks of a pool stay far below the range of 64 bits.
constexpr std::int64_t max_cpu_millis = 1'000'000'000;
constexpr std::int64_t max_memory_mb = 1'000'000'000;
constexpr std::int64_t max_gpus = 1'000'000;
constexpr std::chrono::milliseconds max_time = std::chrono::hours{24 * 365};
// The year 2200; its distance to the present time fits into a duration.
constexpr std::int64_t max_first_due_ms = 7'258'118'400'000;

base::duration read_millis(const json::object& source, std::string_view name)
{
    return std::chrono::milliseconds(
        read_bounded(source, name, max_time.count()));
}

int read_small(const json::object& source, std::string_view name)
{
    constexpr std::int64_t largest = 1'000'000;
    const std::int64_t value = read_integer(source, name);
    if (value < 0 || value > largest)
        throw base::error(base::error_code::invalid, "read job", "",
                          std::string(name) + " is out of range");
    return static_cast<int>(value);
}

jobs::step_spec read_step(const json::object& source)
{
    jobs::step_spec step;
    step.task_count = read_small(source, "Count");
    // Thousandths of a core, in spite of the name.
    step.need.cpu_millis = read_bounded(source, "Cpu", max_cpu_millis);
    step.need.memory_mb = read_bounded(source, "MemMb", max_memory_mb);
    step.need.gpus = read_bounded(source, "Gpu", max_gpus);
    step.estimate = read_millis(source, "EstimateMs");
    for (const json::value& earlier : read_array(source, "After"))
    {
        boost::system::error_code failure;
        step.after.push_back(earlier.to_number<int>(failure));
        if (failure)
            throw base::error(base::error_code::invalid, "read job", "",
                              "After holds something else than a number");
    }
    step.is_checkpointing = read_flag(source, "Checkpointing");
    step.is_gang = read_flag(source, "Gang");
    step.needs_same_rack = read_flag(source, "SameRack");
    step.is_speculative = read_flag(source, "Speculative");
    step.is_long_running = read_flag(source, "LongRunning");
    step.is_filler = read_flag(source, "Fills");
    step.required_label = read_text(source, "Requires");
    // The rack of the task's data.
    step.data_rack = read_text(source, "Affinity");
    step.image = read_text(source, "Image");
    step.max_per_worker = read_small(source, "MaxPerServer");
    // Tasks that the system may make unavailable, not tasks that may fail.
    step.max_unavailable = read_small(source, "MayMiss");
    step.latency_goal = read_millis(source, "GoalMs");
    return step;
}

} // namespace

jobs::job_spec read_job(std::string_view text)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
        throw base::error(base::error_code::invalid, "read job", "",
                          "the body is not a JSON object");
    const json::object& source = parsed.get_object();
    jobs::job_spec spec;
    spec.payload = read_text(source, "Spec");
    if (spec.payload.size() > max_payload_bytes)
        throw base::error(base::error_code::invalid, "read job", "",
                          "the specification is longer than 4,000 bytes");
    for (const json::value& step : read_array(source, "Steps"))
    {
        if (!step.is_object())
            throw base::error(base::error_code::invalid, "read job", "",
                              "a step is not an object");
        spec.steps.push_back(read_step(step.get_object()));
    }
    spec.repeat_count = read_small(source, "RepeatCount");
    spec.first_due =
        base::from_millis(read_bounded(source, "FirstMs", max_first_due_ms));
    spec.repeat_interval = read_millis(source, "IntervalMs");
    jobs::validate(spec);
    return spec;
}

bool is_job_id(std::string_view text)
{
    return text.size() == id_digits &&
           std::all_of(text.begin(), text.end(),
                       [](char symbol)
                       {
                           return (symbol >= '0' && symbol <= '9') ||
                                  (symbol >= 'a' && symbol <= 'f') ||
                                  (symbol >= 'A' && symbol <= 'F');
                       });
}

} // namespace pimentograde::platform
