#include "standin/request_reader.hpp"

#include "base/error.hpp"

#include <boost/json.hpp>

#include <cmath>
#include <utility>

namespace pimentograde::standin
{

namespace json = boost::json;

namespace
{

[[noreturn]] void fail(std::string_view detail)
{
    throw base::error(base::error_code::invalid, "read request", "", detail);
}

} // namespace

request_reader::request_reader(std::string_view body)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        fail("the body is not a JSON object");
    fields_ = std::move(parsed.get_object());
}

request_reader::request_reader(json::object fields) : fields_(std::move(fields))
{
}

bool request_reader::has(std::string_view name) const
{
    return fields_.contains(name);
}

const json::value& request_reader::field(std::string_view name) const
{
    const json::value* found = fields_.if_contains(name);
    if (found == nullptr)
        fail("field " + std::string(name) + " is missing");
    return *found;
}

std::string request_reader::text(std::string_view name) const
{
    const json::string* found = field(name).if_string();
    if (found == nullptr)
        fail("field " + std::string(name) + " is not a string");
    return {found->data(), found->size()};
}

std::uint64_t request_reader::number(std::string_view name) const
{
    boost::system::error_code failure;
    const json::value& found = field(name);
    if (!found.is_int64() && !found.is_uint64())
        fail("field " + std::string(name) + " is not a whole number");
    const auto value = found.to_number<std::uint64_t>(failure);
    if (failure)
        fail("field " + std::string(name) + " is negative");
    return value;
}

double request_reader::real(std::string_view name) const
{
    const json::value& found = field(name);
    if (!found.is_number())
        fail("field " + std::string(name) + " is not a number");
    const auto value = found.to_number<double>();
    if (!std::isfinite(value) || value < 0)
        fail("field " + std::string(name) + " is out of range");
    return value;
}

base::duration request_reader::millis(std::string_view name) const
{
    constexpr double most = 1e12;
    const double value = real(name);
    if (value > most)
        fail("field " + std::string(name) + " is too large");
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(value));
}

request_reader request_reader::nested(std::string_view name) const
{
    const json::object* found = field(name).if_object();
    if (found == nullptr)
        fail("field " + std::string(name) + " is not an object");
    return request_reader(*found);
}

} // namespace pimentograde::standin
