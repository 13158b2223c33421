#include "peer/message_fields.hpp"

#include "base/error.hpp"
#include "peer/json_text.hpp"

#include <cmath>
#include <limits>

namespace pimentograde::peer
{

namespace
{

constexpr std::chrono::hours max_length{24 * 366};

} // namespace

message_fields::message_fields(const Json::Value& source) : source_(&source)
{
    if (!source.isObject())
        throw base::error(base::error_code::invalid, "message", "",
                          "must be an object");
}

void message_fields::fail(const char* field, std::string_view text)
{
    throw base::error(base::error_code::invalid, "message", "",
                      std::string("field ") + field + " is " +
                          std::string(text));
}

const Json::Value& message_fields::require(const char* field) const
{
    const Json::Value* found =
        source_->find(field, field + std::char_traits<char>::length(field));
    if (found == nullptr)
        fail(field, "missing");
    return *found;
}

std::string message_fields::text(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isString())
        fail(field, "not a string");
    return value.asString();
}

std::uint64_t message_fields::number(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isUInt64())
        fail(field, "not an unsigned integer");
    return value.asUInt64();
}

std::uint32_t message_fields::small_number(const char* field) const
{
    const std::uint64_t value = number(field);
    if (value > std::numeric_limits<std::uint32_t>::max())
        fail(field, "out of range");
    return static_cast<std::uint32_t>(value);
}

std::int64_t message_fields::signed_number(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isInt64())
        fail(field, "not an integer");
    return value.asInt64();
}

double message_fields::real(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isNumeric() || !std::isfinite(value.asDouble()))
        fail(field, "not a number");
    return value.asDouble();
}

bool message_fields::flag(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isBool())
        fail(field, "not true or false");
    return value.asBool();
}

base::duration message_fields::length(const char* field) const
{
    const std::uint64_t micros = number(field);
    if (micros > static_cast<std::uint64_t>(
                     std::chrono::microseconds(max_length).count()))
        fail(field, "out of range");
    return std::chrono::microseconds{micros};
}

net::endpoint message_fields::endpoint(const char* field) const
{
    const auto value = net::parse_endpoint(text(field));
    if (!value)
        fail(field, "not an address and port");
    return *value;
}

const Json::Value& message_fields::object(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isObject())
        fail(field, "not an object");
    return value;
}

const Json::Value& message_fields::array(const char* field) const
{
    const Json::Value& value = require(field);
    if (!value.isArray())
        fail(field, "not an array");
    return value;
}

Json::Value text_value(const std::string& text)
{
    if (!is_utf8(text))
        throw base::error(base::error_code::invalid, "message", "",
                          "text is not UTF-8");
    return {text};
}

Json::Value length_value(base::duration length)
{
    const auto micros =
        std::chrono::duration_cast<std::chrono::microseconds>(length).count();
    return {static_cast<Json::UInt64>(micros < 0 ? 0 : micros)};
}

} // namespace pimentograde::peer
