#include "peer/preview_messages.hpp"

#include "peer/message_fields.hpp"

namespace pimentograde::peer
{

Json::Value preview_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["known"] = is_known;
    value["text"] = text_value(text);
    return value;
}

preview_reply preview_reply::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.flag("known"), fields.text("text")};
}

Json::Value preview_job::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["queue"] = text_value(queue);
    value["record"] = text_value(record);
    value["tenant"] = text_value(tenant);
    return value;
}

preview_job preview_job::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"), fields.text("queue"), fields.text("record"),
            fields.text("tenant")};
}

} // namespace pimentograde::peer
