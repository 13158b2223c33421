#include "provider/json_exchange.hpp"

#include "base/error.hpp"
#include "net/http_status.hpp"
#include "provider/events.hpp"

#include <boost/json.hpp>

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace pimentograde::provider
{

namespace json = boost::json;

namespace
{

// About 290 years would overflow a duration in nanoseconds.
constexpr std::uint64_t max_millis = std::uint64_t{1} << 40U;

[[noreturn]] void fail_malformed(const std::string& step,
                                 const std::string& peer,
                                 std::string_view detail)
{
    log::write(event_malformed_response,
               {{"step", step}, {"peer", peer}, {"reason", detail}});
    throw base::error(base::error_code::cut_off, step, peer,
                      "malformed response: " + std::string(detail));
}

} // namespace

response_reader::response_reader(json::object fields, std::string step,
                                 std::string peer)
    : fields_(std::move(fields)), step_(std::move(step)), peer_(std::move(peer))
{
}

void response_reader::fail(std::string_view detail) const
{
    fail_malformed(step_, peer_, detail);
}

const json::value& response_reader::field(std::string_view name) const
{
    const json::value* found = fields_.if_contains(name);
    if (found == nullptr)
        fail("field " + std::string(name) + " is missing");
    return *found;
}

std::string response_reader::text(std::string_view name) const
{
    const json::string* found = field(name).if_string();
    if (found == nullptr)
        fail("field " + std::string(name) + " is not a string");
    return {found->data(), found->size()};
}

std::uint64_t response_reader::number(std::string_view name) const
{
    const json::value& found = field(name);
    if (const std::uint64_t* large = found.if_uint64())
        return *large;
    const std::int64_t* value = found.if_int64();
    if (value == nullptr || *value < 0)
        fail("field " + std::string(name) + " is not a whole number");
    return static_cast<std::uint64_t>(*value);
}

std::uint32_t response_reader::small_number(std::string_view name) const
{
    const std::uint64_t value = number(name);
    if (value > std::numeric_limits<std::uint32_t>::max())
        fail("field " + std::string(name) + " is too large");
    return static_cast<std::uint32_t>(value);
}

double response_reader::real(std::string_view name) const
{
    const json::value& found = field(name);
    if (!found.is_number())
        fail("field " + std::string(name) + " is not a number");
    const auto value = found.to_number<double>();
    if (!std::isfinite(value) || value < 0)
        fail("field " + std::string(name) + " is out of range");
    return value;
}

bool response_reader::flag(std::string_view name) const
{
    const bool* found = field(name).if_bool();
    if (found == nullptr)
        fail("field " + std::string(name) + " is not a boolean");
    return *found;
}

base::duration response_reader::millis(std::string_view name) const
{
    const std::uint64_t value = number(name);
    if (value > max_millis)
        fail("field " + std::string(name) + " is too large");
    return std::chrono::milliseconds{static_cast<std::int64_t>(value)};
}

response_reader response_reader::nested(std::string_view name) const
{
    const json::object* found = field(name).if_object();
    if (found == nullptr)
        fail("field " + std::string(name) + " is not an object");
    return {*found, step_, peer_};
}

std::vector<response_reader>
response_reader::elements(std::string_view name) const
{
    const json::array* found = field(name).if_array();
    if (found == nullptr)
        fail("field " + std::string(name) + " is not an array");
    std::vector<response_reader> readers;
    readers.reserve(found->size());
    for (const json::value& element : *found)
    {
        const json::object* object = element.if_object();
        if (object == nullptr)
            fail("an element of " + std::string(name) + " is not an object");
        readers.emplace_back(*object, step_, peer_);
    }
    return readers;
}

void response_reader::expect_echo(std::string_view name,
                                  std::string_view expected) const
{
    if (text(name) != expected)
        fail("field " + std::string(name) + " belongs to another request");
}

response_reader exchange(net::http_client& client, const json_call& call,
                         const json::object& body)
{
    const net::http_request request{
        "POST", std::string(call.target), json::serialize(body), {}, {}};
    const net::http_response response =
        client.send(call.where, request, call.deadline, call.step);
    std::string step(call.step);
    std::string peer = net::to_string(call.where);
    boost::system::error_code failure;
    json::value parsed = json::parse(response.body, failure);
    if (failure)
        fail_malformed(step, peer, failure.message());
    json::object* object = parsed.if_object();
    if (object == nullptr)
        fail_malformed(step, peer, "not an object");
    response_reader reader(std::move(*object), step, peer);
    constexpr unsigned status_ok = 200;
    if (response.status == status_ok)
        return reader;
    // An error response counts as a refusal only when it is well-formed:
    // "nothing was done" must not be concluded from garbage.
    const std::string detail =
        reader.text("error") + ": " + reader.text("detail");
    const auto code = net::error_code_of(response.status);
    if (!code)
        throw base::error(base::error_code::cut_off, step, peer,
                          "status " + std::to_string(response.status) + ": " +
                              detail);
    throw base::error(*code, step, peer, detail);
}

} // namespace pimentograde::provider
