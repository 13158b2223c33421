#ifndef PIMENTOGRADE_PEER_WORK_MESSAGES_HPP
#define PIMENTOGRADE_PEER_WORK_MESSAGES_HPP

#include "base/task_size.hpp"
#include "base/work.hpp"
#include "peer/message_fields.hpp"

namespace pimentograde::peer
{

/// `base::work_result` as a message.
struct work_reply
{
    base::work_result result;

    [[nodiscard]] Json::Value to_json() const;
    static work_reply from_json(const Json::Value& source);
};

/// Forwards work that needs a record to the owner of its shard.
struct submit_record
{
    static constexpr const char* method = "submit_record";
    using reply_type = work_reply;

    base::submission work;

    [[nodiscard]] Json::Value to_json() const;
    static submit_record from_json(const Json::Value& source);
};

/// `found` is false when there is no such record.
struct record_reply
{
    bool found = false;
    base::work_result result;

    [[nodiscard]] Json::Value to_json() const;
    static record_reply from_json(const Json::Value& source);
};

/// Asks for the record of a key or, when `job` is not empty, of a job; the key
/// is empty then. With `cancel`, the job is cancelled first.
struct read_record
{
    static constexpr const char* method = "read_record";
    using reply_type = record_reply;

    base::work_identity identity;
    base::job_id job;
    bool cancel = false;

    bool operator==(const read_record&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static read_record from_json(const Json::Value& source);
};

// Parts of messages.
Json::Value priority_value(base::priority urgency);
base::priority read_priority(const message_fields& fields, const char* field);
Json::Value size_value(const base::task_size& size);
base::task_size read_size(const Json::Value& source);
Json::Value identity_value(const base::work_identity& identity);
base::work_identity read_identity(const Json::Value& source);

} // namespace pimentograde::peer

#endif
