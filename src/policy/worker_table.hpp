#ifndef PIMENTOGRADE_POLICY_WORKER_TABLE_HPP
#define PIMENTOGRADE_POLICY_WORKER_TABLE_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"
#include "policy/outlier_ejector.hpp"
#include "policy/slot.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pimentograde::policy
{

/// A worker of a broker's pool.
struct broker_worker
{
    base::worker_id id;
    base::task_size size;
    std::uint32_t slots = 0;
    /// In service and not leaving.
    bool accepting = true;
};

struct worker_load
{
    base::worker_id worker;
    std::uint32_t used = 0;
};

/// Tracks the used slots of the workers of one pool.
class worker_table
{
public:
    /// A worker that refused a task because it was full gets no tasks for this
    /// time, unless one of its slots is released earlier.
    static constexpr base::duration full_pause = std::chrono::milliseconds{100};
    /// How long a report of slots used by other brokers stays valid.
    static constexpr base::duration report_validity = std::chrono::seconds{2};

    explicit worker_table(ejection_settings ejection = {});

    /// Adds or updates a worker. `used` is the number of its slots with grants
    /// still held; it is ignored for a known worker.
    void set(const broker_worker& worker, std::uint32_t used);
    void remove(const base::worker_id& worker);
    void set_accepting(const base::worker_id& worker, bool accepting);
    [[nodiscard]] bool is_accepting(const base::worker_id& worker) const;
    [[nodiscard]] std::vector<base::worker_id> ids() const;

    void take_slot(const base::worker_id& worker);
    void return_slot(const base::worker_id& worker);
    /// Updates ejection, fullness and acceptance from the outcome of a task.
    void record_outcome(const base::worker_id& worker, slot_outcome outcome,
                        base::time_point now);
    /// Records a report, which arrives with a delay. Only slots beyond the
    /// maximum number of grants held since the report before the last one count
    /// as used by others.
    void record_report(const base::worker_id& worker, std::uint32_t slots_used,
                       base::time_point now);

    /// The eligible worker with the most free slots.
    [[nodiscard]] std::optional<base::worker_id>
    pick(const slot_request& request, base::time_point now) const;
    /// All eligible workers with a free slot.
    [[nodiscard]] std::vector<worker_load>
    candidates(const slot_request& request, base::time_point now) const;
    [[nodiscard]] bool has_free(base::time_point now) const;
    /// Whether the task fits any worker, including workers out of service.
    [[nodiscard]] bool fits_any(const base::task_size& size) const;
    /// Whether any worker accepts tasks, fits the request and is not excluded,
    /// with or without a free slot.
    [[nodiscard]] bool has_candidate(const slot_request& request) const;

    /// Slots of workers that accept tasks, as limited by ejection.
    [[nodiscard]] std::uint32_t slots(base::time_point now) const;
    /// Used slots of these workers.
    [[nodiscard]] std::uint32_t used(base::time_point now) const;
    [[nodiscard]] std::uint32_t max_slots() const;
    [[nodiscard]] const broker_worker*
    find(const base::worker_id& worker) const;
    /// When the next pause, report validity or ejection ends.
    [[nodiscard]] std::optional<base::time_point>
    next_change(base::time_point now) const;
    [[nodiscard]] outlier_ejector& ejector() { return ejector_; }
    [[nodiscard]] const outlier_ejector& ejector() const { return ejector_; }

private:
    struct entry
    {
        broker_worker worker;
        std::uint32_t held = 0;
        std::uint32_t held_peak = 0;
        std::uint32_t previous_held_peak = 0;
        std::uint32_t used_by_others = 0;
        base::time_point used_by_others_until{};
        base::time_point full_until{};
    };

    [[nodiscard]] entry* find_entry(const base::worker_id& worker);
    [[nodiscard]] const entry* find_entry(const base::worker_id& worker) const;
    [[nodiscard]] std::uint32_t used_slots(const entry& known,
                                           base::time_point now) const;
    [[nodiscard]] std::uint32_t free_slots(const entry& known,
                                           base::time_point now) const;

    std::vector<entry> entries_;
    std::unordered_map<base::worker_id, std::size_t> index_;
    outlier_ejector ejector_;
};

} // namespace pimentograde::policy

#endif
