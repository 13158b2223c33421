#ifndef PIMENTOGRADE_CONFIG_BUNDLE_HPP
#define PIMENTOGRADE_CONFIG_BUNDLE_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"
#include "net/endpoint.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentograde::config
{

struct caller_entry
{
    base::caller_name name;
    /// SHA-256 of the bearer token, 64 hexadecimal digits.
    std::string token_sha256;
};

struct department
{
    base::department_name name;
    /// Slots that the department may use at once.
    std::uint32_t quota_slots = 0;
    /// Retries as a share of the department's traffic.
    double retry_ratio = 0.1;
    std::vector<caller_entry> callers;
};

struct pool
{
    base::pool_name name;
    bool spare = false;
};

struct queue
{
    base::queue_name name;
    base::department_name department;
    base::pool_name pool;
    base::priority urgency = base::priority::batch;
    std::uint32_t max_waiting = 0;
    base::duration max_wait{};
    /// First estimate of a task's run time.
    base::duration expected_time{};
};

struct worker
{
    base::worker_id id;
    /// Pool at first; later the fleet state decides.
    base::pool_name pool;
    base::zone_name zone;
    base::rack_name rack;
    net::endpoint address;
    base::task_size size;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// The largest failure that a budget has to survive.
enum class failure_domain
{
    none,
    rack,
    zone
};

/// Availability budget of a department in one pool.
struct budget
{
    base::department_name department;
    base::pool_name pool;
    /// Workers that must be serving at any time, also after the loss of one
    /// more failure domain.
    std::uint32_t min_workers = 0;
    failure_domain survive = failure_domain::none;
};

/// Maintenance wave: drains, reboots and readmits each worker of its pools.
struct wave
{
    std::string name;
    std::vector<base::pool_name> pools;
    /// Workers out of service for this wave at once.
    std::uint32_t max_parallel = 1;
    /// Each worker is maintained once in this time.
    base::duration period{};
    /// Time after which batch tasks are checkpointed; 0 never.
    base::duration checkpoint_after{};
};

enum class operator_role
{
    viewer,
    author,
    reviewer
};

struct operator_entry
{
    std::string name;
    operator_role role = operator_role::viewer;
    std::string token_sha256;
};

/// Relative weight of each measure, summing to 1.
struct measure_weights
{
    double buffer_cost = 0;
    double rollout_time = 0;
    double moves = 0;
};

/// The operators' configuration, format 1.
struct bundle
{
    std::string deployment;
    measure_weights weights;
    std::vector<base::zone_name> zones;
    std::vector<department> departments;
    std::vector<pool> pools;
    std::vector<queue> queues;
    std::vector<worker> workers;
    std::vector<budget> budgets;
    std::vector<wave> waves;
    std::vector<operator_entry> operators;
};

} // namespace pimentograde::config

#endif
