#include "base/error.hpp"
#include "net/await.hpp"
#include "net/io_scheduler.hpp"
#include "standin/bundle_workers.hpp"
#include "standin/platform_standin.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace standin = pimentograde::standin;
namespace base = pimentograde::base;
namespace net = pimentograde::net;

namespace
{

cxxopts::Options make_options()
{
    cxxopts::Options options("pimentograde_standin",
                             "Test double of the platform on loopback");
    options.add_options()("h,help", "print this help")(
        "store-port", "port of the store, 0: any",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "list-port", "port of the instance list, 0: any",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "control-port", "port for faults, counts and the log, 0: any",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "bundle", "take ids, addresses and sizes of workers from this file",
        cxxopts::value<std::string>()->default_value(""))(
        "workers", "number of workers without a bundle",
        cxxopts::value<std::size_t>()->default_value("50"))(
        "worker-base-port", "port of the first worker, 0: any",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "seed", "seed of the faults",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "store-latency-ms", "time of each store call",
        cxxopts::value<unsigned>()->default_value("2"))(
        "store-reads-per-s", "rate of the store's reads, 0: no limit",
        cxxopts::value<double>()->default_value("2000"))(
        "store-writes-per-s", "rate of the store's writes, 0: no limit",
        cxxopts::value<double>()->default_value("600"))(
        "list-lag-ms", "age of the instance list",
        cxxopts::value<unsigned>()->default_value("1000"))(
        "usage-lag-ms", "age of usage samples",
        cxxopts::value<unsigned>()->default_value("2000"))(
        "reboot-ms", "time of a worker's reboot",
        cxxopts::value<unsigned>()->default_value("200"))(
        "running-ttl-ms",
        "stop a running task whose lease is not renewed for this long, 0: "
        "never",
        cxxopts::value<unsigned>()->default_value("0"))(
        "max-seconds", "stop after this time",
        cxxopts::value<unsigned>()->default_value("86400"));
    return options;
}

std::vector<standin::worker_settings>
make_workers(const cxxopts::ParseResult& flags)
{
    const std::string file = flags["bundle"].as<std::string>();
    std::vector<standin::worker_settings> workers;
    if (file.empty())
    {
        workers = standin::default_workers(
            flags["workers"].as<std::size_t>(),
            flags["worker-base-port"].as<std::uint16_t>());
    }
    else
    {
        std::ifstream input(file);
        if (!input)
            throw base::error(base::error_code::not_found, "read bundle", file,
                              "cannot open the file");
        workers = standin::workers_of_bundle(
            std::string(std::istreambuf_iterator<char>(input), {}));
    }
    const auto millis = [&flags](const char* name)
    {
        return std::chrono::milliseconds{flags[name].as<unsigned>()};
    };
    for (standin::worker_settings& settings : workers)
    {
        settings.usage_lag = millis("usage-lag-ms");
        settings.reboot_time = millis("reboot-ms");
        settings.running_ttl = millis("running-ttl-ms");
    }
    return workers;
}

void print_addresses(const standin::platform_standin& platform)
{
    boost::json::object workers;
    for (const auto& worker : platform.worker_endpoints())
        workers[worker.id.str()] = net::to_string(worker.address);
    const boost::json::object line{
        {"ready", true},
        {"store", net::to_string(platform.store_endpoint())},
        {"list", net::to_string(platform.list_endpoint())},
        {"control", net::to_string(platform.control_endpoint())},
        {"workers", std::move(workers)}};
    std::cout << boost::json::serialize(line) << std::endl;
}

void wait_for_end(std::chrono::seconds longest)
{
    boost::asio::signal_set signals(net::this_thread_io(), SIGINT, SIGTERM);
    boost::asio::steady_timer timer(net::this_thread_io(), longest);
    timer.async_wait(
        [&signals](const boost::system::error_code& cancelled)
        {
            if (!cancelled)
                signals.cancel();
        });
    net::await_io<int>([&signals](auto done)
                       { signals.async_wait(std::move(done)); });
}

void run(const cxxopts::ParseResult& flags)
{
    const auto platform =
        standin::platform_standin::builder{}
            .seed(flags["seed"].as<std::uint64_t>())
            .store_port(flags["store-port"].as<std::uint16_t>())
            .list_port(flags["list-port"].as<std::uint16_t>())
            .control_port(flags["control-port"].as<std::uint16_t>())
            .store_bounds({std::chrono::milliseconds{
                               flags["store-latency-ms"].as<unsigned>()},
                           flags["store-reads-per-s"].as<double>(),
                           flags["store-writes-per-s"].as<double>()})
            .list_lag(
                std::chrono::milliseconds{flags["list-lag-ms"].as<unsigned>()})
            .workers(make_workers(flags))
            .build();
    print_addresses(*platform);
    wait_for_end(std::chrono::seconds{flags["max-seconds"].as<unsigned>()});
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
        run(flags);
        return 0;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "pimentograde_standin: " << failure.what() << '\n';
        return 1;
    }
}
