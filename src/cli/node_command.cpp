#include "cli/node_command.hpp"

#include "base/error.hpp"
#include "entry/signal_wait.hpp"
#include "log/bounded_output.hpp"
#include "log/event.hpp"
#include "node/node_instance.hpp"

#include <fstream>
#include <iterator>

namespace pimentograde::cli
{

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw base::error(base::error_code::invalid, "read settings", path,
                          "the file cannot be opened");
    return {std::istreambuf_iterator<char>(file), {}};
}

log::severity severity_of(std::string_view word)
{
    for (const auto level :
         {log::severity::debug, log::severity::info, log::severity::warning})
        if (log::to_string(level) == word)
            return level;
    return log::severity::error;
}

bool is_enabled(const setting_values& values, std::string_view flag,
                bool is_on_by_default)
{
    const std::string& word = values.find(flag)->second;
    return word == "on" || (word == "auto" && is_on_by_default);
}

// `auto` asks for all of it where the deployment's callers press for more than
// there is room for. An owner that the store refuses cannot raise its grants of
// quotas either, so with quotas its calls are relayed, too.
node::node_options read_options(const setting_values& values,
                                const platform::node_settings& settings)
{
    const bool has_quotas = settings.quota_excess > 0.0;
    return {is_enabled(values, "worker-speed", settings.expects_pressure),
            is_enabled(values, "near-wait", settings.expects_pressure),
            is_enabled(values, "store-relay",
                       settings.expects_pressure || has_quotas)};
}

exit_code run_node(command_input& input)
{
    // The settings may change, with SIGHUP, while they are read.
    entry::catch_signals();
    const std::string path = input.settings.find("settings")->second;
    const auto read = [path]
    {
        return platform::read_node_settings(read_file(path));
    };
    const auto settings = read();
    log::configure(log::format::json,
                   severity_of(input.settings.find("log-level")->second),
                   settings.name);
    log::use_bounded_standard_output();
    node::node_instance instance(settings, read,
                                 read_options(input.settings, settings));
    instance.run();
    return exit_code::ok;
}

} // namespace

command node_command()
{
    return {"node",
            {},
            "Run an entry instance on the platform until SIGTERM",
            "PIMENTOGRADE_NODE_FILE=settings.json pimentograde node",
            {},
            node_settings(),
            run_node};
}

} // namespace pimentograde::cli
