#include "peer/slot_messages.hpp"

#include "base/error.hpp"
#include "peer/work_messages.hpp"

namespace pimentograde::peer
{

Json::Value slot_terms::to_json() const
{
    Json::Value value(Json::objectValue);
    value["queue"] = text_value(queue.str());
    value["pool"] = text_value(pool.str());
    value["department"] = text_value(department.str());
    value["priority"] = priority_value(urgency);
    value["size"] = size_value(size);
    value["time_left_us"] = length_value(time_left);
    Json::Value list(Json::arrayValue);
    for (const base::worker_id& worker : excluded)
        list.append(text_value(worker.str()));
    value["excluded"] = std::move(list);
    value["retry"] = retry;
    value["id"] = text_value(id);
    value["expected_time_us"] = length_value(expected_time);
    value["checkpointable"] = checkpointable;
    return value;
}

slot_terms slot_terms::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    slot_terms value;
    value.queue = fields.id<base::queue_name>("queue");
    value.pool = fields.id<base::pool_name>("pool");
    value.department = fields.id<base::department_name>("department");
    value.urgency = read_priority(fields, "priority");
    value.size = read_size(fields.object("size"));
    value.time_left = fields.length("time_left_us");
    for (const Json::Value& worker : fields.array("excluded"))
    {
        if (!worker.isString())
            throw base::error(base::error_code::invalid, "message", "",
                              "field excluded holds a value of wrong type");
        value.excluded.emplace_back(worker.asString());
    }
    value.retry = fields.flag("retry");
    value.id = fields.text("id");
    value.expected_time = fields.length("expected_time_us");
    value.checkpointable = fields.flag("checkpointable");
    return value;
}

Json::Value slot_answer::to_json() const
{
    Json::Value value(Json::objectValue);
    value["granted"] = granted;
    value["grant"] = text_value(grant);
    value["worker"] = text_value(worker.str());
    value["pool"] = text_value(pool.str());
    value["refusal"] = text_value(refusal);
    return value;
}

slot_answer slot_answer::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {fields.flag("granted"), fields.text("grant"),
            fields.id<base::worker_id>("worker"),
            fields.id<base::pool_name>("pool"), fields.text("refusal")};
}

Json::Value acquire_slot::to_json() const
{
    return terms.to_json();
}

acquire_slot acquire_slot::from_json(const Json::Value& source)
{
    return {slot_terms::from_json(source)};
}

Json::Value borrow_slot::to_json() const
{
    return terms.to_json();
}

borrow_slot borrow_slot::from_json(const Json::Value& source)
{
    return {slot_terms::from_json(source)};
}

Json::Value release_reply::to_json() const
{
    Json::Value value(Json::objectValue);
    value["known"] = known;
    return value;
}

release_reply release_reply::from_json(const Json::Value& source)
{
    return {message_fields(source).flag("known")};
}

Json::Value release_slot::to_json() const
{
    Json::Value value(Json::objectValue);
    value["terms"] = terms.to_json();
    value["grant"] = text_value(grant);
    value["worker"] = text_value(worker.str());
    value["pool"] = text_value(pool.str());
    value["outcome"] = text_value(outcome);
    value["run_time_us"] = length_value(run_time);
    return value;
}

release_slot release_slot::from_json(const Json::Value& source)
{
    const message_fields fields(source);
    return {slot_terms::from_json(fields.object("terms")),
            fields.text("grant"),
            fields.id<base::worker_id>("worker"),
            fields.id<base::pool_name>("pool"),
            fields.text("outcome"),
            fields.length("run_time_us")};
}

} // namespace pimentograde::peer
