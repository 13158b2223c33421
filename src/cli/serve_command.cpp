#include "cli/serve_command.hpp"

#include "entry/entry_instance.hpp"
#include "entry/signal_wait.hpp"
#include "log/event.hpp"
#include "net/endpoint.hpp"

namespace pimentograde::cli
{

namespace
{

const std::string& value_of(const setting_values& settings,
                            std::string_view flag)
{
    return settings.find(flag)->second;
}

net::endpoint endpoint_of(const setting_values& settings, std::string_view flag)
{
    return *net::parse_endpoint(value_of(settings, flag));
}

std::vector<net::endpoint> endpoint_list(std::string_view text)
{
    std::vector<net::endpoint> endpoints;
    while (!text.empty())
    {
        const auto end = std::min(text.find(','), text.size());
        endpoints.push_back(*net::parse_endpoint(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return endpoints;
}

log::severity severity_of(std::string_view word)
{
    if (word == "debug")
        return log::severity::debug;
    if (word == "warning")
        return log::severity::warning;
    if (word == "error")
        return log::severity::error;
    return log::severity::info;
}

entry::entry_settings to_entry_settings(const setting_values& settings)
{
    entry::entry_settings result;
    result.id = base::member_id(value_of(settings, "id"));
    result.zone = base::zone_name(value_of(settings, "zone"));
    result.caller_listen = endpoint_of(settings, "caller-listen");
    result.operator_listen = endpoint_of(settings, "operator-listen");
    result.peer_listen = endpoint_of(settings, "peer-listen");
    result.store = endpoint_of(settings, "store");
    result.instance_list = endpoint_of(settings, "instance-list");
    result.peers = endpoint_list(value_of(settings, "peers"));
    result.peer_secret = value_of(settings, "peer-secret");
    result.store_writes_per_second =
        std::stoi(value_of(settings, "store-writes"));
    result.job_concurrency = std::stoi(value_of(settings, "job-concurrency"));
    result.stop_time =
        std::chrono::seconds(std::stoi(value_of(settings, "stop-seconds")));
    result.bootstrap_operators = entry::parse_bootstrap_operators(
        value_of(settings, "bootstrap-operators"));
    return result;
}

exit_code serve(command_input& input)
{
    // A signal during the start must not end the process at once.
    entry::catch_signals();
    log::configure(value_of(input.settings, "log-format") == "json"
                       ? log::format::json
                       : log::format::plain,
                   severity_of(value_of(input.settings, "log-level")),
                   value_of(input.settings, "id"));
    entry::entry_instance instance(to_entry_settings(input.settings));
    return instance.run() ? exit_code::ok : exit_code::refused;
}

} // namespace

command serve_command()
{
    return {"serve",
            {},
            "Run an entry instance until SIGTERM",
            "pimentograde serve --id e1 --zone gt-1 --store 10.0.0.5:7000 "
            "--instance-list 10.0.0.6:7000",
            {},
            serve_settings(),
            serve};
}

} // namespace pimentograde::cli
