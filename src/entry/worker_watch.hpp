#ifndef PIMENTOGRADE_ENTRY_WORKER_WATCH_HPP
#define PIMENTOGRADE_ENTRY_WORKER_WATCH_HPP

#include "base/strong_id.hpp"
#include "config/bundle.hpp"
#include "dispatch/slot_service.hpp"
#include "provider/worker_operations.hpp"

#include <functional>
#include <memory>

namespace pimentograde::entry
{

/// Keeps the slot service informed: reads the reports of the workers in the
/// pools that this member brokers every 2 s, and the platform's list every
/// second.
class worker_watch
{
public:
    struct hooks
    {
        provider::worker_operations workers;
        provider::instance_list_operations instances;
        dispatch::slot_service* slots = nullptr;
        /// Bundle in force; null while there is none.
        std::function<std::shared_ptr<const config::bundle>()> bundle;
        /// Whether this member is the broker of the worker's present pool.
        std::function<bool(const base::worker_id&)> is_mine;
    };

    explicit worker_watch(hooks calls);
    ~worker_watch();
    worker_watch(const worker_watch&) = delete;
    worker_watch& operator=(const worker_watch&) = delete;

    void start();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::entry

#endif
