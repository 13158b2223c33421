#include "peer/messages.hpp"

namespace pimentograde::peer
{

namespace
{

Json::Value integer(std::uint64_t value)
{
    return {static_cast<Json::UInt64>(value)};
}

} // namespace

Json::Value member_entry::to_json() const
{
    Json::Value value(Json::objectValue);
    value["id"] = text_value(id.str());
    value["address"] = net::to_string(address);
    value["zone"] = text_value(zone.str());
    value["incarnation"] = integer(incarnation);
    return value;
}

member_entry member_entry::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.id<base::member_id>("id"), fields.endpoint("address"),
            fields.id<base::zone_name>("zone"), fields.number("incarnation")};
}

Json::Value document_state::to_json() const
{
    Json::Value value(Json::objectValue);
    value["version"] = integer(version);
    value["adopted_at_ms"] =
        static_cast<Json::Int64>(base::to_millis(adopted_at));
    return value;
}

document_state document_state::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.number("version"),
            base::from_millis(fields.signed_number("adopted_at_ms"))};
}

Json::Value worker_hint::to_json() const
{
    Json::Value value(Json::objectValue);
    value["worker"] = text_value(worker.str());
    value["incarnation"] = integer(incarnation);
    return value;
}

worker_hint worker_hint::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.id<base::worker_id>("worker"), fields.number("incarnation")};
}

Json::Value pool_idle::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool.str());
    value["slots"] = slots;
    return value;
}

pool_idle pool_idle::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.id<base::pool_name>("pool"), fields.small_number("slots")};
}

Json::Value heartbeat::to_json() const
{
    Json::Value value(Json::objectValue);
    value["sender"] = sender.to_json();
    value["leaving"] = leaving;
    value["bundle"] = bundle.to_json();
    value["fleet"] = fleet.to_json();
    value["known"] = list_value(known);
    value["leaving_workers"] = list_value(leaving_workers);
    value["idle_slots"] = list_value(idle_slots);
    return value;
}

heartbeat heartbeat::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    heartbeat value;
    value.sender = member_entry::from_json(fields.object("sender"));
    value.leaving = fields.flag("leaving");
    value.bundle = document_state::from_json(fields.object("bundle"));
    value.fleet = document_state::from_json(fields.object("fleet"));
    value.known = read_list<member_entry>(fields.array("known"));
    value.leaving_workers =
        read_list<worker_hint>(fields.array("leaving_workers"));
    value.idle_slots = read_list<pool_idle>(fields.array("idle_slots"));
    return value;
}

Json::Value document_content::to_json() const
{
    Json::Value value(Json::objectValue);
    value["document"] = text_value(document);
    value["version"] = integer(version);
    value["text"] = text_value(text);
    return value;
}

document_content document_content::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("document"), fields.number("version"),
            fields.text("text")};
}

Json::Value fetch_document::to_json() const
{
    Json::Value value(Json::objectValue);
    value["document"] = text_value(document);
    value["above_version"] = integer(above_version);
    return value;
}

fetch_document fetch_document::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("document"), fields.number("above_version")};
}

Json::Value acknowledgement::to_json() const
{
    return Json::Value(Json::objectValue);
}

acknowledgement acknowledgement::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {};
}

Json::Value version_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["version"] = integer(version);
    return value;
}

version_reply version_reply::from_json(const Json::Value& source)
{
    return {message_fields(source).number("version")};
}

Json::Value push_document::to_json() const
{
    return content.to_json();
}

push_document push_document::from_json(const Json::Value& source)
{
    return {document_content::from_json(source)};
}

Json::Value leaving::to_json() const
{
    Json::Value value(Json::objectValue);
    value["sender"] = sender.to_json();
    return value;
}

leaving leaving::from_json(const Json::Value& source)
{
    return {member_entry::from_json(message_fields(source).object("sender"))};
}

} // namespace pimentograde::peer
