#ifndef PIMENTOGRADE_PLATFORM_JSON_CALL_HPP
#define PIMENTOGRADE_PLATFORM_JSON_CALL_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "net/http_client.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::platform
{

/// One call of the platform's HTTP interfaces.
struct json_request
{
    std::string method;
    /// Path and query.
    std::string target;
    /// Sent as JSON; null for no body.
    boost::json::value body;
    std::vector<net::http_field> headers;
    /// See `net::http_request::may_send`.
    std::function<bool()> may_send{};
};

struct json_response
{
    unsigned status = 0;
    /// Empty when the response has no JSON object as its body.
    boost::json::object body;
};

/// Sends the call and parses the response's body. Throws what
/// `net::http_client::send` throws; `step` names the call in errors.
json_response call_json(net::http_client& client, const net::endpoint& where,
                        const json_request& request, base::time_point deadline,
                        std::string_view step);

/// The response with its body parsed.
json_response parse_response(unsigned status, std::string_view body);

/// Throws `cut_off` unless the response's body has all the members, and none is
/// null: an answer that is cut short or not the protocol's says nothing of the
/// call's effect.
void require_members(const json_response& response,
                     std::initializer_list<std::string_view> names,
                     const net::endpoint& where, std::string_view step);

/// Whether the status says that the server has done nothing: 429 or 503.
bool is_refusal(unsigned status);

/// The error for a status that the call does not expect; `refused` for a
/// refusal.
base::error unexpected_status(unsigned status, const net::endpoint& where,
                              std::string_view step);

/// Percent-encodes a query value.
std::string encode_query(std::string_view text);

/// Readers of optional members with a default; a member of another type is an
/// `invalid` error that names the member.
std::int64_t read_integer(const boost::json::object& source,
                          std::string_view name, std::int64_t fallback = 0);
/// The same for a number from 0 to `max`; any other is an `invalid` error.
std::int64_t read_bounded(const boost::json::object& source,
                          std::string_view name, std::int64_t max,
                          std::int64_t fallback = 0);
double read_number(const boost::json::object& source, std::string_view name,
                   double fallback);
bool read_flag(const boost::json::object& source, std::string_view name);
std::string read_text(const boost::json::object& source, std::string_view name);
/// Empty when the member is missing.
const boost::json::array& read_array(const boost::json::object& source,
                                     std::string_view name);
const boost::json::object& read_object(const boost::json::object& source,
                                       std::string_view name);

} // namespace pimentograde::platform

#endif
