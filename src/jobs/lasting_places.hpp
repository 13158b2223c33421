#ifndef PIMENTOGRADE_JOBS_LASTING_PLACES_HPP
#define PIMENTOGRADE_JOBS_LASTING_PLACES_HPP

#include "jobs/worker_view.hpp"

#include <functional>
#include <map>
#include <vector>

namespace pimentograde::jobs
{

struct step;

/// Hands out places on workers to long-running tasks that have to start again,
/// so that no place is promised twice.
class lasting_places
{
public:
    /// Returns the number of tasks of the step on a worker.
    using step_count_hook = std::function<int(const worker_view&)>;

    /// The worker has to outlive this object.
    void add_worker(const worker_view& worker);
    /// Gives one task of the step a place; returns whether there is one.
    bool take(const step_spec& part, const step& progress,
              const step_count_hook& count_on);
    /// Number of places that were given.
    [[nodiscard]] int taken() const { return taken_; }

private:
    struct room
    {
        const worker_view* worker = nullptr;
        resource_amount free;
        std::map<const step*, int> taken;
    };

    std::vector<room> rooms_;
    int taken_ = 0;
};

} // namespace pimentograde::jobs

#endif
