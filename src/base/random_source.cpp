#include "base/random_source.hpp"

#include <cstdio>

namespace pimentograde::base
{

namespace
{

std::uint64_t entropy_seed()
{
    std::random_device device;
    constexpr int half_bits = 32;
    return (std::uint64_t{device()} << half_bits) | device();
}

} // namespace

random_source::random_source() : engine_(entropy_seed()) {}

random_source::random_source(std::uint64_t seed) : engine_(seed) {}

std::size_t random_source::below(std::size_t bound)
{
    if (bound == 0)
        return 0;
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(engine_);
}

double random_source::unit()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(engine_);
}

duration random_source::jitter(duration upper)
{
    const auto share = unit() * static_cast<double>(upper.count());
    return duration{static_cast<duration::rep>(share)};
}

std::uint64_t random_source::bits()
{
    return engine_();
}

std::string random_source::hex_id()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(bits()));
    return text;
}

} // namespace pimentograde::base
