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
    /// Older outcomes beyond this number are dropped.
    std::size_t max_outcomes = 20;
    base::duration max_outcome_age = std::chrono::seconds{30};
    base::duration initial_duration = std::chrono::seconds{2};
    base::duration max_duration = std::chrono::seconds{60};
    /// At most 1 / pool_divisor of the pool's workers are ejected at a time.
    std::size_t pool_divisor = 3;
};

/// Ejects workers of one pool whose recent outcomes are mostly failures.
///
/// An ejected worker gets no tasks until the ejection ends, then one probe task
/// at a time. A failed probe ejects it again for twice as long. A successful
/// probe readmits it with one slot, and each further success adds one slot.
class outlier_ejector
{
public:
    explicit outlier_ejector(ejection_settings settings = {});

    void add_worker(const base::worker_id& worker);
    /// Removes the worker. Readmits other workers if the ejected share of the
    /// smaller pool exceeds the limit.
    void remove_worker(const base::worker_id& worker);
    /// Clears all state of a worker that restarted.
    void reset_worker(const base::worker_id& worker);

    /// Records the outcome of a task. Unknown workers are ignored.
    void record(const base::worker_id& worker, bool success,
                base::time_point now);

    /// How many of the worker's `slots` slots may be used at once.
    [[nodiscard]] std::uint32_t slot_limit(const base::worker_id& worker,
                                           std::uint32_t slots,
                                           base::time_point now) const;
    /// Whether the worker is ejected or has not passed a probe since.
    [[nodiscard]] bool is_ejected(const base::worker_id& worker) const;
    [[nodiscard]] std::size_t ejected_count() const { return ejected_count_; }
    /// Whether any worker is ejected or recovering.
    [[nodiscard]] bool has_limits() const { return limited_count_ > 0; }
    /// When the next ejection ends, if any.
    [[nodiscard]] std::optional<base::time_point>
    next_change(base::time_point now) const;

private:
    enum class phase
    {
        serving,
        ejected,
        recovering
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
        base::time_point ejected_until{};
        base::duration last_ejection_duration{};
        std::uint32_t limit = 0;
    };

    void eject(worker_state& state, base::time_point now);
    void set_phase(worker_state& state, phase next);
    void readmit_excess();
    [[nodiscard]] bool is_failing(worker_state& state,
                                  base::time_point now) const;
    void record_recovery(worker_state& state, bool success);

    ejection_settings settings_;
    std::map<base::worker_id, worker_state> workers_;
    std::size_t ejected_count_ = 0;
    std::size_t limited_count_ = 0;
};

} // namespace pimentograde::policy

#endif
