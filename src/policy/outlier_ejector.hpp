#ifndef PIMENTOGRADE_POLICY_OUTLIER_EJECTOR_HPP
#define PIMENTOGRADE_POLICY_OUTLIER_EJECTOR_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace pimentograde::policy
{

struct ejection_settings
{
    std::size_t min_outcomes = 5;
    double failure_ratio = 0.5;
    /// Older outcomes no longer count.
    std::size_t window = 20;
    base::duration max_age = std::chrono::seconds{30};
    base::duration first = std::chrono::seconds{2};
    base::duration longest = std::chrono::seconds{60};
    /// At most one in this many workers is ejected.
    std::size_t pool_divisor = 3;
};

/// Ejects workers of one pool whose recent outcomes are mostly failures.
///
/// An ejected worker gets nothing until its time is over, then one probe task
/// at a time. A failed probe ejects it again for twice the time. A successful
/// one readmits it with one slot, and each further success adds one.
class outlier_ejector
{
public:
    explicit outlier_ejector(ejection_settings settings = {});

    void add_worker(const base::worker_id& worker);
    /// Readmits others when more than the permitted share would be ejected.
    void remove_worker(const base::worker_id& worker);
    /// Forgets the outcomes, for a worker that returned after a restart.
    void reset_worker(const base::worker_id& worker);

    /// Records the end of a task; unknown workers are ignored.
    void record(const base::worker_id& worker, bool success,
                base::time_point now);

    /// Tasks that the worker, which has `slots` slots, may run at once.
    [[nodiscard]] std::uint32_t slot_limit(const base::worker_id& worker,
                                           std::uint32_t slots,
                                           base::time_point now) const;
    /// Whether the worker is ejected or has not passed a probe since.
    [[nodiscard]] bool is_ejected(const base::worker_id& worker) const;
    [[nodiscard]] std::size_t ejected_count() const { return ejected_; }
    /// Whether any worker has a limit below its slots.
    [[nodiscard]] bool has_limits() const { return limited_ > 0; }
    /// When the next ejection ends, if any.
    [[nodiscard]] std::optional<base::time_point>
    next_change(base::time_point now) const;

private:
    enum class phase
    {
        serving,
        ejected,
        growing
    };
    struct outcome
    {
        base::time_point when;
        bool success;
    };
    struct worker_state
    {
        phase current = phase::serving;
        std::deque<outcome> recent;
        base::time_point until{};
        base::duration last_ejection{};
        std::uint32_t limit = 0;
    };

    void eject(worker_state& state, base::time_point now);
    void enter(worker_state& state, phase next);
    void readmit_excess();
    [[nodiscard]] bool is_failing(worker_state& state,
                                  base::time_point now) const;
    void record_growth(worker_state& state, bool success);

    ejection_settings settings_;
    std::map<base::worker_id, worker_state> workers_;
    std::size_t ejected_ = 0;
    std::size_t limited_ = 0;
};

} // namespace pimentograde::policy

#endif
