#ifndef PIMENTOGRADE_STANDIN_WORKER_MODEL_HPP
#define PIMENTOGRADE_STANDIN_WORKER_MODEL_HPP

#include "provider/worker_operations.hpp"
#include "standin/execution_log.hpp"
#include "standin/task_payload.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pimentograde::standin
{

struct worker_settings
{
    base::worker_id id;
    /// Port 0: the system chooses.
    net::endpoint address{"127.0.0.1", 0};
    base::task_size size{32, 128'000, 0};
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    /// Age of the samples in the usage report.
    base::duration usage_lag = std::chrono::seconds{2};
    /// How long an ended lease can be queried.
    base::duration retention = std::chrono::minutes{10};
    /// A running lease that is not renewed for this long is stopped; 0: never.
    base::duration running_ttl{};
    /// Reservations made before a drain may start this long after it.
    base::duration leaving_grace = std::chrono::seconds{3};
    /// Time without service in a reboot.
    base::duration reboot_time = std::chrono::milliseconds{200};
};

/// Work done by checkpointed tasks, by task name, shared by all workers: a
/// task may continue on another worker.
using checkpoint_table = std::map<std::string, base::duration>;

/// The rules of one worker, without its network. The caller passes the time;
/// tasks and leases end when a call passes their end.
class worker_model
{
public:
    /// `log` and `checkpoints` have to outlive the model.
    worker_model(worker_settings settings, std::uint64_t incarnation,
                 execution_log& log, checkpoint_table& checkpoints);

    provider::reserve_result reserve(const base::task_size& size,
                                     base::duration ttl, base::time_point now);
    /// Does not wait for the end. With `force_failure` the task fails. Throws
    /// `base::error` with code `conflict` when the lease has another task.
    provider::lease_status start(const base::lease_id& lease,
                                 const provider::task_spec& task,
                                 bool force_failure, base::time_point now);
    provider::lease_status query(const base::lease_id& lease,
                                 base::time_point now);
    provider::lease_status renew(const base::lease_id& lease,
                                 base::duration ttl, base::time_point now);
    provider::lease_status stop(const base::lease_id& lease,
                                base::time_point now);
    /// Throws `base::error` with code `refused` when the task does not support
    /// checkpoints.
    provider::lease_status checkpoint(const base::lease_id& lease,
                                      base::time_point now);
    provider::lease_status throttle(const base::lease_id& lease, double share,
                                    base::time_point now);
    provider::worker_report report(base::time_point now);
    void drain(base::time_point now);
    void undrain();
    /// Throws `base::error` with code `refused` unless idle. A drain stays in
    /// force.
    void reboot(base::time_point now);
    /// Loses all tasks and leases.
    void kill(base::time_point now);
    /// Tasks run `factor` times as long from now on.
    void set_slowness(double factor, base::time_point now);
    /// Ends what has to end by `now`.
    void advance(base::time_point now);
    /// The next moment at which `advance` has something to do.
    [[nodiscard]] std::optional<base::time_point> next_event() const;

    [[nodiscard]] bool leaving() const { return leaving_since_.has_value(); }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] std::uint32_t slots_used() const;
    [[nodiscard]] const worker_settings& settings() const { return settings_; }

private:
    struct lease
    {
        provider::lease_state state = provider::lease_state::reserved;
        /// When a reservation, or a running lease that has to be renewed, ends.
        std::optional<base::time_point> expiry;
        provider::task_spec task;
        task_payload payload;
        double share = 1;
        base::duration work_left{};
        base::time_point settled_at;
        base::time_point started_at;
        base::time_point ended_at;
        std::size_t log_position = 0;
        std::string answer;
        std::string reason;

        [[nodiscard]] bool active() const;
    };

    [[nodiscard]] base::time_point task_end(const lease& target) const;
    void settle(lease& target, base::time_point now) const;
    void advance_lease(const std::string& id, lease& target,
                       base::time_point now);
    void begin(const std::string& id, lease& target,
               const provider::task_spec& task, bool force_failure,
               base::time_point now);
    void finish(const std::string& id, lease& target, base::time_point end);
    void end(lease& target, provider::lease_state state,
             std::string_view reason, execution_outcome outcome,
             base::time_point now);
    void forget_all(base::time_point now);
    [[nodiscard]] provider::lease_status status_of(const lease& target,
                                                   base::time_point now) const;
    lease* find(const base::lease_id& id);

    worker_settings settings_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t last_lease_ = 0;
    execution_log* log_;
    checkpoint_table* checkpoints_;
    double slowness_ = 1;
    std::optional<base::time_point> leaving_since_;
    std::map<std::string, lease> active_;
    std::map<std::string, lease> ended_;
    /// Ids of `ended_`, the oldest first.
    std::deque<std::string> ended_order_;
};

} // namespace pimentograde::standin

#endif
