#ifndef PIMENTOGRADE_TESTS_POLICY_HISTORIES_HPP
#define PIMENTOGRADE_TESTS_POLICY_HISTORIES_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pimentograde::tests
{

/// Each number is decoded into one event of a history.
using history = std::vector<std::uint32_t>;
/// Runs a history; returns the first violation, if any, that the check is made
/// for.
using history_check = std::function<std::optional<std::string>(const history&)>;

inline history random_history(std::uint64_t seed, std::size_t length)
{
    std::mt19937_64 engine(seed);
    history events;
    events.reserve(length);
    for (std::size_t index = 0; index < length; ++index)
        events.push_back(static_cast<std::uint32_t>(engine()));
    return events;
}

struct found_violation
{
    std::uint64_t seed = 0;
    std::string cause;
};

/// The first seed up to 200 whose history of `length` events is violated.
inline std::optional<found_violation> find_violation(const history_check& check,
                                                     std::size_t length)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        if (const auto cause = check(random_history(seed, length)))
            return found_violation{seed, *cause};
    return std::nullopt;
}

} // namespace pimentograde::tests

#endif
