#ifndef PIMENTOGRADE_BASE_TASK_SIZE_HPP
#define PIMENTOGRADE_BASE_TASK_SIZE_HPP

#include <cstdint>

namespace pimentograde::base
{

enum class priority
{
    urgent,
    batch
};

/// Resources that a task declares or a worker has.
struct task_size
{
    double cores = 0;
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const task_size&) const = default;
};

/// Whether `task` fits on an otherwise idle worker of size `worker`.
inline bool fits(const task_size& task, const task_size& worker)
{
    return task.cores <= worker.cores && task.memory_mb <= worker.memory_mb &&
           task.accelerators <= worker.accelerators;
}

} // namespace pimentograde::base

#endif
