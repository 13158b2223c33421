#ifndef PIMENTOGRADE_LOAD_POLICY_BENCHMARK_HPP
#define PIMENTOGRADE_LOAD_POLICY_BENCHMARK_HPP

#include "base/time.hpp"

#include <cstdint>
#include <ostream>
#include <string_view>

namespace pimentograde::load
{

/// Drives the decision functions of the request path in event time with the
/// alternating bursts of the design and writes one JSON object a line: `name`,
/// `value`, `unit`, `deployment`, `baseline`. `baseline` is
/// `broker_with_lending` or one of the compared designs,
/// `broker_without_lending`, `two_choices` and `fixed_shares`. Names that end
/// in `_overlapping` are for bursts at independent times, the others for
/// bursts in turn. `retry_amplification` counts attempts that a worker refused.
///
/// 5 pools of 10 workers with 8 slots, which is the size of both deployments;
/// their names only label the lines. Network delays and processor time are
/// not part of the model. `length` is event time. Lines
/// `decision_cost_<workers>_workers` are measured on this machine's clock.
void run_policy_benchmark(std::ostream& out, std::string_view deployment,
                          std::uint64_t seed, base::duration length);

} // namespace pimentograde::load

#endif
