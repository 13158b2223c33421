#include "cli/placement_command.hpp"

#include "base/error.hpp"
#include "cli/plain_printer.hpp"
#include "net/endpoint.hpp"
#include "net/http_client.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace pimentograde::cli
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds answer_limit{5};
constexpr std::string_view step = "preview placement";

std::string read_text(const std::string& path)
{
    if (path == "-")
        return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream file(path);
    if (!file)
        throw base::error(base::error_code::not_found, "read job", path,
                          "cannot be opened");
    return {std::istreambuf_iterator<char>(file), {}};
}

net::http_request make_request(const command_input& input)
{
    const std::string& queue = input.arguments[0];
    const std::size_t slash = queue.find('/');
    if (slash == std::string::npos)
        throw base::error(base::error_code::invalid, std::string(step), queue,
                          "is not HOST/PATH");
    net::http_request request;
    request.method = "POST";
    request.target = "/placement" + queue.substr(slash);
    request.host = queue.substr(0, slash);
    request.body = read_text(input.arguments[1]);
    const std::string& tenant = input.options.find("tenant")->second;
    if (!tenant.empty())
        request.headers.emplace_back("X-Tenant", tenant);
    return request;
}

exit_code run_placement(command_input& input)
{
    const std::string& text = input.options.find("instance")->second;
    const auto where = net::parse_endpoint(text);
    if (!where)
        throw base::error(base::error_code::invalid, std::string(step), text,
                          "--instance is not IP:PORT");
    const auto client = net::http_client::builder{}.build();
    const net::http_response response = client->send(
        *where, make_request(input), base::steady_now() + answer_limit, step);
    boost::system::error_code failure;
    const json::value value = json::parse(response.body, failure);
    if (failure)
        throw base::error(base::error_code::invalid, std::string(step),
                          net::to_string(*where), "response is not JSON");
    if (input.json)
        input.out << json::serialize(value) << '\n';
    else
        print_plain(input.out, value);
    constexpr unsigned ok = 200;
    return response.status == ok ? exit_code::ok : exit_code::refused;
}

} // namespace

command placement_command()
{
    return {"placement",
            {"HOST/PATH", "FILE"},
            "Show where a job would go now, and why, without submitting it",
            "pimentograde placement pule25.example/puxa400/ job.json "
            "--instance 10.1.0.9:7061",
            {{"instance", "127.0.0.1:7061",
              "Metrics address of any entry instance, IP:PORT"},
             {"tenant", "", "Tenant that would submit the job"}},
            {},
            run_placement};
}

} // namespace pimentograde::cli
