#ifndef PIMENTOGRADE_TOOLS_LOAD_CAPACITY_WAVE_RUN_HPP
#define PIMENTOGRADE_TOOLS_LOAD_CAPACITY_WAVE_RUN_HPP

#include "capacity/buffer_planner.hpp"
#include "config/bundle.hpp"

#include <cstdint>

namespace pimentograde::load
{

struct wave_run_result
{
    /// Budgets that were below their minimum at some moment.
    std::uint32_t broken_budgets = 0;
    std::uint32_t cover_moves = 0;
    std::uint32_t workers = 0;
    std::uint32_t maintained = 0;
};

/// The deployment of `bundle` with as many workers as `option` asks for, spread
/// evenly over the zones; shared workers form a spare pool of their own.
config::bundle sized_bundle(const config::bundle& bundle,
                            const capacity::buffer_option& option);

/// One wave over all pools with at most 4 workers at once, in which a rack with
/// a worker under maintenance is lost halfway and comes back after 10 min.
/// `budgeted` false: drains by `max_parallel` only.
wave_run_result run_wave(const config::bundle& bundle, std::uint64_t seed,
                         bool budgeted);

} // namespace pimentograde::load

#endif
