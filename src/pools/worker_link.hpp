#ifndef PIMENTOGRADE_POOLS_WORKER_LINK_HPP
#define PIMENTOGRADE_POOLS_WORKER_LINK_HPP

#include "base/time.hpp"
#include "jobs/lease_bound.hpp"
#include "jobs/pool_state.hpp"
#include "net/task_group.hpp"
#include "net/wakeup.hpp"
#include "platform/worker_client.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace pimentograde::pools
{

/// Connects the pool owner to one worker: one fiber polls its runs and extends
/// its lease, another sends it orders.
class worker_link
{
public:
    struct hooks
    {
        /// Called when the state has changed: plan again and store the changes.
        std::function<void()> changed;
        /// Waits until all changes up to `change` are stored, or until
        /// `deadline`. Returns whether they are stored.
        std::function<bool(std::uint64_t change, base::time_point deadline)>
            stored;
        /// Called when the worker has seen a higher fence.
        std::function<void(std::string_view reason)> fenced_off;
        /// Returns whether orders may still be sent.
        std::function<bool()> may_order;
        /// Returns whether no other instance can own the pool at present.
        std::function<bool()> holds_lease;
        /// Waits until this ownership has a fence above `above`, or until
        /// `deadline`. Returns its highest fence.
        std::function<std::int64_t(std::int64_t above,
                                   base::time_point deadline)>
            raise_fence;
    };

    worker_link(jobs::worker_description worker, std::int64_t fence,
                base::duration lease, jobs::pool_state& state,
                net::http_client& http, hooks functions);
    ~worker_link();
    worker_link(const worker_link&) = delete;
    worker_link& operator=(const worker_link&) = delete;

    void start();
    void stop();
    /// Applies the worker's entry in the store, which may have changed.
    void update(const jobs::worker_description& worker);
    void send(jobs::start_order order);
    void send(jobs::stop_order order);
    /// Whether both fibers have returned.
    [[nodiscard]] bool is_idle() const { return fibers_.size() == 0; }

private:
    /// Asks the worker for its runs at once, beside a poll that waits.
    struct restart_check
    {
    };
    using any_order =
        std::variant<jobs::start_order, jobs::stop_order, restart_check>;

    void poll_loop();
    void poll(base::time_point now);
    void handle_poll_failure(std::string_view reason);
    /// Applies an answer to a call to `asked`. Returns whether the worker's
    /// report has been applied.
    bool apply(const platform::worker_listing& listing,
               const platform::order_target& asked, base::time_point sent_at);
    void apply_report(const platform::worker_listing& listing,
                      base::time_point sent_at, base::time_point now);
    void wait_for_storage(base::time_point sent_at);
    /// The last stored end that the worker may forget.
    [[nodiscard]] std::int64_t forgettable_end(base::time_point now) const;
    /// Returns 0 if no end should be acknowledged now.
    [[nodiscard]] std::int64_t end_to_acknowledge(base::time_point now) const;
    void note_restart(std::int64_t born_ms, base::time_point now);
    void check_restart(base::time_point now);
    void note_unreachable(std::string_view reason, base::time_point now);
    void order_loop();
    void send_start(const jobs::start_order& order);
    [[nodiscard]] bool may_send(const jobs::start_order& order) const;
    /// The answer to a start that must not be sent.
    [[nodiscard]] std::optional<jobs::start_answer>
    refuse_start(const jobs::start_order& order);
    void send_stop(const jobs::stop_order& order);
    [[nodiscard]] bool needs_poll() const;
    [[nodiscard]] base::time_point idle_until(base::time_point now) const;
    [[nodiscard]] base::duration poll_wait() const;
    [[nodiscard]] bool has_old_clock(base::time_point now) const;
    /// An extension that a call carries.
    struct extension
    {
        std::uint64_t number = 0;
        std::int64_t until_ms = 0;
    };
    [[nodiscard]] extension extend_lease(base::time_point now,
                                         base::duration length,
                                         jobs::extension_kind kind);
    [[nodiscard]] bool is_extension_due(base::time_point now) const;
    void note_answered(const extension& sent);
    /// `may_arrive`: the call may still take effect.
    void note_failed(const extension& sent, bool may_arrive);
    void note_lease_end();
    /// The end of the lease if all extensions arrived when they were sent.
    [[nodiscard]] base::time_point known_lease_end() const;
    [[nodiscard]] bool is_recorded() const;
    [[nodiscard]] base::time_point poll_deadline(base::time_point now,
                                                 base::duration wait) const;
    [[nodiscard]] platform::order_target target() const;
    /// Raises the fence above that of an acknowledgement that may arrive late:
    /// it must not reach the end of a run that starts now. Returns whether none
    /// may, but one that is under way.
    bool outdate_acknowledgement(base::time_point now);
    /// Whether the worker that refused `sent_fence` has seen another owner's.
    [[nodiscard]] bool is_fenced_off(std::int64_t sent_fence) const
    {
        return sent_fence >= fence_;
    }

    jobs::worker_description worker_;
    /// It rises; the worker ignores a call that it gets after one with a higher
    /// fence, also if that was meant for an earlier incarnation.
    std::int64_t fence_;
    base::duration lease_;
    jobs::pool_state& state_;
    platform::worker_client client_;
    hooks hooks_;
    net::task_group fibers_;
    net::wakeup poll_wakeup_;
    net::wakeup order_wakeup_;
    std::deque<any_order> orders_;
    bool is_stopping_ = false;
    bool has_failed_ = false;
    /// Where the incarnation that the runs belong to is: the address of its
    /// last answer or, before that, of the roster.
    net::endpoint known_at_;
    /// Start of the incarnation that has answered last; 0 if none has.
    std::int64_t born_ms_ = 0;
    /// No other instance could own the pool after this incarnation had
    /// answered: one that owns it later has heard no earlier incarnation.
    bool is_confirmed_ = false;
    /// Time at which the latest report that was applied was requested.
    base::time_point report_sent_at_{};
    std::int64_t stored_end_ = 0;
    /// The latest stored end that the worker is known to have forgotten.
    std::int64_t acknowledged_end_ = 0;
    /// The latest poll that acknowledges ends and has got no answer.
    struct open_acknowledgement
    {
        std::int64_t fence = 0;
        base::time_point arrives_by{};
        /// It waits for its answer, and no earlier one with its fence may
        /// arrive.
        bool is_under_way = false;
    };
    open_acknowledgement open_acknowledgement_;
    /// Ends of runs that were applied but are not known to be stored.
    struct unstored_ends
    {
        std::int64_t last_end = 0;
        /// Number of the newest change after they were applied.
        std::uint64_t change = 0;
    };
    std::optional<unstored_ends> unstored_;
    /// The worker's clock as last read, and when it was read; 0 if never.
    std::int64_t clock_ms_ = 0;
    base::time_point clock_read_at_{};
    /// Latest lease end sent to the worker, on the worker's clock.
    std::int64_t lease_until_ms_ = 0;
    /// Time of the last poll that extended the lease.
    base::time_point extended_at_{};
    jobs::lease_bound lease_bound_;
    /// Polls without an answer since the last report.
    int failed_polls_ = 0;
};

} // namespace pimentograde::pools

#endif
