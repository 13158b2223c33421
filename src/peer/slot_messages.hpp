#ifndef PIMENTOGRADE_PEER_SLOT_MESSAGES_HPP
#define PIMENTOGRADE_PEER_SLOT_MESSAGES_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"
#include "peer/message_fields.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentograde::peer
{

/// The task for which a slot is wanted.
struct slot_terms
{
    base::queue_name queue;
    base::pool_name pool;
    base::department_name department;
    base::priority urgency = base::priority::batch;
    base::task_size size;
    /// Until the asking member gives up; steady clocks of two processes cannot
    /// be compared.
    base::duration time_left{};
    std::vector<base::worker_id> excluded;
    bool retry = false;
    /// Unique for this acquisition; becomes the id of the grant.
    std::string id;
    /// Estimated run time; bounds how long a lender misses the slot.
    base::duration expected_time{};
    /// The task can be checkpointed, so that a lent slot returns early.
    bool checkpointable = false;

    bool operator==(const slot_terms&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static slot_terms from_json(const Json::Value& source);
};

/// A grant, or the reason for a refusal.
struct slot_answer
{
    bool granted = false;
    /// The rest is meaningful when granted, `refusal` otherwise.
    std::string grant;
    base::worker_id worker;
    base::pool_name pool;
    /// One of the words of `policy::to_string(slot_refusal)`.
    std::string refusal;

    bool operator==(const slot_answer&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static slot_answer from_json(const Json::Value& source);
};

/// Sent to the broker of the task's pool; waits for a grant.
struct acquire_slot
{
    static constexpr const char* method = "acquire_slot";
    using reply_type = slot_answer;

    slot_terms terms;

    bool operator==(const acquire_slot&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static acquire_slot from_json(const Json::Value& source);
};

/// Sent by one broker to another for one task.
struct borrow_slot
{
    static constexpr const char* method = "borrow_slot";
    using reply_type = slot_answer;

    /// `terms.pool` is the pool that lends.
    slot_terms terms;

    bool operator==(const borrow_slot&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static borrow_slot from_json(const Json::Value& source);
};

struct release_reply
{
    /// Whether the broker knew the grant.
    bool known = false;

    bool operator==(const release_reply&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static release_reply from_json(const Json::Value& source);
};

/// Returns a slot with the outcome of its task.
struct release_slot
{
    static constexpr const char* method = "release_slot";
    using reply_type = release_reply;

    slot_terms terms;
    std::string grant;
    base::worker_id worker;
    base::pool_name pool;
    /// Name of a `policy::slot_outcome`.
    std::string outcome;
    base::duration run_time{};

    bool operator==(const release_slot&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static release_slot from_json(const Json::Value& source);
};

} // namespace pimentograde::peer

#endif
