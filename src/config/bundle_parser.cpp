#include "config/bundle_parser.hpp"

#include "base/error.hpp"
#include "config/bundle_checker.hpp"
#include "config/bundle_words.hpp"
#include "config/duplicate_fields.hpp"

#include <utility>

namespace pimentograde::config
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t max_count = 1'000'000;
constexpr std::uint64_t max_slots = 4096;
constexpr std::uint64_t max_wait_ms = 24ULL * 3600 * 1000;
constexpr std::uint64_t max_period_s = 366ULL * 24 * 3600;
constexpr std::uint64_t max_memory_mb = 64ULL * 1024 * 1024;
constexpr double max_cores = 4096;

base::duration millis(std::uint64_t count)
{
    return std::chrono::milliseconds{count};
}

base::duration seconds(std::uint64_t count)
{
    return std::chrono::seconds{count};
}

std::uint32_t small_integer(field_reader& reader, std::string_view field,
                            std::uint64_t low, std::uint64_t high)
{
    return static_cast<std::uint32_t>(reader.integer(field, low, high));
}

measure_weights read_weights(field_reader reader)
{
    measure_weights value;
    value.buffer_cost = reader.number("buffer_cost", 0, 1);
    value.rollout_time = reader.number("rollout_time", 0, 1);
    value.moves = reader.number("moves", 0, 1);
    reader.report_unknown();
    return value;
}

caller_entry read_caller(field_reader reader)
{
    caller_entry value;
    value.name = base::caller_name(reader.name("name"));
    value.token_sha256 = reader.sha256("token_sha256");
    reader.report_unknown();
    return value;
}

department read_department(field_reader reader, fault_list& faults)
{
    department value;
    value.name = base::department_name(reader.name("name"));
    value.quota_slots = small_integer(reader, "quota_slots", 0, max_count);
    value.retry_ratio = reader.number("retry_ratio", 0, 1, value.retry_ratio);
    reader.each("callers",
                [&](const json::value& source, std::string path) {
                    value.callers.push_back(
                        read_caller({source, std::move(path), faults}));
                });
    reader.report_unknown();
    return value;
}

pool read_pool(field_reader reader)
{
    pool value;
    value.name = base::pool_name(reader.name("name"));
    value.spare = reader.boolean("spare", false);
    reader.report_unknown();
    return value;
}

queue read_queue(field_reader reader)
{
    queue value;
    value.name = base::queue_name(reader.name("name"));
    value.department = base::department_name(reader.name("department"));
    value.pool = base::pool_name(reader.name("pool"));
    value.urgency =
        static_cast<base::priority>(reader.choice("priority", priority_words));
    value.max_waiting = small_integer(reader, "max_waiting", 0, max_count);
    value.max_wait = millis(reader.integer("max_wait_ms", 0, max_wait_ms));
    value.expected_time =
        millis(reader.integer("expected_time_ms", 1, max_wait_ms));
    reader.report_unknown();
    return value;
}

base::task_size read_size(field_reader reader)
{
    base::task_size value;
    value.cores = reader.number("cores", 0, max_cores);
    value.memory_mb = reader.integer("memory_mb", 0, max_memory_mb);
    value.accelerators = static_cast<std::uint32_t>(
        reader.integer("accelerators", 0, max_slots, 0));
    reader.report_unknown();
    return value;
}

worker read_worker(field_reader reader)
{
    worker value;
    value.id = base::worker_id(reader.name("id"));
    value.pool = base::pool_name(reader.name("pool"));
    value.zone = base::zone_name(reader.name("zone"));
    value.rack = base::rack_name(reader.name("rack"));
    value.address = reader.address("address");
    value.size = read_size(reader.object("size"));
    value.slots = small_integer(reader, "slots", 1, max_slots);
    value.connections = small_integer(reader, "connections", 1, max_count);
    reader.report_unknown();
    return value;
}

budget read_budget(field_reader reader)
{
    budget value;
    value.department = base::department_name(reader.name("department"));
    value.pool = base::pool_name(reader.name("pool"));
    value.min_workers = small_integer(reader, "min_workers", 0, max_count);
    value.survive =
        static_cast<failure_domain>(reader.choice("survive", survive_words));
    reader.report_unknown();
    return value;
}

wave read_wave(field_reader reader)
{
    wave value;
    value.name = reader.name("name");
    for (const std::string& name : reader.names("pools"))
        value.pools.emplace_back(name);
    value.max_parallel = small_integer(reader, "max_parallel", 1, max_count);
    value.period = seconds(reader.integer("period_s", 1, max_period_s));
    value.checkpoint_after =
        seconds(reader.integer("checkpoint_after_s", 0, max_period_s, 0));
    reader.report_unknown();
    return value;
}

operator_entry read_operator(field_reader reader)
{
    operator_entry value;
    value.name = reader.name("name");
    value.role = static_cast<operator_role>(reader.choice("role", role_words));
    value.token_sha256 = reader.sha256("token_sha256");
    reader.report_unknown();
    return value;
}

void read_document(const json::value& source, parsed_bundle& result)
{
    fault_list& faults = result.faults;
    bundle& value = result.value;
    field_reader reader(source, "", faults);
    const auto each = [&](std::string_view field, auto& list, auto read)
    {
        reader.each(field,
                    [&](const json::value& element, std::string path) {
                        list.push_back(read(
                            field_reader(element, std::move(path), faults)));
                    });
    };
    reader.integer("format", bundle_format, bundle_format);
    value.deployment = reader.name("deployment");
    value.weights = read_weights(reader.object("weights"));
    for (const std::string& name : reader.names("zones"))
        value.zones.emplace_back(name);
    each("departments", value.departments,
         [&](field_reader nested)
         { return read_department(std::move(nested), faults); });
    each("pools", value.pools, read_pool);
    each("queues", value.queues, read_queue);
    each("workers", value.workers, read_worker);
    each("budgets", value.budgets, read_budget);
    each("waves", value.waves, read_wave);
    each("operators", value.operators, read_operator);
    reader.report_unknown();
}

} // namespace

parsed_bundle parse_bundle(std::string_view text)
{
    parsed_bundle result;
    if (text.size() > max_bundle_bytes)
    {
        result.faults.push_back(
            {"",
             "is longer than " + std::to_string(max_bundle_bytes) + " bytes"});
        return result;
    }
    boost::system::error_code failure;
    const json::value document = json::parse(text, failure);
    if (failure)
    {
        result.faults.push_back({"", "is not JSON: " + failure.message()});
        return result;
    }
    result.faults = find_duplicate_fields(text);
    read_document(document, result);
    return result;
}

std::string to_string(const fault_list& faults)
{
    std::string text;
    for (const bundle_fault& entry : faults)
    {
        if (!text.empty())
            text.append("\n");
        text.append(entry.path.empty() ? "bundle" : entry.path);
        text.append(": ").append(entry.text);
    }
    return text;
}

bundle load_bundle(std::string_view text)
{
    parsed_bundle parsed = parse_bundle(text);
    if (parsed.ok())
        parsed.faults = check_bundle(parsed.value);
    if (!parsed.ok())
        throw base::error(base::error_code::invalid, "bundle", "",
                          to_string(parsed.faults));
    return std::move(parsed.value);
}

} // namespace pimentograde::config
