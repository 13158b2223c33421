#ifndef PIMENTOGRADE_FLEET_MACHINE_HPP
#define PIMENTOGRADE_FLEET_MACHINE_HPP

#include "jobs/job_spec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

enum class machine_status
{
    up,
    moving,
    in_maintenance,
    down
};

/// An instance of the fleet. It outlives the workers that run on it.
struct machine
{
    std::string id;
    std::string pool;
    machine_status status = machine_status::down;
    /// The rack is the last label.
    std::vector<std::string> labels;
    jobs::resource_amount capacity;
    /// Id of the worker that runs on the machine; empty if there is none.
    std::string worker;
};

/// Maintenance that an operator requested.
struct maintenance_wave
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    base::duration time_limit{};
    /// Machines that the wave may take down at the same time.
    int max_down = 1;

    bool operator==(const maintenance_wave&) const = default;
};

} // namespace pimentograde::fleet

#endif
