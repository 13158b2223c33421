#ifndef PIMENTOGRADE_TOOLS_LOAD_CAPACITY_BENCHMARK_HPP
#define PIMENTOGRADE_TOOLS_LOAD_CAPACITY_BENCHMARK_HPP

#include "config/bundle.hpp"

#include <cstdint>
#include <ostream>

namespace pimentograde::load
{

/// Measures the decision functions of the capacity package for one deployment.
/// Writes one JSON object a line: `name`, `value`, `unit`, `deployment`,
/// `baseline`. `baseline` is empty for the chosen strategy and names the
/// strategy otherwise.
void run_capacity_benchmark(std::ostream& out, const config::bundle& bundle,
                            std::uint64_t seed);

} // namespace pimentograde::load

#endif
