#ifndef PIMENTOGRADE_JOBS_LEASE_BOUND_HPP
#define PIMENTOGRADE_JOBS_LEASE_BOUND_HPP

#include "base/time.hpp"

#include <cstdint>
#include <vector>

namespace pimentograde::jobs
{

/// A call without an answer may be carried out this long after it was sent.
inline constexpr std::chrono::seconds late_call_time{12};

/// The call that carries an extension of a lease.
enum class extension_kind
{
    /// A poll that does not wait, sent right after an answer: it is rarely lost
    /// with the worker.
    poll,
    /// May well be sent to a worker that has ended.
    start
};

/// Latest end of a worker's lease. An extension that gets no answer may take
/// effect late, with its time counted from then; it prolongs the lease only if
/// it arrives before the end, so several of them add up.
class lease_bound
{
public:
    /// An extension by `length` is sent. Returns its number.
    std::uint64_t note_sent(base::time_point now, base::duration length,
                            extension_kind kind);
    /// It was carried out when it was sent, or never will be.
    void note_answered(std::uint64_t number);
    /// Its time for an answer has passed, or its connection was cut off.
    void note_failed(std::uint64_t number);
    /// A call that was sent at `sent_at` has been answered. Returns whether the
    /// worker has left an extension that was sent before without an answer; it
    /// says so once for each.
    bool note_reachable(base::time_point sent_at);
    /// Returns the end of a lease that would end at `known_end` if all
    /// extensions had arrived when they were sent. A start that was sent after
    /// the last answered call is most often lost with the worker: it counts
    /// only if `counts_latest_start`.
    [[nodiscard]] base::time_point ends_by(base::time_point known_end,
                                           bool counts_latest_start) const;
    /// Forgets the extensions that no longer count for a lease that does not
    /// end before `known_end`.
    void forget_before(base::time_point known_end);

private:
    struct extension
    {
        std::uint64_t number = 0;
        base::time_point sent_at;
        base::duration length{};
        extension_kind kind = extension_kind::poll;
        bool has_failed = false;
        /// The worker has answered a later call.
        bool is_overtaken = false;

        [[nodiscard]] base::time_point latest_end() const
        {
            return sent_at + late_call_time + length;
        }
    };

    std::vector<extension> unanswered_;
    std::uint64_t last_number_ = 0;
};

} // namespace pimentograde::jobs

#endif
