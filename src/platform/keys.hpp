#ifndef PIMENTOGRADE_PLATFORM_KEYS_HPP
#define PIMENTOGRADE_PLATFORM_KEYS_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentograde::platform
{

/// What operators write in the store.
inline constexpr std::string_view operator_prefix = "op/";
inline constexpr std::string_view configuration_key = "op/config";
inline constexpr std::string_view wave_prefix = "op/wave/";
/// Entries that workers write, each under its id.
inline constexpr std::string_view worker_prefix = "servers/";

/// Where operators read the status of a wave.
inline std::string wave_status_key(std::int64_t wave)
{
    return "status/wave/" + std::to_string(wave);
}

} // namespace pimentograde::platform

#endif
