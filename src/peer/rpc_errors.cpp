#include "peer/rpc_errors.hpp"

#include "peer/json_text.hpp"

#include <array>

namespace pimentograde::peer
{

namespace
{

constexpr int method_not_found = -32601;

constexpr std::array all_codes{
    base::error_code::unavailable,  base::error_code::timeout,
    base::error_code::refused,      base::error_code::conflict,
    base::error_code::invalid,      base::error_code::not_found,
    base::error_code::unauthorized, base::error_code::too_large,
    base::error_code::cut_off,      base::error_code::internal};

std::string member_text(const Json::Value& data, const char* field)
{
    const Json::Value& value = data[field];
    return value.isString() ? value.asString() : std::string{};
}

} // namespace

Json::Value error_data(const base::error& failure)
{
    Json::Value data(Json::objectValue);
    data["code"] = std::string(base::to_string(failure.code()));
    // A detail may quote bytes that JSON cannot carry.
    data["detail"] =
        is_utf8(failure.detail()) ? failure.detail() : "not printable";
    return data;
}

std::string error_response(std::uint64_t id, const base::error& failure)
{
    Json::Value response(Json::objectValue);
    response["jsonrpc"] = "2.0";
    response["id"] = static_cast<Json::UInt64>(id);
    response["error"]["code"] = application_error;
    response["error"]["message"] = std::string(base::to_string(failure.code()));
    response["error"]["data"] = error_data(failure);
    return write_text(response);
}

base::error to_error(const rpc_reply& reply, std::string_view method,
                     std::string_view peer)
{
    const std::string step(method);
    const std::string where(peer);
    if (reply.code == method_not_found)
        return {base::error_code::not_found, step, where, "unknown method"};
    if (reply.code == application_error && reply.data.isObject())
    {
        const std::string name = member_text(reply.data, "code");
        for (const base::error_code code : all_codes)
            if (name == base::to_string(code))
                return {code, step, where, member_text(reply.data, "detail")};
    }
    return {base::error_code::cut_off, step, where, "response not understood"};
}

} // namespace pimentograde::peer
