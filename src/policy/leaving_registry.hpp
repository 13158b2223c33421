#ifndef PIMENTOGRADE_POLICY_LEAVING_REGISTRY_HPP
#define PIMENTOGRADE_POLICY_LEAVING_REGISTRY_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace pimentograde::policy
{

enum class leaving_source
{
    /// The platform's list of instances.
    instance_list,
    /// The worker refused a task or said so in its report.
    worker_refusal,
    /// An operator's or the planner's drain.
    fleet_state,
    /// Another member's heartbeat.
    peer_hint
};

/// A signal to pass on to other members.
struct leaving_hint
{
    base::worker_id worker;
    std::uint64_t incarnation = 0;
};

/// Collects all signals that a worker leaves. Any one is enough.
///
/// Apart from a drain, which holds until it is cleared, a signal concerns one
/// incarnation of the worker: a worker that returns with a new incarnation is
/// accepted although a lagging list still shows it as leaving. Incarnations
/// are compared for equality only; ones seen before are never taken as new.
class leaving_registry
{
public:
    /// `incarnation` 0: unknown, taken as the one seen last. A repeated signal
    /// of the instance list is the same signal until it is cleared.
    void signal(const base::worker_id& worker, leaving_source source,
                std::uint64_t incarnation, base::time_point now);
    /// The source no longer says that the worker leaves.
    void clear(const base::worker_id& worker, leaving_source source);
    /// The worker answered. `leaving` as it says itself. A denial ends its own
    /// earlier refusal only after `report_lag`, since it may be older.
    void observe(const base::worker_id& worker, std::uint64_t incarnation,
                 bool leaving, base::time_point now);

    [[nodiscard]] bool is_leaving(const base::worker_id& worker) const;
    [[nodiscard]] std::uint64_t
    incarnation(const base::worker_id& worker) const;
    /// Signals that this process got itself, never those of other members.
    [[nodiscard]] std::vector<leaving_hint> hints() const;

    /// Upper bound of the lag of worker reports.
    static constexpr base::duration report_lag = std::chrono::seconds{5};

private:
    struct signal_state
    {
        std::uint64_t incarnation = 0;
        base::time_point since{};
    };
    struct worker_state
    {
        std::uint64_t incarnation = 0;
        std::deque<std::uint64_t> earlier;
        std::map<leaving_source, signal_state> signals;
    };

    static bool is_in_force(const worker_state& state, leaving_source source,
                            const signal_state& signal);
    /// Returns whether the incarnation is the newest known one afterwards.
    static bool advance(worker_state& state, std::uint64_t incarnation);

    std::map<base::worker_id, worker_state> workers_;
};

} // namespace pimentograde::policy

#endif
