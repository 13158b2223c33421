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
    /// The worker refused a task or reported that it is leaving.
    worker_refusal,
    /// A drain set by an operator or the planner.
    fleet_state,
    /// Another member's heartbeat.
    peer_hint
};

/// A leaving signal to forward to other members.
struct leaving_hint
{
    base::worker_id worker;
    std::uint64_t incarnation = 0;
};

/// Tracks which workers are leaving. One signal from any source is enough.
///
/// A drain applies until it is cleared. Any other signal applies to one
/// incarnation of the worker only, so a worker that restarts with a new
/// incarnation is accepted even if an outdated instance list still shows it as
/// leaving. Incarnations are compared for equality only. A recently seen
/// incarnation is never treated as new.
class leaving_registry
{
public:
    /// Records a signal. An unknown `incarnation` is 0 and means the one seen
    /// last. Repeated signals of the instance list count as one until cleared.
    void signal(const base::worker_id& worker, leaving_source source,
                std::uint64_t incarnation, base::time_point now);
    /// Removes the signal of this source.
    void clear(const base::worker_id& worker, leaving_source source);
    /// Records a response or report of the worker itself. If `leaving` is
    /// false, refusals and peer hints older than `max_report_lag` are removed;
    /// newer ones stay, because the report may predate them.
    void observe(const base::worker_id& worker, std::uint64_t incarnation,
                 bool leaving, base::time_point now);

    [[nodiscard]] bool is_leaving(const base::worker_id& worker) const;
    [[nodiscard]] std::uint64_t
    incarnation(const base::worker_id& worker) const;
    /// Signals that this process received directly. Excludes hints of other
    /// members, which would otherwise circulate without end.
    [[nodiscard]] std::vector<leaving_hint> hints() const;

    /// Maximum delay of worker reports.
    static constexpr base::duration max_report_lag = std::chrono::seconds{5};

private:
    struct signal_state
    {
        std::uint64_t incarnation = 0;
        base::time_point since{};
    };
    struct worker_state
    {
        std::uint64_t incarnation = 0;
        std::deque<std::uint64_t> earlier_incarnations;
        std::map<leaving_source, signal_state> signals;
    };

    static bool is_in_force(const worker_state& state, leaving_source source,
                            const signal_state& signal);
    /// Makes `incarnation` the current one unless it is a known earlier one.
    /// Returns whether it is the current one afterwards.
    static bool update_incarnation(worker_state& state,
                                   std::uint64_t incarnation);

    std::map<base::worker_id, worker_state> workers_;
};

} // namespace pimentograde::policy

#endif
