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

// `auto` asks for it where the deployment's callers press for more than there
// is room for.
bool is_enabled(const setting_values& values, std::string_view flag,
                const platform::node_settings& settings)
{
    const std::string& word = values.find(flag)->second;
    return word == "on" || (word == "auto" && settings.expects_pressure);
}

node::node_options read_options(const setting_values& values,
                                const platform::node_settings& settings)
{
    return {is_enabled(values, "worker-speed", settings),
            is_enabled(values, "near-wait", settings),
            is_enabled(values, "store-relay", settings)};
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
