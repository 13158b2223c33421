#include "peer/pool_messages.hpp"

#include "base/error.hpp"
#include "peer/message_fields.hpp"

namespace pimentograde::peer
{

namespace
{

constexpr const char* assignment_field = "assignment";
constexpr const char* tenant_field = "tenant";

void add_assignment(Json::Value& message,
                    const std::optional<queue_assignment>& assignment)
{
    if (assignment)
        message[assignment_field] = assignment->to_json();
}

std::optional<queue_assignment> read_assignment(const Json::Value& message)
{
    if (!message.isMember(assignment_field))
        return std::nullopt;
    return queue_assignment::from_json(
        message_fields(message).object(assignment_field));
}

void add_tenant(Json::Value& message, const std::string& tenant)
{
    if (!tenant.empty())
        message[tenant_field] = text_value(tenant);
}

std::string read_tenant(const Json::Value& message)
{
    return message.isMember(tenant_field)
               ? message_fields(message).text(tenant_field)
               : std::string{};
}

} // namespace

Json::Value queue_assignment::to_json() const
{
    Json::Value value(Json::objectValue);
    value["queue"] = text_value(queue);
    value["pool"] = text_value(pool);
    value["since"] = Json::Int64(since);
    return value;
}

queue_assignment queue_assignment::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("queue"), fields.text("pool"),
            fields.signed_number("since")};
}

Json::Value submit_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["outcome"] = text_value(outcome);
    value["retry_after_us"] = length_value(retry_after);
    value["reason"] = text_value(reason);
    return value;
}

submit_reply submit_reply::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("outcome"), fields.length("retry_after_us"),
            fields.text("reason")};
}

Json::Value submit_job::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["queue"] = text_value(queue);
    value["job"] = text_value(job);
    value["record"] = text_value(record);
    value["time_left_us"] = length_value(time_left);
    add_assignment(value, assignment);
    add_tenant(value, tenant);
    return value;
}

submit_job submit_job::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"),
            fields.text("queue"),
            fields.text("job"),
            fields.text("record"),
            fields.length("time_left_us"),
            read_assignment(source),
            read_tenant(source)};
}

Json::Value forwarded_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["excluded"] = is_excluded;
    return value;
}

forwarded_reply forwarded_reply::from_json(const Json::Value& source)
{
    return {message_fields(source).flag("excluded")};
}

Json::Value query_forwarded::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["job"] = text_value(job);
    value["queue"] = text_value(queue);
    return value;
}

query_forwarded query_forwarded::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"), fields.text("job"),
            source.isMember("queue") ? fields.text("queue") : std::string{}};
}

Json::Value job_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["outcome"] = text_value(outcome);
    value["status"] = text_value(status);
    return value;
}

job_reply job_reply::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("outcome"), fields.text("status")};
}

Json::Value query_job::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["job"] = text_value(job);
    if (is_before_submission)
        value["before_submission"] = true;
    add_assignment(value, assignment);
    add_tenant(value, tenant);
    return value;
}

query_job query_job::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"), fields.text("job"),
            source.isMember("before_submission") &&
                fields.flag("before_submission"),
            read_assignment(source), read_tenant(source)};
}

Json::Value cancel_job::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["job"] = text_value(job);
    value["time_left_us"] = length_value(time_left);
    add_assignment(value, assignment);
    add_tenant(value, tenant);
    return value;
}

cancel_job cancel_job::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"), fields.text("job"),
            fields.length("time_left_us"), read_assignment(source),
            read_tenant(source)};
}

Json::Value pending_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["known"] = is_known;
    value["count"] = Json::Int64(count);
    return value;
}

pending_reply pending_reply::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.flag("known"), fields.signed_number("count")};
}

Json::Value count_pending::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["queue"] = text_value(queue);
    add_assignment(value, assignment);
    return value;
}

count_pending count_pending::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"), fields.text("queue"), read_assignment(source)};
}

Json::Value worker_load::to_json() const
{
    Json::Value value(Json::objectValue);
    value["worker"] = text_value(worker);
    value["runs"] = Json::Int64(runs);
    value["long_running"] = Json::Int64(long_running);
    return value;
}

worker_load worker_load::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("worker"), fields.signed_number("runs"),
            fields.signed_number("long_running")};
}

Json::Value pool_load::to_json() const
{
    Json::Value value(Json::objectValue);
    value["known"] = is_known;
    value["backlog_core_ms"] = Json::Int64(backlog_core_ms);
    value["usable_millis"] = Json::Int64(usable_millis);
    value["active_millis"] = Json::Int64(active_millis);
    value["arriving_millis"] = Json::Int64(arriving_millis);
    value["workers"] = list_value(workers);
    return value;
}

pool_load pool_load::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.flag("known"),
            fields.signed_number("backlog_core_ms"),
            fields.signed_number("usable_millis"),
            fields.signed_number("active_millis"),
            fields.signed_number("arriving_millis"),
            read_list<worker_load>(fields.array("workers"))};
}

Json::Value query_load::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["leaving_soon"] = Json::Value(Json::arrayValue);
    for (const std::string& worker : leaving_soon)
        value["leaving_soon"].append(text_value(worker));
    return value;
}

query_load query_load::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    query_load message{fields.text("pool"), {}};
    for (const Json::Value& worker : fields.array("leaving_soon"))
    {
        if (!worker.isString())
            throw base::error(base::error_code::invalid, "read message", "",
                              "leaving_soon holds no worker id");
        message.leaving_soon.push_back(worker.asString());
    }
    return message;
}

Json::Value release_worker_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["released"] = is_released;
    return value;
}

release_worker_reply release_worker_reply::from_json(const Json::Value& source)
{
    return {message_fields(source).flag("released")};
}

Json::Value release_worker::to_json() const
{
    Json::Value value(Json::objectValue);
    value["pool"] = text_value(pool);
    value["worker"] = text_value(worker);
    value["hold_us"] = length_value(hold);
    value["ended"] = has_ended;
    return value;
}

release_worker release_worker::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.text("pool"), fields.text("worker"),
            fields.length("hold_us"), fields.flag("ended")};
}

} // namespace pimentograde::peer
