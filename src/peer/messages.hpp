#ifndef PIMENTOGRADE_PEER_MESSAGES_HPP
#define PIMENTOGRADE_PEER_MESSAGES_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "net/endpoint.hpp"
#include "peer/message_fields.hpp"
#include "peer/slot_messages.hpp"
#include "peer/work_messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentograde::peer
{

// A message names its method and the type of the reply. `to_json` throws
// `base::error` with `invalid` for text that is not UTF-8, `from_json` for a
// missing or wrong field.

/// A member as others know it.
struct member_entry
{
    base::member_id id;
    net::endpoint address;
    base::zone_name zone;
    std::uint64_t incarnation = 0;

    bool operator==(const member_entry&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static member_entry from_json(const Json::Value& source);
};

/// A member's version of one document.
struct document_state
{
    /// 0: none yet.
    std::uint64_t version = 0;
    base::wall_time adopted_at{};

    bool operator==(const document_state&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static document_state from_json(const Json::Value& source);
};

/// A worker that takes no new work. Holds for this incarnation only.
struct worker_hint
{
    base::worker_id worker;
    std::uint64_t incarnation = 0;

    bool operator==(const worker_hint&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static worker_hint from_json(const Json::Value& source);
};

/// Idle slots of a pool whose broker is the sender.
struct pool_idle
{
    base::pool_name pool;
    std::uint32_t slots = 0;

    bool operator==(const pool_idle&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static pool_idle from_json(const Json::Value& source);
};

/// Sent every 500 ms to each member; the reply is the receiver's own.
struct heartbeat
{
    static constexpr const char* method = "heartbeat";
    using reply_type = heartbeat;

    member_entry sender;
    /// The sender accepts no new work and will end.
    bool leaving = false;
    document_state bundle;
    document_state fleet;
    std::vector<member_entry> known;
    std::vector<worker_hint> leaving_workers;
    std::vector<pool_idle> idle_slots;

    bool operator==(const heartbeat&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static heartbeat from_json(const Json::Value& source);
};

/// A document with its version; version 0 and no text: nothing newer.
struct document_content
{
    std::string document;
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const document_content&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static document_content from_json(const Json::Value& source);
};

struct fetch_document
{
    static constexpr const char* method = "fetch_document";
    using reply_type = document_content;

    /// `bundle` or `fleet`.
    std::string document;
    /// Only a higher version is of interest.
    std::uint64_t above_version = 0;

    bool operator==(const fetch_document&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static fetch_document from_json(const Json::Value& source);
};

/// Reply to messages that need no other.
struct acknowledgement
{
    bool operator==(const acknowledgement&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static acknowledgement from_json(const Json::Value& source);
};

/// The receiver's version after a push.
struct version_reply
{
    std::uint64_t version = 0;

    bool operator==(const version_reply&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static version_reply from_json(const Json::Value& source);
};

struct push_document
{
    static constexpr const char* method = "push_document";
    using reply_type = version_reply;

    document_content content;

    bool operator==(const push_document&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static push_document from_json(const Json::Value& source);
};

/// The sender stops: it gives up its shards and pools at once.
struct leaving
{
    static constexpr const char* method = "leaving";
    using reply_type = acknowledgement;

    member_entry sender;

    bool operator==(const leaving&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static leaving from_json(const Json::Value& source);
};

} // namespace pimentograde::peer

#endif
