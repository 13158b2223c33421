#ifndef PIMENTOGRADE_RECORDS_RECORD_HPP
#define PIMENTOGRADE_RECORDS_RECORD_HPP

#include "base/work.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::records
{

enum class record_state
{
    /// No attempt in progress; certainly not run.
    accepted,
    /// An attempt with worker and lease is recorded; may have run.
    started,
    done,
    not_run,
    /// Ran and reported a failure, or was stopped after it started.
    failed
};

std::string_view to_string(record_state state);

/// Whether the state is final.
inline bool is_ended(record_state state)
{
    return state != record_state::accepted && state != record_state::started;
}

/// What the store keeps about one request or job.
struct record
{
    base::work_identity identity;
    /// Jobs only.
    base::job_id job;
    base::work_kind kind = base::work_kind::request;
    base::wall_time issued_at{};
    base::queue_name queue;
    base::priority urgency = base::priority::batch;
    base::task_size size;
    bool idempotent = false;
    /// Jobs only, at most `max_payload_bytes`.
    std::string payload;

    record_state state = record_state::accepted;
    /// Number of the last recorded attempt; 0 before the first.
    std::uint32_t attempt = 0;
    base::worker_id worker;
    std::uint64_t incarnation = 0;
    base::lease_id lease;
    /// Workers on which an attempt ran and failed.
    std::vector<base::worker_id> failed_on;
    /// Attempts that ran and failed.
    std::uint32_t failures = 0;
    bool cancel_requested = false;

    /// At most `max_inline_answer_bytes` in encoded form; a longer one stays
    /// with the worker's lease.
    std::string answer;
    /// SHA-256 of an answer that is too long for the record.
    std::string answer_sha256;
    /// Stable word from `dispatch/reasons.hpp`, or the worker's text.
    std::string reason;
    base::wall_time created_at{};
    base::wall_time changed_at{};

    bool operator==(const record&) const = default;
};

inline constexpr std::size_t max_payload_bytes = std::size_t{4} * 1024;
inline constexpr std::size_t max_inline_answer_bytes = std::size_t{2} * 1024;
inline constexpr std::size_t max_reason_bytes = 200;

} // namespace pimentograde::records

#endif
