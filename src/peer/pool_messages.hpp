#ifndef PIMENTOGRADE_PEER_POOL_MESSAGES_HPP
#define PIMENTOGRADE_PEER_POOL_MESSAGES_HPP

#include "base/time.hpp"

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <string>

namespace pimentograde::peer
{

/// Outcome of a submission at the pool's owner.
struct submit_reply
{
    /// `accepted`, `refused` (it never runs) or `unknown`.
    std::string outcome;
    base::duration retry_after{};
    std::string reason;

    [[nodiscard]] Json::Value to_json() const;
    static submit_reply from_json(const Json::Value& source);
};

/// Hands a job in at the owner of its pool.
struct submit_job
{
    static constexpr const char* method = "submit_job";
    using reply_type = submit_reply;

    std::string pool;
    std::string queue;
    std::string job;
    /// The job in the form of its record.
    std::string record;
    /// Until the caller gives up.
    base::duration time_left{};

    [[nodiscard]] Json::Value to_json() const;
    static submit_job from_json(const Json::Value& source);
};

/// State of a job at the pool's owner.
struct job_reply
{
    /// `found`, `absent` or `unavailable`.
    std::string outcome;
    /// Meaningful when found.
    std::string status;

    [[nodiscard]] Json::Value to_json() const;
    static job_reply from_json(const Json::Value& source);
};

struct query_job
{
    static constexpr const char* method = "query_job";
    using reply_type = job_reply;

    std::string pool;
    std::string job;

    [[nodiscard]] Json::Value to_json() const;
    static query_job from_json(const Json::Value& source);
};

struct cancel_job
{
    static constexpr const char* method = "cancel_job";
    using reply_type = job_reply;

    std::string pool;
    std::string job;
    base::duration time_left{};

    [[nodiscard]] Json::Value to_json() const;
    static cancel_job from_json(const Json::Value& source);
};

struct pending_reply
{
    /// The owner has loaded the pool; otherwise `count` says nothing.
    bool is_known = false;
    std::int64_t count = 0;

    [[nodiscard]] Json::Value to_json() const;
    static pending_reply from_json(const Json::Value& source);
};

/// Asks for the number of a queue's jobs that have not started.
struct count_pending
{
    static constexpr const char* method = "count_pending";
    using reply_type = pending_reply;

    std::string pool;
    std::string queue;

    [[nodiscard]] Json::Value to_json() const;
    static count_pending from_json(const Json::Value& source);
};

} // namespace pimentograde::peer

#endif
