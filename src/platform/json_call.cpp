#include "platform/json_call.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace pimentograde::platform
{

namespace json = boost::json;

namespace
{

[[noreturn]] void reject(std::string_view name, std::string_view expected)
{
    throw base::error(base::error_code::invalid, "read member", "",
                      std::string(name) + " is not " + std::string(expected));
}

} // namespace

json_response call_json(net::http_client& client, const net::endpoint& where,
                        const json_request& request, base::time_point deadline,
                        std::string_view step)
{
    net::http_request message;
    message.method = request.method;
    message.target = request.target;
    if (!request.body.is_null())
        message.body = json::serialize(request.body);
    message.headers = request.headers;
    message.may_send = request.may_send;
    const net::http_response reply =
        client.send(where, message, deadline, step);
    return parse_response(reply.status, reply.body);
}

json_response parse_response(unsigned status, std::string_view body)
{
    json_response response;
    response.status = status;
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (!failure && parsed.is_object())
        response.body = std::move(parsed.as_object());
    return response;
}

void require_members(const json_response& response,
                     std::initializer_list<std::string_view> names,
                     const net::endpoint& where, std::string_view step)
{
    for (const std::string_view name : names)
        if (const json::value* found = response.body.if_contains(name);
            found == nullptr || found->is_null())
            throw base::error(base::error_code::cut_off, std::string(step),
                              net::to_string(where),
                              "the answer lacks " + std::string(name));
}

bool is_refusal(unsigned status)
{
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned service_unavailable = 503;
    return status == too_many_requests || status == service_unavailable;
}

base::error unexpected_status(unsigned status, const net::endpoint& where,
                              std::string_view step)
{
    return {is_refusal(status) ? base::error_code::refused
                               : base::error_code::cut_off,
            std::string(step), net::to_string(where),
            "unexpected status " + std::to_string(status)};
}

std::string encode_query(std::string_view text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::int64_t read_integer(const json::object& source, std::string_view name,
                          std::int64_t fallback)
{
    const json::value* found = source.if_contains(name);
    if (found == nullptr || found->is_null())
        return fallback;
    boost::system::error_code failure;
    const auto value = found->to_number<std::int64_t>(failure);
    if (failure)
        reject(name, "a whole number");
    return value;
}

std::int64_t read_bounded(const json::object& source, std::string_view name,
                          std::int64_t max, std::int64_t fallback)
{
    const std::int64_t value = read_integer(source, name, fallback);
    if (value < 0 || value > max)
        reject(name, "in its range");
    return value;
}

double read_number(const json::object& source, std::string_view name,
                   double fallback)
{
    const json::value* found = source.if_contains(name);
    if (found == nullptr || found->is_null())
        return fallback;
    boost::system::error_code failure;
    const auto value = found->to_number<double>(failure);
    if (failure)
        reject(name, "a number");
    return value;
}

bool read_flag(const json::object& source, std::string_view name)
{
    const json::value* found = source.if_contains(name);
    if (found == nullptr || found->is_null())
        return false;
    if (!found->is_bool())
        reject(name, "true or false");
    return found->get_bool();
}

std::string read_text(const json::object& source, std::string_view name)
{
    const json::value* found = source.if_contains(name);
    if (found == nullptr || found->is_null())
        return {};
    if (!found->is_string())
        reject(name, "a string");
    return std::string(found->get_string());
}

const json::array& read_array(const json::object& source, std::string_view name)
{
    static const json::array empty;
    const json::value* found = source.if_contains(name);
    if (found == nullptr || found->is_null())
        return empty;
    if (!found->is_array())
        reject(name, "a list");
    return found->get_array();
}

const json::object& read_object(const json::object& source,
                                std::string_view name)
{
    static const json::object empty;
    const json::value* found = source.if_contains(name);
    if (found == nullptr || found->is_null())
        return empty;
    if (!found->is_object())
        reject(name, "an object");
    return found->get_object();
}

} // namespace pimentograde::platform
