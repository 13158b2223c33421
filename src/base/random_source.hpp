#ifndef PIMENTOGRADE_BASE_RANDOM_SOURCE_HPP
#define PIMENTOGRADE_BASE_RANDOM_SOURCE_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace pimentograde::base
{

/// Seeded pseudo-random numbers for jitter, sampling and ids that are not
/// secret.
class random_source
{
public:
    /// Seeds from the system's entropy.
    random_source();
    explicit random_source(std::uint64_t seed);

    /// A number in [0, bound); 0 when `bound` is 0.
    std::size_t below(std::size_t bound);
    /// A number in [0, 1).
    double unit();
    /// A duration in [0, upper).
    duration jitter(duration upper);
    std::uint64_t bits();
    /// 16 hexadecimal digits.
    std::string hex_id();

private:
    std::mt19937_64 engine_;
};

} // namespace pimentograde::base

#endif
