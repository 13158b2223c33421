#ifndef PIMENTOGRADE_PEER_POOL_MESSAGES_HPP
#define PIMENTOGRADE_PEER_POOL_MESSAGES_HPP

#include "base/time.hpp"

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentograde::peer
{

/// The pool that accepts a queue's new jobs, as the store records it. Jobs that
/// an earlier one has accepted stay there.
struct queue_assignment
{
    /// Host and path prefix of the queue.
    std::string queue;
    /// Empty if no assignment is recorded.
    std::string pool;
    /// Version of the configuration that made it; orders a queue's assignments.
    std::int64_t since = 0;

    bool operator==(const queue_assignment&) const = default;
    [[nodiscard]] Json::Value to_json() const;
    static queue_assignment from_json(const Json::Value& source);
};

/// Outcome of a submission at the pool's owner.
struct submit_reply
{
    /// `accepted`, `refused` (it never runs), `unknown` or `other_tenant` (the
    /// id belongs to a job of another tenant).
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
    /// The newest one that the sender knows. It has asked the queue's other
    /// pools for the job since. Empty if its version does not tell.
    std::optional<queue_assignment> assignment{};
    /// Tenant of the caller; empty if the queue asks for none, or if the
    /// sender's version does not tell.
    std::string tenant{};

    [[nodiscard]] Json::Value to_json() const;
    static submit_job from_json(const Json::Value& source);
};

struct forwarded_reply
{
    /// The instance has forwarded no submission of the job that it could
    /// remember.
    bool is_excluded = false;

    [[nodiscard]] Json::Value to_json() const;
    static forwarded_reply from_json(const Json::Value& source);
};

/// Asks an instance whether it may have forwarded a submission of the job to an
/// owner of one of its queue's pools.
struct query_forwarded
{
    static constexpr const char* method = "query_forwarded";
    using reply_type = forwarded_reply;

    std::string pool;
    std::string job;
    /// Host and path prefix; empty if the sender's version does not tell.
    std::string queue{};

    [[nodiscard]] Json::Value to_json() const;
    static query_forwarded from_json(const Json::Value& source);
};

/// State of a job at the pool's owner.
struct job_reply
{
    /// `found`, `absent`, `unavailable`, or before a submission `other_tenant`
    /// (the id belongs to a job of another tenant).
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
    /// The job is accepted elsewhere if it is not known: no submission of it
    /// may be accepted after this answer. False if missing.
    bool is_before_submission = false;
    /// See `submit_job`. A job is certainly absent only if the sender knows the
    /// newest assignment.
    std::optional<queue_assignment> assignment{};
    /// See `submit_job`.
    std::string tenant{};

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
    /// See `query_job`.
    std::optional<queue_assignment> assignment{};
    /// See `submit_job`.
    std::string tenant{};

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
    /// See `query_job`.
    std::optional<queue_assignment> assignment{};

    [[nodiscard]] Json::Value to_json() const;
    static count_pending from_json(const Json::Value& source);
};

/// Load of one worker.
struct worker_load
{
    std::string worker;
    std::int64_t runs = 0;
    std::int64_t long_running = 0;

    [[nodiscard]] Json::Value to_json() const;
    static worker_load from_json(const Json::Value& source);
};

/// Load of a pool, as its owner knows it.
struct pool_load
{
    bool is_known = false;
    /// Work that waits for room and can still meet its objective,
    /// core-milliseconds.
    std::int64_t backlog_core_ms = 0;
    /// Cores that accept work, in thousandths.
    std::int64_t usable_millis = 0;
    /// The part of them that tasks use which end by themselves.
    std::int64_t active_millis = 0;
    /// Work that is handed in, in thousandths of the cores that keep up.
    std::int64_t arriving_millis = 0;
    std::vector<worker_load> workers;

    [[nodiscard]] Json::Value to_json() const;
    static pool_load from_json(const Json::Value& source);
};

struct query_load
{
    static constexpr const char* method = "query_load";
    using reply_type = pool_load;

    std::string pool;
    /// Workers of the pool whose instances are to be maintained soon.
    std::vector<std::string> leaving_soon{};

    [[nodiscard]] Json::Value to_json() const;
    static query_load from_json(const Json::Value& source);
};

struct release_worker_reply
{
    /// Nothing runs on the worker and nothing will be started there.
    bool is_released = false;

    [[nodiscard]] Json::Value to_json() const;
    static release_worker_reply from_json(const Json::Value& source);
};

/// Asks the pool's owner to free a worker whose instance is to be maintained
/// or moved.
struct release_worker
{
    static constexpr const char* method = "release_worker";
    using reply_type = release_worker_reply;

    std::string pool;
    std::string worker;
    /// How long the worker stays without new runs.
    base::duration hold{};
    /// The order to its instance has been acknowledged: the worker has ended,
    /// with all that it ran.
    bool has_ended = false;

    [[nodiscard]] Json::Value to_json() const;
    static release_worker from_json(const Json::Value& source);
};

} // namespace pimentograde::peer

#endif
