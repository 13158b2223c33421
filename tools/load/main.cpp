#include "base/error.hpp"
#include "config/bundle_parser.hpp"
#include "load/capacity_benchmark.hpp"
#include "load/load_run.hpp"
#include "load/log_fetcher.hpp"
#include "load/policy_benchmark.hpp"
#include "load/record_benchmark.hpp"
#include "net/io_scheduler.hpp"
#include "standin/outcome_checker.hpp"

#include <boost/json.hpp>

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace load = pimentograde::load;
namespace base = pimentograde::base;
namespace net = pimentograde::net;
namespace config = pimentograde::config;
namespace standin = pimentograde::standin;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_printed_violations = 50;

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "pimentograde_load",
        "Sends requests and jobs in bursts and checks what callers were told.\n"
        "Prints one JSON object a line; exits with 1 after a violation.\n"
        "The commands `capacity`, `policy` and `records` measure those "
        "packages "
        "instead.");
    options.positional_help("[run|capacity|policy|records]");
    options.parse_positional({"command"});
    options.add_options()("h,help", "print this help")(
        "command", "run, capacity, policy or records",
        cxxopts::value<std::string>()->default_value("run"))(
        "entry", "caller listeners of the entry instances, comma-separated",
        cxxopts::value<std::vector<std::string>>())(
        "bundle", "file with queues, callers and workers",
        cxxopts::value<std::string>())(
        "control", "control port of the test double, for the check",
        cxxopts::value<std::string>()->default_value(""))(
        "token-suffix", "a caller's token is its name and this",
        cxxopts::value<std::string>()->default_value("-token"))(
        "seconds", "length of the run",
        cxxopts::value<double>()->default_value("20"))(
        "settle-seconds", "longest wait for accepted jobs afterwards",
        cxxopts::value<double>()->default_value("30"))(
        "burst-load", "demand of a burst as a share of the pool's capacity",
        cxxopts::value<double>()->default_value("1.2"))(
        "rate", "mean submissions a second in all, 0: as --burst-load says",
        cxxopts::value<double>()->default_value("0"))(
        "burst-seconds", "length of a burst",
        cxxopts::value<double>()->default_value("4"))(
        "time-scale", "factor on the queues' expected time of tasks",
        cxxopts::value<double>()->default_value("1"))(
        "deadline-ms", "how long a caller waits for one urgent submission",
        cxxopts::value<unsigned>()->default_value("10000"))(
        "batch-deadline-ms", "how long a caller waits for another submission",
        cxxopts::value<unsigned>()->default_value("60000"))(
        "job-share", "share of jobs",
        cxxopts::value<double>()->default_value("0.2"))(
        "idempotent-share", "share of idempotent work",
        cxxopts::value<double>()->default_value("0.5"))(
        "max-calls", "bound of the number of submissions",
        cxxopts::value<std::size_t>()->default_value("100000"))(
        "max-in-progress", "bound of submissions in progress",
        cxxopts::value<std::size_t>()->default_value("2000"))(
        "interval-seconds", "time between summaries",
        cxxopts::value<double>()->default_value("5"))(
        "seed", "seed of arrivals and choices",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    return options;
}

base::duration seconds_of(double count)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(count));
}

net::endpoint endpoint_of(const std::string& text)
{
    const auto parsed = net::parse_endpoint(text);
    if (!parsed)
        throw base::error(base::error_code::invalid, "read flags", text,
                          "not an IP address and port");
    return *parsed;
}

config::bundle read_bundle(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
        throw base::error(base::error_code::not_found, "read bundle", file,
                          "cannot open the file");
    return config::load_bundle(
        std::string(std::istreambuf_iterator<char>(input), {}));
}

load::run_settings read_settings(const cxxopts::ParseResult& flags)
{
    load::run_settings settings;
    for (const std::string& entry :
         flags["entry"].as<std::vector<std::string>>())
        settings.entries.push_back(endpoint_of(entry));
    settings.traffic.burst_load = flags["burst-load"].as<double>();
    settings.traffic.total_rate = flags["rate"].as<double>();
    settings.traffic.time_scale = flags["time-scale"].as<double>();
    settings.traffic.burst_time =
        seconds_of(flags["burst-seconds"].as<double>());
    if (settings.traffic.burst_time <= base::duration{})
        throw base::error(base::error_code::invalid, "read flags", "",
                          "--burst-seconds must be above 0");
    settings.plan = load::plan_traffic(
        read_bundle(flags["bundle"].as<std::string>()), settings.traffic);
    settings.token_suffix = flags["token-suffix"].as<std::string>();
    settings.length = seconds_of(flags["seconds"].as<double>());
    settings.settle = seconds_of(flags["settle-seconds"].as<double>());
    settings.urgent_deadline =
        std::chrono::milliseconds{flags["deadline-ms"].as<unsigned>()};
    settings.batch_deadline =
        std::chrono::milliseconds{flags["batch-deadline-ms"].as<unsigned>()};
    settings.job_share = flags["job-share"].as<double>();
    settings.idempotent_share = flags["idempotent-share"].as<double>();
    settings.max_calls = flags["max-calls"].as<std::size_t>();
    settings.max_in_progress = flags["max-in-progress"].as<std::size_t>();
    settings.report_interval =
        seconds_of(flags["interval-seconds"].as<double>());
    settings.seed = flags["seed"].as<std::uint64_t>();
    return settings;
}

// Prints the violations and returns their number.
std::size_t check(const load::call_table& calls, const net::endpoint& control)
{
    const auto executions = load::fetch_log(control);
    const auto views = calls.views();
    const auto found = standin::check_outcomes(views, executions);
    for (std::size_t index = 0;
         index < std::min(found.size(), max_printed_violations); ++index)
        std::cout << json::serialize(json::object{
                         {"kind", "violation"},
                         {"violation", standin::to_string(found[index].kind)},
                         {"token", found[index].token},
                         {"detail", found[index].detail}})
                  << std::endl;
    std::cout << json::serialize(json::object{{"kind", "check"},
                                              {"calls", views.size()},
                                              {"executions", executions.size()},
                                              {"violations", found.size()}})
              << std::endl;
    return found.size();
}

void require(const cxxopts::ParseResult& flags, const char* name)
{
    if (flags.count(name) == 0)
        throw base::error(base::error_code::invalid, "read flags", "",
                          "--" + std::string(name) + " is required");
}

int run(const cxxopts::ParseResult& flags)
{
    const std::string command = flags["command"].as<std::string>();
    require(flags, "bundle");
    if (command == "capacity")
    {
        load::run_capacity_benchmark(
            std::cout, read_bundle(flags["bundle"].as<std::string>()),
            flags["seed"].as<std::uint64_t>());
        return 0;
    }
    if (command == "policy")
    {
        load::run_policy_benchmark(
            std::cout,
            read_bundle(flags["bundle"].as<std::string>()).deployment,
            flags["seed"].as<std::uint64_t>(),
            seconds_of(flags["seconds"].as<double>()));
        return 0;
    }
    if (command == "records")
    {
        load::run_record_benchmark(std::cout);
        return 0;
    }
    if (command != "run")
        throw base::error(base::error_code::invalid, "read flags", "",
                          "unknown command " + command);
    require(flags, "entry");
    const std::string control = flags["control"].as<std::string>();
    load::load_run traffic(read_settings(flags));
    traffic.run();
    if (control.empty())
        return 0;
    return check(traffic.calls(), endpoint_of(control)) == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options = make_options();
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") != 0)
        {
            std::cout << options.help();
            return 0;
        }
        net::this_thread_io();
        return run(flags);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "pimentograde_load: " << failure.what() << '\n';
        return 2;
    }
}
