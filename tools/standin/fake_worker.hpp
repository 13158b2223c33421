#ifndef PIMENTOGRADE_STANDIN_FAKE_WORKER_HPP
#define PIMENTOGRADE_STANDIN_FAKE_WORKER_HPP

#include "standin/fault_board.hpp"
#include "standin/worker_model.hpp"

#include <memory>

namespace pimentograde::standin
{

/// One worker of the platform over HTTP, with faults.
class fake_worker
{
public:
    /// All references have to outlive the worker.
    fake_worker(const worker_settings& settings, execution_log& log,
                checkpoint_table& checkpoints, fault_board& faults);
    ~fake_worker();
    fake_worker(const fake_worker&) = delete;
    fake_worker& operator=(const fake_worker&) = delete;

    [[nodiscard]] provider::worker_endpoint endpoint() const;
    worker_model& model();
    /// Whether the worker serves, as opposed to being killed or rebooting.
    [[nodiscard]] bool is_up() const;
    /// Kills, restarts, slows the worker as the faults and a reboot in
    /// progress say, and ends tasks that nobody waits for.
    void apply_faults(base::time_point now);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::standin

#endif
