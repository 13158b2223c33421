#include "peer/work_messages.hpp"

#include <array>

namespace pimentograde::peer
{

namespace
{

// In the order of the enumerators.
constexpr std::array<const char*, 2> priority_words{"urgent", "batch"};
constexpr std::array<const char*, 2> kind_words{"request", "job"};
constexpr std::array<const char*, 5> status_words{"done", "accepted", "not_run",
                                                  "unknown", "failed"};

Json::Value result_value(const base::work_result& result)
{
    Json::Value value(Json::objectValue);
    value["status"] = status_words.at(static_cast<std::size_t>(result.status));
    value["answer"] = text_value(result.answer);
    value["job"] = text_value(result.job.str());
    value["reason"] = text_value(result.reason);
    return value;
}

base::work_result read_result(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.word<base::work_status>("status", status_words),
            fields.text("answer"), fields.id<base::job_id>("job"),
            fields.text("reason")};
}

} // namespace

Json::Value priority_value(base::priority urgency)
{
    return {priority_words.at(static_cast<std::size_t>(urgency))};
}

base::priority read_priority(const message_fields& fields, const char* field)
{
    return fields.word<base::priority>(field, priority_words);
}

Json::Value size_value(const base::task_size& size)
{
    Json::Value value(Json::objectValue);
    value["cores"] = size.cores;
    value["memory_mb"] = static_cast<Json::UInt64>(size.memory_mb);
    value["accelerators"] = size.accelerators;
    return value;
}

base::task_size read_size(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.real("cores"), fields.number("memory_mb"),
            fields.small_number("accelerators")};
}

Json::Value identity_value(const base::work_identity& identity)
{
    Json::Value value(Json::objectValue);
    value["department"] = text_value(identity.department.str());
    value["caller"] = text_value(identity.caller.str());
    value["key"] = text_value(identity.key);
    return value;
}

base::work_identity read_identity(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.id<base::department_name>("department"),
            fields.id<base::caller_name>("caller"), fields.text("key")};
}

Json::Value work_reply::to_json() const
{
    return result_value(result);
}

work_reply work_reply::from_json(const Json::Value& source)
{
    return {read_result(source)};
}

Json::Value submit_record::to_json() const
{
    Json::Value value(Json::objectValue);
    value["identity"] = identity_value(work.identity);
    value["kind"] = kind_words.at(static_cast<std::size_t>(work.kind));
    value["queue"] = text_value(work.queue.str());
    value["priority"] = priority_value(work.urgency);
    value["size"] = size_value(work.size);
    value["idempotent"] = work.idempotent;
    value["first"] = work.first;
    value["issued_at_ms"] =
        static_cast<Json::Int64>(base::to_millis(work.issued_at));
    value["time_limit_us"] = length_value(work.time_limit);
    value["payload"] = text_value(work.payload);
    return value;
}

submit_record submit_record::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    submit_record value;
    value.work.identity = read_identity(fields.object("identity"));
    value.work.kind = fields.word<base::work_kind>("kind", kind_words);
    value.work.queue = fields.id<base::queue_name>("queue");
    value.work.urgency = read_priority(fields, "priority");
    value.work.size = read_size(fields.object("size"));
    value.work.idempotent = fields.flag("idempotent");
    value.work.first = fields.flag("first");
    value.work.issued_at =
        base::from_millis(fields.signed_number("issued_at_ms"));
    value.work.time_limit = fields.length("time_limit_us");
    value.work.payload = fields.text("payload");
    return value;
}

Json::Value record_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["found"] = found;
    value["result"] = result_value(result);
    return value;
}

record_reply record_reply::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.flag("found"), read_result(fields.object("result"))};
}

Json::Value read_record::to_json() const
{
    Json::Value value = identity_value(identity);
    value["job"] = text_value(job.str());
    value["cancel"] = cancel;
    return value;
}

read_record read_record::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {read_identity(source), fields.id<base::job_id>("job"),
            fields.flag("cancel")};
}

} // namespace pimentograde::peer
