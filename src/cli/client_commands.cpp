#include "base/error.hpp"
#include "base/random_source.hpp"
#include "cli/command.hpp"
#include "cli/explain_command.hpp"
#include "cli/placement_command.hpp"
#include "cli/plain_printer.hpp"
#include "cli/remote_call.hpp"
#include "config/bundle_checker.hpp"
#include "config/bundle_parser.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <fstream>
#include <iterator>
#include <ostream>

namespace pimentograde::cli
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds poll_interval{500};
constexpr std::chrono::milliseconds sign_off_retry_interval{250};

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw base::error(base::error_code::not_found, "read file", path,
                          "cannot be opened");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::uint64_t parse_number(const std::string& text)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        throw base::error(base::error_code::invalid, "read option", "",
                          "'" + text + "' is not a version");
    return number;
}

void print(command_input& input, const json::value& value)
{
    if (input.json)
        input.out << json::serialize(value) << '\n';
    else
        print_plain(input.out, value);
}

// A command that sends one request to the operator listener. `{}` in the path
// stands for the positional arguments, in order.
command remote(std::string_view name, std::vector<std::string_view> arguments,
               std::string_view method, std::string_view path,
               std::string_view help, std::string_view example)
{
    auto run = [method = std::string(method),
                path = std::string(path)](command_input& input)
    {
        remote_call call(input.settings, "endpoint");
        print(input, call.send(method, fill_path(path, input.arguments), ""));
        return exit_code::ok;
    };
    return {name, std::move(arguments), help,          example,
            {},   client_settings(),    std::move(run)};
}

exit_code check_bundle(command_input& input)
{
    const auto parsed = config::parse_bundle(read_file(input.arguments[0]));
    auto faults = parsed.faults;
    if (faults.empty())
        faults = config::check_bundle(parsed.value);
    json::array rows;
    for (const auto& fault : faults)
        rows.push_back(
            json::object{{"path", fault.path}, {"fault", fault.text}});
    if (rows.empty())
    {
        print(input, json::object{{"bundle", "valid"}});
        return exit_code::ok;
    }
    print(input, rows);
    return exit_code::refused;
}

exit_code draft_bundle(command_input& input)
{
    remote_call call(input.settings, "endpoint");
    print(input, call.send("POST", "/v1/bundle/drafts",
                           read_file(input.arguments[0])));
    return exit_code::ok;
}

// The instance recognises a repeated sign-off by draft, reviewer and base
// version, so asking again after a lost answer neither doubles nor loses it.
exit_code sign_off_bundle(command_input& input)
{
    remote_call call(input.settings, "endpoint");
    const json::object body{
        {"base_version", parse_number(input.options["base"])}};
    const std::string path =
        fill_path("/v1/bundle/drafts/{}/sign-off", input.arguments);
    while (true)
    {
        try
        {
            print(input, call.send("POST", path, json::serialize(body)));
            return exit_code::ok;
        }
        catch (const base::error& failure)
        {
            const bool may_retry =
                failure.effect_unknown() ||
                failure.code() == base::error_code::unavailable;
            if (!may_retry || call.is_expired())
                throw;
            input.err << "no answer yet (" << failure.what()
                      << "); asking again\n";
            boost::this_fiber::sleep_for(sign_off_retry_interval);
        }
    }
}

exit_code review_bundle(command_input& input)
{
    remote_call call(input.settings, "endpoint");
    const json::object body{{"comment", input.options["comment"]}};
    print(input,
          call.send("POST",
                    fill_path("/v1/bundle/drafts/{}/review", input.arguments),
                    json::serialize(body)));
    return exit_code::ok;
}

// Prints the status; with --wait, repeats until `is_finished`.
exit_code
watch_status(command_input& input, const std::string& path,
             const std::function<bool(const json::value&)>& is_finished)
{
    remote_call call(input.settings, "endpoint");
    while (true)
    {
        const json::value status = call.send("GET", path, "");
        print(input, status);
        if (input.options["wait"].empty() || is_finished(status))
            return exit_code::ok;
        if (call.is_expired())
            throw base::error(base::error_code::timeout, "wait", "",
                              "not finished within --timeout-ms");
        boost::this_fiber::sleep_for(poll_interval);
    }
}

bool is_flag_set(const json::value& status, std::string_view name)
{
    const json::value* flag = status.as_object().if_contains(name);
    return flag != nullptr && flag->is_bool() && flag->get_bool();
}

exit_code move_instance(command_input& input)
{
    remote_call call(input.settings, "endpoint");
    const json::object body{{"pool", input.arguments[1]}};
    print(input,
          call.send("POST", fill_path("/v1/instances/{}/move", input.arguments),
                    json::serialize(body)));
    return exit_code::ok;
}

exit_code settle_job(command_input& input)
{
    remote_call call(input.settings, "endpoint");
    const json::object body{{"as", input.options["as"]}};
    print(input,
          call.send("POST", fill_path("/v1/jobs/{}/settle", input.arguments),
                    json::serialize(body)));
    return exit_code::ok;
}

exit_code submit(command_input& input, std::string_view path)
{
    remote_call call(input.settings, "caller-endpoint");
    std::string key = input.options["key"];
    if (key.empty())
        key = base::random_source{}.hex_id();
    const json::object body{
        {"queue", input.arguments[0]},
        {"priority", input.options["priority"]},
        {"idempotent", !input.options["idempotent"].empty()},
        {"key", key},
        {"issued_at_ms", base::to_millis(base::wall_now())},
        {"payload", input.arguments[1]}};
    json::value result =
        call.send_for_result("POST", std::string(path), json::serialize(body));
    result.as_object()["key"] = key;
    print(input, result);
    const auto status = result.as_object()["status"];
    return status == "done" || status == "accepted" ? exit_code::ok
                                                    : exit_code::refused;
}

std::vector<command_option> submit_options()
{
    return {{"key", "", "Idempotency key (default: random)"},
            {"priority", "batch", "urgent or batch (default: batch)"},
            {"idempotent", "", "May safely run more than once", true}};
}

void add_bundle_commands(std::vector<command>& all)
{
    all.push_back({"bundle check",
                   {"FILE"},
                   "Check a bundle file without an instance",
                   "pimentograde bundle check examples/kowhai.json",
                   {},
                   {},
                   check_bundle});
    all.push_back({"bundle draft",
                   {"FILE"},
                   "Submit a bundle as a draft (role author)",
                   "pimentograde bundle draft examples/kowhai.json",
                   {},
                   client_settings(),
                   draft_bundle});
    all.push_back(remote("bundle drafts", {}, "GET", "/v1/bundle/drafts",
                         "List the drafts", "pimentograde bundle drafts"));
    all.push_back(
        {"bundle sign-off",
         {"DRAFT"},
         "Put a draft of somebody else into force (role reviewer)",
         "pimentograde bundle sign-off 3f2a --base 4",
         {{"base", "0", "Version that the draft replaces (default: 0, none)"}},
         client_settings(),
         sign_off_bundle});
    all.push_back({"bundle review",
                   {"DRAFT"},
                   "Add a comment to a draft (role reviewer)",
                   "pimentograde bundle review 3f2a --comment 'racks checked'",
                   {{"comment", "", "Text of the comment"}},
                   client_settings(),
                   review_bundle});
    all.push_back(remote("bundle show", {}, "GET", "/v1/bundle",
                         "Print the bundle in force",
                         "pimentograde bundle show -j"));
    all.push_back({"bundle status",
                   {},
                   "Version in force on each entry instance",
                   "pimentograde bundle status --wait",
                   {{"wait", "", "Repeat until in force everywhere", true}},
                   client_settings(),
                   [](command_input& input)
                   {
                       return watch_status(
                           input, "/v1/bundle/status",
                           [](const json::value& status)
                           { return is_flag_set(status, "everywhere"); });
                   }});
}

void add_fleet_commands(std::vector<command>& all)
{
    all.push_back(remote("pool list", {}, "GET", "/v1/pools",
                         "Pools with their instances and use",
                         "pimentograde pool list"));
    all.push_back(remote("instance list", {}, "GET", "/v1/instances",
                         "Instances with pool and state",
                         "pimentograde instance list"));
    all.push_back(remote("instance drain", {"ID"}, "POST",
                         "/v1/instances/{}/drain",
                         "Take an instance out of service (role author)",
                         "pimentograde instance drain w-07"));
    all.push_back(remote("instance release", {"ID"}, "POST",
                         "/v1/instances/{}/release",
                         "Put a drained instance back (role author)",
                         "pimentograde instance release w-07"));
    all.push_back({"instance move",
                   {"ID", "POOL"},
                   "Move an instance to another pool (role author)",
                   "pimentograde instance move w-07 survey",
                   {},
                   client_settings(),
                   move_instance});
    all.push_back({"wave status",
                   {},
                   "Progress, pause reason and expected end of each wave",
                   "pimentograde wave status --wait",
                   {{"wait", "", "Repeat until no wave is running", true}},
                   client_settings(),
                   [](command_input& input)
                   {
                       return watch_status(
                           input, "/v1/waves",
                           [](const json::value& status)
                           { return is_flag_set(status, "idle"); });
                   }});
    for (const auto& [name, path, help, example] :
         {std::tuple{"wave start", "/v1/waves/{}/start",
                     "Start a wave of the bundle (role author)",
                     "pimentograde wave start all-pools"},
          std::tuple{"wave pause", "/v1/waves/{}/pause",
                     "Begin no further drains (role author)",
                     "pimentograde wave pause all-pools"},
          std::tuple{"wave resume", "/v1/waves/{}/resume",
                     "Continue a paused wave (role author)",
                     "pimentograde wave resume all-pools"}})
        all.push_back(remote(name, {"NAME"}, "POST", path, help, example));
}

void add_work_commands(std::vector<command>& all)
{
    all.push_back(remote("job list", {}, "GET", "/v1/jobs",
                         "Jobs that wait, run or are unresolved",
                         "pimentograde job list"));
    all.push_back(remote("job show", {"ID"}, "GET", "/v1/jobs/{}", "One job",
                         "pimentograde job show 17-4e81"));
    all.push_back({"job settle",
                   {"ID"},
                   "State the outcome of an unresolved job (role reviewer)",
                   "pimentograde job settle 17-4e81 --as done",
                   {{"as", "", "done or failed"}},
                   client_settings(),
                   settle_job});
    all.push_back({"job submit",
                   {"QUEUE", "PAYLOAD"},
                   "Submit a job as a caller",
                   "pimentograde job submit fixture-surveys "
                   "'{\"sleep_ms\":20}' --idempotent",
                   submit_options(),
                   client_settings(),
                   [](command_input& input)
                   {
                       return submit(input, "/v1/jobs");
                   }});
    all.push_back({"request",
                   {"QUEUE", "PAYLOAD"},
                   "Send a request as a caller and print the answer",
                   "pimentograde request glare-reports '{\"sleep_ms\":20}' "
                   "--idempotent --priority urgent",
                   submit_options(),
                   client_settings(),
                   [](command_input& input)
                   {
                       return submit(input, "/v1/requests");
                   }});
}

} // namespace

std::vector<command> client_commands()
{
    std::vector<command> all;
    all.push_back(remote("status", {}, "GET", "/v1/status",
                         "Summary of the entry instance and its members",
                         "pimentograde status"));
    all.push_back(remote("dump", {}, "GET", "/v1/dump",
                         "Full state of the entry instance",
                         "pimentograde dump -j"));
    add_bundle_commands(all);
    add_fleet_commands(all);
    add_work_commands(all);
    all.push_back(explain_command());
    all.push_back(placement_command());
    all.push_back({"settings",
                   {},
                   "Print the table of all settings in Markdown",
                   "pimentograde settings > docs/settings.md",
                   {},
                   {},
                   [](command_input& input)
                   {
                       input.out << settings_markdown();
                       return exit_code::ok;
                   }});
    return all;
}

} // namespace pimentograde::cli
