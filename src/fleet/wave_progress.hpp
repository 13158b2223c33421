#ifndef PIMENTOGRADE_FLEET_WAVE_PROGRESS_HPP
#define PIMENTOGRADE_FLEET_WAVE_PROGRESS_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

/// Maintenance stage of one machine of a wave.
enum class maintenance_stage
{
    pending,
    /// Tasks are being removed from its worker.
    preparing,
    /// The order was sent; the machine is down or may be.
    ordered,
    /// The listings have lacked the machine for a while. It is pending again
    /// if one shows it.
    missing,
    done
};

/// Load of a machine, used to choose the next one for maintenance.
struct machine_load
{
    std::int64_t runs = 0;
    std::int64_t long_running = 0;
    /// Backlog of its pool, in seconds of work for all cores of the pool.
    double pool_backlog = 0.0;
};

/// Progress of one maintenance wave. Enforces the limit of machines that are
/// down at once; an order with unknown effect counts as a machine that is down.
class wave_progress
{
public:
    wave_progress(maintenance_wave wave, base::time_point seen_at);

    /// Applies a newer version of the wave. Machines that it no longer holds
    /// are dropped unless they may be down.
    void update(const maintenance_wave& wave);
    /// Restores the machines that an earlier holder of the role recorded as
    /// done.
    void restore_done(std::span<const std::string> machines);
    /// An earlier holder of the role may have ordered the machine's
    /// maintenance: it counts as ordered, without an answer.
    void restore_ordered(const std::string& machine, base::time_point now);
    /// Starts to prepare as many machines as the limit allows. Machines with
    /// the fewest tasks in pools without backlog come first; some machines with
    /// long-running tasks are included from the start because they take longest
    /// to free. Machines of busy pools are chosen only when time runs short.
    /// `load_of` returns nothing for a machine that is not up.
    void
    choose(const std::function<std::optional<machine_load>(const std::string&)>&
               load_of,
           base::duration maintenance_time, base::time_point now);
    [[nodiscard]] std::vector<std::string>
    machines_in(maintenance_stage stage) const;
    /// Call before sending the order: from then on the machine counts as down.
    void note_ordered(const std::string& machine, base::time_point now);
    /// The platform refused the order since the machine is not up. It may be
    /// down by an earlier order, so it counts as down until a later listing.
    void note_refused(const std::string& machine, base::time_point now);
    /// The platform says that the machine does not exist or is not of the wave;
    /// it counts as done.
    void note_gone(const std::string& machine);
    /// Applies a listing of the machine that was requested at `listed_at`. The
    /// machine is done when it is up again after its order.
    void note_listed(const machine& entry, base::duration maintenance_time,
                     base::time_point listed_at);
    /// The listing requested at `listed_at` lacks the machine.
    void note_missing(const std::string& machine, base::time_point listed_at);
    /// The order was acknowledged; the machine is down from now on.
    void note_acknowledged(const std::string& machine, base::time_point now);
    /// Machines whose order has no answer yet. The caller sends these orders
    /// again, which has no effect if the first one was carried out.
    [[nodiscard]] std::vector<std::string> unacknowledged() const;

    [[nodiscard]] bool is_complete() const;
    [[nodiscard]] const maintenance_wave& wave() const { return wave_; }
    [[nodiscard]] std::vector<std::string> done() const;
    /// Number of machines that are down, may be, or are about to be.
    [[nodiscard]] int unavailable() const;

private:
    struct machine_state
    {
        maintenance_stage stage = maintenance_stage::pending;
        base::time_point since{};
        bool is_acknowledged = false;
        /// The machine has long-running tasks that must be moved away first.
        bool has_long_running = false;
        /// Listed as in maintenance, also by order of an earlier holder of the
        /// role.
        bool is_listed_down = false;
        /// Time of the first of the latest listings that lack the machine.
        base::time_point missing_since{};
    };
    struct candidate
    {
        std::string name;
        bool is_busy = false;
        std::int64_t long_running = 0;
        std::int64_t runs = 0;
    };

    [[nodiscard]] std::vector<candidate> candidates(
        const std::function<std::optional<machine_load>(const std::string&)>&
            load_of,
        bool include_busy) const;
    [[nodiscard]] int preparing_with_long_running() const;
    [[nodiscard]] bool is_urgent(base::duration maintenance_time,
                                 base::time_point now) const;
    [[nodiscard]] int count(maintenance_stage stage) const;

    maintenance_wave wave_;
    base::time_point seen_at_;
    std::map<std::string, machine_state> machines_;
};

} // namespace pimentograde::fleet

#endif
