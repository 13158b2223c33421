#include "jobs/lasting_places.hpp"

#include "jobs/placement.hpp"

namespace pimentograde::jobs
{

void lasting_places::add_worker(const worker_view& worker)
{
    rooms_.push_back({&worker, worker.free(), {}});
}

bool lasting_places::take(const step_spec& part, const step& progress,
                          const step_count_hook& count_on)
{
    const resource_amount need = reserved_resources(part);
    room* best = nullptr;
    for (room& candidate : rooms_)
    {
        if (!candidate.free.covers(need))
            continue;
        const auto taken = candidate.taken.find(&progress);
        const int taken_here =
            taken == candidate.taken.end() ? 0 : taken->second;
        const placement_request request{
            .step = &part,
            .rack = {},
            .avoided = {},
            .same_step_count = [&](const worker_view& worker)
            { return count_on(worker) + taken_here; },
            .is_same_unit = {}};
        if (!meets_constraints(*candidate.worker, request))
            continue;
        if (best == nullptr ||
            candidate.free.cpu_millis < best->free.cpu_millis)
            best = &candidate;
    }
    if (best == nullptr)
        return false;
    best->free -= need;
    ++best->taken[&progress];
    ++taken_;
    return true;
}

} // namespace pimentograde::jobs
