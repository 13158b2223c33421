#include "jobs/roster.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

namespace pimentograde::jobs
{

namespace json = boost::json;

namespace
{

json::object encode_entry(const roster_entry& entry)
{
    const worker_description& worker = entry.worker;
    json::object row{{"id", worker.id},
                     {"address", worker.address},
                     {"zone", worker.zone},
                     {"born_ms", worker.born_ms},
                     {"labels", json::value_from(worker.labels)},
                     {"cpu", worker.capacity.cpu_millis},
                     {"memory", worker.capacity.memory_mb},
                     {"gpus", worker.capacity.gpus}};
    if (entry.is_silent)
        row["silent"] = true;
    if (entry.runs)
    {
        json::array runs;
        for (const roster_run& run : *entry.runs)
            runs.push_back(json::array{to_string(run.task), run.run,
                                       run.is_confirmed, run.is_starting});
        row["runs"] = std::move(runs);
    }
    if (!entry.unresolved.empty())
    {
        json::array tasks;
        for (const task_id& task : entry.unresolved)
            tasks.emplace_back(to_string(task));
        row["unresolved"] = std::move(tasks);
    }
    if (entry.lease_left)
        row["lease_left_ms"] = base::count_millis(*entry.lease_left);
    if (entry.hold_left)
        row["hold_left_ms"] =
            std::chrono::ceil<std::chrono::milliseconds>(*entry.hold_left)
                .count();
    if (!entry.late_starts.empty())
    {
        json::array starts;
        for (const roster_late_start& start : entry.late_starts)
            starts.push_back(json::array{
                to_string(start.task), start.run,
                std::chrono::ceil<std::chrono::milliseconds>(start.time_left)
                    .count()});
        row["late_starts"] = std::move(starts);
    }
    return row;
}

task_id decode_task(const json::value& name)
{
    const auto task = parse_task_id(name.as_string());
    if (!task)
        throw base::error(base::error_code::invalid, "decode roster", "",
                          "a task id is invalid");
    return *task;
}

roster_run decode_run(const json::array& row)
{
    const bool is_confirmed = row.at(2).as_bool();
    constexpr std::size_t starting_column = 3;
    const bool is_starting = row.size() > starting_column
                                 ? row.at(starting_column).as_bool()
                                 : !is_confirmed;
    return {decode_task(row.at(0)), row.at(1).to_number<int>(), is_confirmed,
            is_starting};
}

roster_late_start decode_late_start(const json::array& row)
{
    return {decode_task(row.at(0)), row.at(1).to_number<int>(),
            std::chrono::milliseconds(row.at(2).to_number<std::int64_t>())};
}

roster_entry decode_entry(const json::object& source)
{
    roster_entry entry;
    worker_description& worker = entry.worker;
    worker.id = std::string(source.at("id").as_string());
    worker.address = std::string(source.at("address").as_string());
    worker.zone = std::string(source.at("zone").as_string());
    worker.born_ms = source.at("born_ms").to_number<std::int64_t>();
    worker.labels =
        json::value_to<std::vector<std::string>>(source.at("labels"));
    worker.capacity = {source.at("cpu").to_number<std::int64_t>(),
                       source.at("memory").to_number<std::int64_t>(),
                       source.at("gpus").to_number<std::int64_t>()};
    if (const json::value* silent = source.if_contains("silent"))
        entry.is_silent = silent->as_bool();
    if (const json::value* runs = source.if_contains("runs"))
    {
        entry.runs.emplace();
        for (const json::value& run : runs->as_array())
            entry.runs->push_back(decode_run(run.as_array()));
    }
    if (const json::value* tasks = source.if_contains("unresolved"))
        for (const json::value& task : tasks->as_array())
            entry.unresolved.push_back(decode_task(task));
    if (const json::value* left = source.if_contains("lease_left_ms"))
        entry.lease_left =
            std::chrono::milliseconds(left->to_number<std::int64_t>());
    if (const json::value* left = source.if_contains("hold_left_ms"))
        entry.hold_left =
            std::chrono::milliseconds(left->to_number<std::int64_t>());
    if (const json::value* starts = source.if_contains("late_starts"))
        for (const json::value& start : starts->as_array())
            entry.late_starts.push_back(decode_late_start(start.as_array()));
    return entry;
}

} // namespace

std::string encode_roster(std::span<const roster_entry> roster)
{
    json::array rows;
    for (const roster_entry& entry : roster)
        rows.push_back(encode_entry(entry));
    return json::serialize(rows);
}

std::vector<roster_entry> decode_roster(std::string_view text)
{
    std::vector<roster_entry> roster;
    try
    {
        const json::value parsed = json::parse(text);
        for (const json::value& row : parsed.as_array())
            roster.push_back(decode_entry(row.as_object()));
    }
    catch (const std::exception& failure)
    {
        throw base::error(base::error_code::invalid, "decode roster", "",
                          failure.what());
    }
    return roster;
}

} // namespace pimentograde::jobs
