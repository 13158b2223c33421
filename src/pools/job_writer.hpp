#ifndef PIMENTOGRADE_POOLS_JOB_WRITER_HPP
#define PIMENTOGRADE_POOLS_JOB_WRITER_HPP

#include "base/time.hpp"
#include "jobs/pool_state.hpp"
#include "net/task_group.hpp"
#include "net/wakeup.hpp"
#include "platform/store_client.hpp"
#include "pools/removal_schedule.hpp"
#include "pools/roster_store.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::pools
{

/// Store key prefix of a pool's job records.
std::string record_prefix(std::string_view pool);

/// Writes a pool's job records to the store, in transactions that commit only
/// while this instance owns the pool. Transactions run beside each other, so
/// that one without an answer does not hold up the others. `run` needs a fiber
/// of its own.
class job_writer
{
public:
    struct hooks
    {
        /// Called when another instance owns the pool, or none does.
        std::function<void(std::string_view reason)> on_ownership_lost;
        std::function<bool()> is_stopping;
    };

    job_writer(std::string pool, std::string owner_key,
               std::int64_t owner_revision, jobs::pool_state& state,
               platform::store_client& store, roster_store& roster,
               hooks functions);

    void run();
    /// Call when the state has changed or the writer has to stop.
    void notify() { work_.notify(); }
    /// Leaves the runs on all workers to the next owner. Call when `run` has
    /// returned and no more orders are sent.
    void write_final_roster(base::time_point now);
    /// Waits until all changes up to `change` are stored, or until `deadline`.
    /// Returns whether they are stored.
    bool wait_stored(std::uint64_t change, base::time_point deadline);
    /// Waits until `holds`, or until `deadline`; looks when a write ends.
    void wait_until(const std::function<bool()>& holds,
                    base::time_point deadline);
    /// Latest revision at which the store has shown this ownership: later than
    /// the claims of all earlier owners, and earlier than those of all later
    /// ones.
    [[nodiscard]] std::int64_t owned_revision() const
    {
        return owned_revision_;
    }
    /// Waits until `owned_revision` is above `revision`, or until `deadline`.
    void wait_owned_after(std::int64_t revision, base::time_point deadline);
    /// Writes have failed, and none has been answered for a second.
    [[nodiscard]] bool is_failing() const { return is_failing_; }

private:
    [[nodiscard]] bool should_end(base::time_point now);
    void idle();
    /// Writes the present changes in transactions beside those under way.
    void start_writes();
    void wait_for_writes();
    void probe_store();
    /// Returns whether it is stored.
    bool write_roster();
    void note_answer();
    /// A write that holds only for this ownership was made at `revision`.
    void note_owned_at(std::int64_t revision);
    void write_batch(std::span<const jobs::record_change> changes);
    void apply_conflict(std::span<const jobs::record_change> changes,
                        const platform::commit_result& result);
    void note_failure(std::span<const jobs::record_change> changes,
                      std::string_view reason, bool may_be_stored);
    /// Starts to remove records that have been kept long enough, if it is time
    /// to.
    void remove_expired(base::time_point now);
    /// Returns whether they are removed.
    bool remove_records(std::span<const std::string> ids);

    std::string pool_;
    std::string owner_key_;
    std::int64_t owner_revision_;
    std::int64_t owned_revision_;
    /// `owned_revision` is to rise above this.
    std::int64_t revision_to_pass_ = 0;
    jobs::pool_state& state_;
    platform::store_client& store_;
    roster_store& roster_;
    hooks hooks_;
    net::wakeup work_;
    net::wakeup progress_;
    net::wakeup write_ended_;
    std::uint64_t stored_ = 0;
    bool is_failing_ = false;
    bool has_lost_ownership_ = false;
    /// A write has failed since the last pause.
    bool should_pause_ = false;
    base::time_point answered_at_ = base::time_point::min();
    base::time_point end_by_ = base::time_point::max();
    removal_schedule removals_;
    bool is_removing_ = false;
    std::size_t open_writes_ = 0;
    net::task_group writes_;
};

} // namespace pimentograde::pools

#endif
