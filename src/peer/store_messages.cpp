#include "peer/store_messages.hpp"

#include "peer/message_fields.hpp"

namespace pimentograde::peer
{

Json::Value relayed_response::to_json() const
{
    Json::Value value(Json::objectValue);
    value["sent"] = is_sent;
    value["status"] = status;
    value["body"] = text_value(body);
    return value;
}

relayed_response relayed_response::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.flag("sent"), fields.small_number("status"),
            fields.text("body")};
}

Json::Value relay_store_call::to_json() const
{
    Json::Value value(Json::objectValue);
    value["verb"] = text_value(verb);
    value["target"] = text_value(target);
    value["body"] = text_value(body);
    value["time_left_us"] = length_value(time_left);
    return value;
}

relay_store_call relay_store_call::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("verb"), fields.text("target"), fields.text("body"),
            fields.length("time_left_us")};
}

} // namespace pimentograde::peer
