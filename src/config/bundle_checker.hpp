#ifndef PIMENTOGRADE_CONFIG_BUNDLE_CHECKER_HPP
#define PIMENTOGRADE_CONFIG_BUNDLE_CHECKER_HPP

#include "config/bundle.hpp"
#include "config/field_reader.hpp"

namespace pimentograde::config
{

/// Time that the checker allows for draining, rebooting and readmitting one
/// worker. A wave's bound is its number of workers divided by `max_parallel`,
/// times this.
inline constexpr std::chrono::seconds worker_maintenance_time{60};

/// Checks what a single field cannot show: references, duplicates, the spare
/// pool, budgets against failure domains, quotas against slots, weights,
/// operators and wave bounds. Returns every fault; empty when the bundle may
/// be accepted.
fault_list check_bundle(const bundle& value);

} // namespace pimentograde::config

#endif
