#ifndef PIMENTOGRADE_RECORDS_RECORD_SHARD_HPP
#define PIMENTOGRADE_RECORDS_RECORD_SHARD_HPP

#include "base/random_source.hpp"
#include "provider/kv_operations.hpp"
#include "records/record.hpp"
#include "records/write_budget.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentograde::records
{

/// Computes the next record from the current one, or from none. Returns
/// whether to write; `false` leaves the record as it is. May be called several
/// times for one commit and has to recognise its own earlier effect, for
/// example by the lease id.
using record_change = std::function<bool(std::optional<record>& current)>;

enum class commit_outcome
{
    /// Written by this commit.
    applied,
    /// The change refused, or its effect was there already.
    refused,
    /// The store could not be written before the deadline; nothing of this
    /// commit was or will be written.
    unavailable,
    /// A write with the change was sent, and its effect is not known.
    unknown,
    /// No room for a new record or for the outcome of an attempt.
    full,
    /// A new record's key is older than the horizon.
    expired
};

struct commit_result
{
    commit_outcome outcome = commit_outcome::unavailable;
    /// The record afterwards, for `applied` and `refused`.
    std::optional<record> current;
};

/// Clocks of the process. Tests replace them.
struct clocks
{
    std::function<base::time_point()> steady = base::steady_now;
    std::function<base::wall_time()> wall = base::wall_now;
};

/// Waits of a shard. Correctness does not depend on them.
struct shard_timing
{
    /// Bound of one store call.
    base::duration call_timeout = std::chrono::milliseconds{500};
    /// After failures a shard waits between 0 and a doubling bound. The full
    /// jitter keeps shards and members from writing at the same moment when
    /// the store is back.
    base::duration first_backoff = std::chrono::milliseconds{50};
    base::duration longest_backoff = std::chrono::seconds{2};
    /// New work is refused after 500 ms, so that it needs an attempt within
    /// that time; outcomes, which have no deadline, can wait longer.
    base::duration longest_backoff_for_new_work =
        std::chrono::milliseconds{400};
    base::duration conflict_backoff = std::chrono::milliseconds{10};
};

/// What the shards of one table share.
struct shard_environment
{
    shard_timing timing;
    provider::kv_operations store;
    clocks time;
    std::shared_ptr<write_budget> budget;
    std::shared_ptr<base::random_source> random;
};

/// One store value with many records. Commits that arrive while a write is in
/// flight are written together by the next compare-and-swap. All fibers of
/// one thread may use a shard at once.
class record_shard
{
public:
    record_shard(std::string key, shard_environment environment);
    /// Ends the writing fiber; commits in progress get `unavailable` or
    /// `unknown`.
    ~record_shard();
    record_shard(const record_shard&) = delete;
    record_shard& operator=(const record_shard&) = delete;

    /// Suspends the fiber until the change was written, has refused, or the
    /// deadline passed (a store call in progress is awaited).
    commit_result commit(const base::work_identity& identity,
                         record_change change, base::time_point deadline);

    /// Reads the store value into the cache. Throws `base::error`.
    void refresh(base::time_point deadline);
    /// Whether the last store call of this shard succeeded.
    [[nodiscard]] bool is_reachable() const;
    /// When the cache was last known to be the store's value.
    [[nodiscard]] std::optional<base::time_point> confirmed_at() const;

    /// From the cache, which holds only written records.
    [[nodiscard]] std::optional<record>
    find(const base::work_identity& identity) const;
    [[nodiscard]] std::optional<record> find_job(const base::job_id& job) const;
    [[nodiscard]] std::vector<record> unended() const;
    [[nodiscard]] base::wall_time horizon() const;
    [[nodiscard]] std::size_t size() const;

    /// Waits until no commit is pending. Returns whether that was before the
    /// deadline.
    bool drain(base::time_point deadline);
    /// Makes pending and later commits end as `unavailable` or `unknown`.
    void abandon();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// A shard value stays below this size; the store's limit is 1 MB.
inline constexpr std::size_t max_shard_bytes = std::size_t{768} * 1024;
/// Part of the size that is kept for records that are created as `not_run`:
/// a refusal has to be recorded also when the shard takes no new work.
inline constexpr std::size_t refusal_reserve_bytes = std::size_t{64} * 1024;
/// A started record reserves this much for its outcome, so that an outcome
/// always fits.
inline constexpr std::size_t outcome_reserve_bytes =
    max_inline_answer_bytes + 700;
/// An accepted record reserves this much for a reason.
inline constexpr std::size_t reason_reserve_bytes = 2 * max_reason_bytes + 100;

/// A key from further in the future is refused: its record could outlive the
/// horizon.
inline constexpr std::chrono::minutes max_clock_lead{5};

inline constexpr base::duration request_retention = std::chrono::hours{1};
inline constexpr base::duration job_retention = std::chrono::hours{24};
/// Ended records are never dropped earlier, also under size pressure.
inline constexpr base::duration shortest_retention = std::chrono::minutes{10};

} // namespace pimentograde::records

#endif
