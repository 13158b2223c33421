#ifndef PIMENTOGRADE_CONFIG_BUNDLE_WORDS_HPP
#define PIMENTOGRADE_CONFIG_BUNDLE_WORDS_HPP

#include <array>
#include <string_view>

namespace pimentograde::config
{

// Words of the format, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> priority_words{"urgent",
                                                                "batch"};
inline constexpr std::array<std::string_view, 3> survive_words{"none", "rack",
                                                               "zone"};
inline constexpr std::array<std::string_view, 3> role_words{"viewer", "author",
                                                            "reviewer"};

} // namespace pimentograde::config

#endif
