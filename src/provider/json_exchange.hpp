#ifndef PIMENTOGRADE_PROVIDER_JSON_EXCHANGE_HPP
#define PIMENTOGRADE_PROVIDER_JSON_EXCHANGE_HPP

#include "base/time.hpp"
#include "net/http_client.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::provider
{

/// One call to the platform: where, under which step name, until when.
struct json_call
{
    net::endpoint where;
    std::string_view target;
    std::string_view step;
    base::time_point deadline{};
};

/// A response object whose fields are read strictly. A missing field or one
/// of the wrong type throws `base::error` with code `cut_off`: the platform
/// may have acted, and no default value stands in for its response.
class response_reader
{
public:
    response_reader(boost::json::object fields, std::string step,
                    std::string peer);

    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::uint64_t number(std::string_view name) const;
    [[nodiscard]] std::uint32_t small_number(std::string_view name) const;
    /// A finite number that is not negative.
    [[nodiscard]] double real(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;
    /// Whole milliseconds.
    [[nodiscard]] base::duration millis(std::string_view name) const;
    [[nodiscard]] response_reader nested(std::string_view name) const;
    /// One reader for each element of an array of objects.
    [[nodiscard]] std::vector<response_reader>
    elements(std::string_view name) const;
    /// Requires that a field repeats a value of the request, so that a
    /// response to another request is not accepted.
    void expect_echo(std::string_view name, std::string_view expected) const;
    /// Reports the response as malformed.
    [[noreturn]] void fail(std::string_view detail) const;

private:
    [[nodiscard]] const boost::json::value& field(std::string_view name) const;

    boost::json::object fields_;
    std::string step_;
    std::string peer_;
};

/// Posts `body` and returns the JSON object of a response with status 200.
///
/// Throws `base::error`: the code of a well-formed error response, or
/// `cut_off` when the response is not one JSON object.
response_reader exchange(net::http_client& client, const json_call& call,
                         const boost::json::object& body);

} // namespace pimentograde::provider

#endif
