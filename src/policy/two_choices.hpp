#ifndef PIMENTOGRADE_POLICY_TWO_CHOICES_HPP
#define PIMENTOGRADE_POLICY_TWO_CHOICES_HPP

#include "base/random_source.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace pimentograde::policy
{

/// Picks two workers at random and returns the index of the one with fewer
/// known used slots (power of two choices). `used_slots` has one entry per
/// eligible worker; returns nullopt if it is empty. Used while a broker is
/// unreachable and as the baseline of benchmarks.
std::optional<std::size_t>
choose_of_two(std::span<const std::uint32_t> used_slots,
              base::random_source& random);

} // namespace pimentograde::policy

#endif
