#include "jobs/job_record.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

namespace pimentograde::jobs
{

namespace json = boost::json;

namespace
{

json::object encode_step_spec(const step_spec& part)
{
    json::object value{{"tasks", part.task_count},
                       {"cpu", part.need.cpu_millis},
                       {"memory", part.need.memory_mb},
                       {"estimate_ms", base::count_millis(part.estimate)}};
    if (part.need.gpus != 0)
        value["gpus"] = part.need.gpus;
    if (!part.after.empty())
        value["after"] = json::value_from(part.after);
    const std::pair<const char*, bool> flags[] = {
        {"checkpointing", part.is_checkpointing},
        {"gang", part.is_gang},
        {"same_rack", part.needs_same_rack},
        {"speculative", part.is_speculative},
        {"long_running", part.is_long_running},
        {"filler", part.is_filler}};
    for (const auto& [name, is_set] : flags)
        if (is_set)
            value[name] = true;
    const std::pair<const char*, const std::string*> texts[] = {
        {"label", &part.required_label},
        {"data_rack", &part.data_rack},
        {"image", &part.image}};
    for (const auto& [name, text] : texts)
        if (!text->empty())
            value[name] = *text;
    if (part.max_per_worker != 0)
        value["max_per_worker"] = part.max_per_worker;
    if (part.max_unavailable != 0)
        value["max_unavailable"] = part.max_unavailable;
    if (part.latency_goal != base::duration::zero())
        value["latency_goal_ms"] = base::count_millis(part.latency_goal);
    return value;
}

std::int64_t number_of(const json::object& source, std::string_view name)
{
    const json::value* found = source.if_contains(name);
    return found == nullptr ? 0 : found->to_number<std::int64_t>();
}

int small_number_of(const json::object& source, std::string_view name)
{
    return static_cast<int>(number_of(source, name));
}

bool flag_of(const json::object& source, std::string_view name)
{
    const json::value* found = source.if_contains(name);
    return found != nullptr && found->as_bool();
}

std::string text_of(const json::object& source, std::string_view name)
{
    const json::value* found = source.if_contains(name);
    return found == nullptr ? std::string{} : std::string(found->as_string());
}

step_spec decode_step_spec(const json::object& source)
{
    step_spec part;
    part.task_count = small_number_of(source, "tasks");
    part.need = {number_of(source, "cpu"), number_of(source, "memory"),
                 number_of(source, "gpus")};
    part.estimate = std::chrono::milliseconds(number_of(source, "estimate_ms"));
    if (const json::value* after = source.if_contains("after"))
        part.after = json::value_to<std::vector<int>>(*after);
    part.is_checkpointing = flag_of(source, "checkpointing");
    part.is_gang = flag_of(source, "gang");
    part.needs_same_rack = flag_of(source, "same_rack");
    part.is_speculative = flag_of(source, "speculative");
    part.is_long_running = flag_of(source, "long_running");
    part.is_filler = flag_of(source, "filler");
    part.required_label = text_of(source, "label");
    part.data_rack = text_of(source, "data_rack");
    part.image = text_of(source, "image");
    part.max_per_worker = small_number_of(source, "max_per_worker");
    part.max_unavailable = small_number_of(source, "max_unavailable");
    part.latency_goal =
        std::chrono::milliseconds(number_of(source, "latency_goal_ms"));
    return part;
}

bool has_progress(const task& entry)
{
    return entry.is_done || !entry.failed_runs.empty() || entry.last_run > 0 ||
           !entry.checkpoint.empty() || !entry.crashes.empty();
}

// One row per crash: run, worker, address, at start, only suspect, evidence, in
// a burst. Earlier versions leave out the last column, and ignore it.
json::array encode_crashes(const crash_history& history)
{
    json::array rows;
    for (const worker_crash& crash : history.crashes())
        rows.push_back(json::array{
            crash.run, crash.worker, crash.address, crash.at_start ? 1 : 0,
            crash.is_only_suspect ? 1 : 0, static_cast<int>(crash.evidence),
            crash.is_in_burst ? 1 : 0});
    return rows;
}

crash_evidence decode_evidence(int number)
{
    for (const crash_evidence known :
         {crash_evidence::start_unanswered, crash_evidence::unconfirmed,
          crash_evidence::confirmed, crash_evidence::starting})
        if (static_cast<int>(known) == number)
            return known;
    throw base::error(base::error_code::invalid, "decode job record", "",
                      "unknown evidence of a crash: " + std::to_string(number));
}

crash_history decode_crashes(const json::array& rows)
{
    constexpr std::size_t burst_column = 6;
    crash_history history;
    for (const json::value& row : rows)
    {
        const json::array& cells = row.as_array();
        const auto flag = [&](std::size_t column)
        {
            return cells.at(column).to_number<int>() != 0;
        };
        history.add({cells.at(0).to_number<int>(),
                     std::string(cells.at(1).as_string()),
                     std::string(cells.at(2).as_string()), flag(3), flag(4),
                     decode_evidence(cells.at(5).to_number<int>()),
                     cells.size() > burst_column && flag(burst_column)});
    }
    return history;
}

// One row per task with progress: position, index, last run, failed runs, done,
// checkpoint, and crashes if there are any.
json::array encode_progress(const job& subject)
{
    json::array rows;
    for (std::size_t position = 0; position < subject.steps.size(); ++position)
    {
        const auto& tasks = subject.steps[position].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index)
        {
            const task& entry = tasks[index];
            if (!has_progress(entry))
                continue;
            json::array row{position,
                            index,
                            entry.last_run,
                            json::value_from(entry.failed_runs),
                            entry.is_done ? 1 : 0,
                            entry.checkpoint};
            if (!entry.crashes.empty())
                row.push_back(encode_crashes(entry.crashes));
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

void decode_progress(job& subject, const json::array& rows)
{
    for (const json::value& row : rows)
    {
        const json::array& cells = row.as_array();
        const auto cell = [&](std::size_t column)
        {
            return cells.at(column).to_number<int>();
        };
        step& target = subject.steps.at(static_cast<std::size_t>(cell(0)));
        task& entry = target.tasks.at(static_cast<std::size_t>(cell(1)));
        entry.last_run = cell(2);
        entry.failed_runs = json::value_to<std::vector<int>>(cells.at(3));
        entry.is_done = cell(4) != 0;
        entry.checkpoint = std::string(cells.at(5).as_string());
        constexpr std::size_t crashes_column = 6;
        if (cells.size() > crashes_column)
            entry.crashes = decode_crashes(cells.at(crashes_column).as_array());
        target.done += entry.is_done ? 1 : 0;
    }
}

json::array encode_policy(const queue_policy& policy)
{
    return {policy.priority, policy.max_attempts, policy.stretch,
            base::count_millis(policy.target)};
}

queue_policy decode_policy(const std::string& queue, const json::array& cells)
{
    queue_policy policy;
    policy.name = queue;
    policy.priority = cells.at(0).to_number<int>();
    policy.max_attempts = cells.at(1).to_number<int>();
    policy.stretch = cells.at(2).to_number<double>();
    policy.target =
        std::chrono::milliseconds(cells.at(3).to_number<std::int64_t>());
    return policy;
}

job decode_object(std::string_view id, const json::object& source)
{
    job subject;
    subject.id = std::string(id);
    subject.queue = text_of(source, "queue");
    subject.tenant = text_of(source, "tenant");
    subject.status = static_cast<job_status>(small_number_of(source, "status"));
    subject.accepted_wall = base::from_millis(number_of(source, "accepted_ms"));
    subject.ended_wall = base::from_millis(number_of(source, "ended_ms"));
    subject.has_started = flag_of(source, "started");
    subject.spec.payload = text_of(source, "payload");
    subject.spec.repeat_count = small_number_of(source, "repeat");
    subject.spec.first_due = base::from_millis(number_of(source, "first_ms"));
    subject.spec.repeat_interval =
        std::chrono::milliseconds(number_of(source, "interval_ms"));
    if (const json::value* steps = source.if_contains("steps"))
        for (const json::value& part : steps->as_array())
            subject.spec.steps.push_back(decode_step_spec(part.as_object()));
    if (subject.status != job_status::open)
        return subject;
    if (const json::value* policy = source.if_contains("policy"))
        subject.policy = decode_policy(subject.queue, policy->as_array());
    validate(subject.spec);
    subject.prepare_steps();
    if (const json::value* rows = source.if_contains("progress"))
        decode_progress(subject, rows->as_array());
    return subject;
}

} // namespace

std::string encode_record(const job& subject)
{
    json::object value{{"queue", subject.queue},
                       {"status", static_cast<int>(subject.status)},
                       {"accepted_ms", base::to_millis(subject.accepted_wall)}};
    if (!subject.tenant.empty())
        value["tenant"] = subject.tenant;
    // Callers can only query the status of an ended job.
    if (subject.status != job_status::open)
    {
        value["ended_ms"] = base::to_millis(subject.ended_wall);
        return json::serialize(value);
    }
    value["payload"] = subject.spec.payload;
    if (!subject.policy.name.empty())
        value["policy"] = encode_policy(subject.policy);
    if (subject.has_started)
        value["started"] = true;
    if (subject.spec.repeat_count > 0)
    {
        value["repeat"] = subject.spec.repeat_count;
        value["first_ms"] = base::to_millis(subject.spec.first_due);
        value["interval_ms"] = base::count_millis(subject.spec.repeat_interval);
    }
    json::array steps;
    for (const step_spec& part : subject.spec.steps)
        steps.push_back(encode_step_spec(part));
    value["steps"] = std::move(steps);
    value["progress"] = encode_progress(subject);
    return json::serialize(value);
}

job decode_record(std::string_view id, std::string_view text)
{
    try
    {
        return decode_object(id, json::parse(text).as_object());
    }
    catch (const base::error&)
    {
        throw;
    }
    catch (const std::exception& failure)
    {
        throw base::error(base::error_code::invalid, "decode job record",
                          std::string(id), failure.what());
    }
}

} // namespace pimentograde::jobs
