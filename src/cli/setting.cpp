#include "cli/setting.hpp"

#include "base/error.hpp"
#include "net/endpoint.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <vector>

namespace pimentograde::cli
{

namespace
{

bool is_endpoint(const std::string& text)
{
    return net::parse_endpoint(text).has_value();
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size())
    {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

bool is_endpoint_list(const std::string& text)
{
    const auto parts = split_list(text);
    return std::all_of(parts.begin(), parts.end(), is_endpoint);
}

bool is_name(const std::string& text)
{
    constexpr std::size_t max_name_length = 64;
    const auto is_name_symbol = [](char symbol)
    {
        return (symbol >= 'a' && symbol <= 'z') ||
               (symbol >= '0' && symbol <= '9') || symbol == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_symbol);
}

std::function<bool(const std::string&)> in_range(int lowest, int highest)
{
    return [=](const std::string& text)
    {
        int value = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, value);
        return parsed.ec == std::errc{} && parsed.ptr == end &&
               value >= lowest && value <= highest;
    };
}

std::function<bool(const std::string&)> one_of(std::vector<std::string> choices)
{
    return [choices = std::move(choices)](const std::string& text)
    {
        return std::find(choices.begin(), choices.end(), text) != choices.end();
    };
}

bool is_secret(const std::string& text)
{
    constexpr std::size_t min_secret_length = 16;
    return text.size() >= min_secret_length;
}

bool is_operator_list(const std::string& text)
{
    constexpr std::size_t digest_length = 64;
    for (const std::string& part : split_list(text))
    {
        const auto first = part.find(':');
        const auto second = part.find(':', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            return false;
        const std::string role = part.substr(first + 1, second - first - 1);
        if (!is_name(part.substr(0, first)) ||
            !one_of({"author", "reviewer", "viewer"})(role) ||
            part.size() - second - 1 != digest_length)
            return false;
    }
    return true;
}

bool is_anything(const std::string&)
{
    return true;
}

std::string fault_line(const setting& entry, const std::string& value)
{
    const std::string shown = entry.secret ? "(hidden)" : value;
    const std::string name = entry.secret
                                 ? std::string(entry.variable)
                                 : "--" + std::string(entry.flag) + " (" +
                                       std::string(entry.variable) + ")";
    return name + ": value '" + shown + "', expected " +
           std::string(entry.expected);
}

void append_rows(std::string& table, std::span<const setting> settings)
{
    for (const setting& entry : settings)
    {
        const std::string flag =
            entry.secret ? "(none)" : "`--" + std::string(entry.flag) + "`";
        std::string default_text = entry.required ? "(required)" : "(empty)";
        if (!entry.default_value.empty())
            default_text = "`" + std::string(entry.default_value) + "`";
        table.append("| ").append(flag).append(" | `");
        table.append(entry.variable).append("` | ").append(default_text);
        table.append(" | ").append(entry.help).append(" Expected: ");
        table.append(entry.expected).append(". |\n");
    }
}

} // namespace

environment process_environment()
{
    return [](std::string_view name) -> std::optional<std::string>
    {
        const char* value = std::getenv(std::string(name).c_str());
        if (value == nullptr)
            return std::nullopt;
        return std::string(value);
    };
}

setting_values resolve(std::span<const setting> settings,
                       const setting_values& flags, const environment& env)
{
    setting_values values;
    std::string faults;
    for (const setting& entry : settings)
    {
        std::optional<std::string> value;
        if (const auto flag = flags.find(entry.flag); flag != flags.end())
            value = flag->second;
        if (!value)
            value = env(entry.variable);
        const bool is_absent = !value;
        if (!value)
            value = std::string(entry.default_value);
        const bool may_be_absent = is_absent && !entry.required;
        if (!may_be_absent && !entry.is_valid(*value))
            faults += (faults.empty() ? "" : "\n") + fault_line(entry, *value);
        values[std::string(entry.flag)] = *value;
    }
    if (!faults.empty())
        throw base::error(base::error_code::invalid, "settings", "", faults);
    return values;
}

std::span<const setting> serve_settings()
{
    static const std::array<setting, 15> settings{{
        {"id", "PIMENTOGRADE_ID", "", "Name of this entry instance.",
         "1 to 64 of a-z, 0-9 and -", is_name, false, true},
        {"zone", "PIMENTOGRADE_ZONE", "", "Availability zone.",
         "1 to 64 of a-z, 0-9 and -", is_name, false, true},
        {"caller-listen", "PIMENTOGRADE_CALLER_LISTEN", "127.0.0.1:8080",
         "Listener for callers.", "IP:PORT", is_endpoint},
        {"operator-listen", "PIMENTOGRADE_OPERATOR_LISTEN", "127.0.0.1:8081",
         "Listener for operators and metrics.", "IP:PORT", is_endpoint},
        {"peer-listen", "PIMENTOGRADE_PEER_LISTEN", "127.0.0.1:8082",
         "Listener for other entry instances.", "IP:PORT", is_endpoint},
        {"store", "PIMENTOGRADE_STORE", "", "The platform's key-value store.",
         "IP:PORT", is_endpoint, false, true},
        {"instance-list", "PIMENTOGRADE_INSTANCE_LIST", "",
         "The platform's instance list.", "IP:PORT", is_endpoint, false, true},
        {"peers", "PIMENTOGRADE_PEERS", "",
         "Peer listeners to contact first, besides those in the store.",
         "comma-separated list of IP:PORT", is_endpoint_list},
        {"store-writes", "PIMENTOGRADE_STORE_WRITES", "300",
         "Writes per second to the store, shared by all entry instances.",
         "10 to 5000", in_range(10, 5000)},
        {"job-concurrency", "PIMENTOGRADE_JOB_CONCURRENCY", "64",
         "Jobs that this instance runs at once.", "1 to 1024",
         in_range(1, 1024)},
        {"stop-seconds", "PIMENTOGRADE_STOP_SECONDS", "60",
         "Longest wait for work in progress at a planned stop.", "1 to 3600",
         in_range(1, 3600)},
        {"log-format", "PIMENTOGRADE_LOG_FORMAT", "plain",
         "Format of log lines.", "plain or json", one_of({"plain", "json"})},
        {"log-level", "PIMENTOGRADE_LOG_LEVEL", "info",
         "Lowest level that is logged.", "debug, info, warning or error",
         one_of({"debug", "info", "warning", "error"})},
        {"bootstrap-operators", "PIMENTOGRADE_BOOTSTRAP_OPERATORS", "",
         "Operators accepted while no bundle is in force.",
         "comma-separated list of NAME:ROLE:SHA256-OF-TOKEN", is_operator_list},
        {"peer-secret", "PIMENTOGRADE_PEER_SECRET", "",
         "Secret shared by all entry instances.", "at least 16 characters",
         is_secret, true, true},
    }};
    return settings;
}

std::span<const setting> node_settings()
{
    static const std::array<setting, 5> settings{{
        {"settings", "PIMENTOGRADE_NODE_FILE", "",
         "Settings file of the platform, as JSON.", "path of a readable file",
         [](const std::string& text) { return !text.empty(); }, false, true},
        {"log-level", "PIMENTOGRADE_LOG_LEVEL", "info", "Lowest level to log.",
         "debug, info, warning or error",
         one_of({"debug", "info", "warning", "error"})},
        {"worker-speed", "PIMENTOGRADE_WORKER_SPEED", "auto",
         "Places tasks by the observed speed of the workers.",
         "auto, on or off", one_of({"auto", "on", "off"})},
        {"near-wait", "PIMENTOGRADE_NEAR_WAIT", "auto",
         "Lets a task wait for a worker near its data while that pays.",
         "auto, on or off", one_of({"auto", "on", "off"})},
        {"store-relay", "PIMENTOGRADE_STORE_RELAY", "auto",
         "Sends store calls through another instance while the store refuses "
         "this one.",
         "auto, on or off", one_of({"auto", "on", "off"})},
    }};
    return settings;
}

std::span<const setting> client_settings()
{
    static const std::array<setting, 4> settings{{
        {"endpoint", "PIMENTOGRADE_ENDPOINT", "127.0.0.1:8081",
         "Operator listener of any entry instance.", "IP:PORT", is_endpoint},
        {"caller-endpoint", "PIMENTOGRADE_CALLER_ENDPOINT", "127.0.0.1:8080",
         "Caller listener, for the commands `request` and `job submit`.",
         "IP:PORT", is_endpoint},
        {"timeout-ms", "PIMENTOGRADE_TIMEOUT_MS", "10000",
         "Longest wait for a response, in milliseconds.", "100 to 600000",
         in_range(100, 600000)},
        {"token", "PIMENTOGRADE_TOKEN", "",
         "Bearer token of the operator or caller.", "any text", is_anything,
         true, false},
    }};
    return settings;
}

std::string settings_markdown()
{
    const std::string head = "| Flag | Variable | Default | Meaning |\n"
                             "|---|---|---|---|\n";
    std::string text = "# Settings\n\nA flag goes before its environment "
                       "variable, which goes before the default.\nSecrets are "
                       "read from the environment only.\n\n## `serve`\n\n" +
                       head;
    append_rows(text, serve_settings());
    text += "\n## `node`\n\n" + head;
    append_rows(text, node_settings());
    text += "\n## Other commands\n\n" + head;
    append_rows(text, client_settings());
    return text;
}

} // namespace pimentograde::cli
