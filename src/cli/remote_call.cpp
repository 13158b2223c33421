#include "cli/remote_call.hpp"

#include "base/error.hpp"
#include "net/http_status.hpp"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <utility>

namespace pimentograde::cli
{

namespace json = boost::json;

namespace
{

constexpr std::string_view step = "call entry instance";

json::value parse_body(const net::http_response& response,
                       const net::endpoint& where)
{
    json::error_code failure;
    json::value body = json::parse(response.body, failure);
    if (failure)
        throw base::error(base::error_code::invalid, std::string(step),
                          net::to_string(where), "response is not JSON");
    return body;
}

base::error_code code_of(unsigned status)
{
    return net::error_code_of(status).value_or(base::error_code::internal);
}

} // namespace

std::string fill_path(std::string_view path,
                      std::span<const std::string> arguments)
{
    std::string filled{path};
    for (const std::string& argument : arguments)
    {
        const auto gap = filled.find("{}");
        if (gap == std::string::npos)
            break;
        filled.replace(
            gap, 2,
            boost::urls::encode(argument, boost::urls::unreserved_chars));
    }
    return filled;
}

remote_call::remote_call(const setting_values& settings,
                         std::string_view endpoint_flag)
    : client_(net::http_client::builder{}.build()),
      where_(*net::parse_endpoint(settings.find(endpoint_flag)->second)),
      deadline_(base::steady_now() + std::chrono::milliseconds(std::stoi(
                                         settings.find("timeout-ms")->second)))
{
    const std::string& token = settings.find("token")->second;
    if (!token.empty())
        authorization_ = "Bearer " + token;
}

net::http_response remote_call::exchange(std::string_view method,
                                         const std::string& path,
                                         std::string body)
{
    const net::http_request request{
        std::string(method), path, std::move(body), authorization_, {}};
    return client_->send(where_, request, deadline_, step);
}

json::value remote_call::send(std::string_view method, const std::string& path,
                              std::string body)
{
    const auto response = exchange(method, path, std::move(body));
    json::value parsed = parse_body(response, where_);
    constexpr unsigned success_class = 2;
    if (response.status / 100 == success_class)
        return parsed;
    std::string detail = "status " + std::to_string(response.status);
    if (parsed.is_object())
        if (const json::value* text = parsed.get_object().if_contains("detail"))
            detail = json::value_to<std::string>(*text);
    throw base::error(code_of(response.status), std::string(step),
                      net::to_string(where_), detail);
}

json::value remote_call::send_for_result(std::string_view method,
                                         const std::string& path,
                                         std::string body)
{
    const auto response = exchange(method, path, std::move(body));
    json::value parsed = parse_body(response, where_);
    if (parsed.is_object() && parsed.get_object().contains("status"))
        return parsed;
    throw base::error(code_of(response.status), std::string(step),
                      net::to_string(where_), response.body);
}

bool remote_call::is_expired() const
{
    return base::steady_now() >= deadline_;
}

} // namespace pimentograde::cli
