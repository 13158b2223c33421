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

/// A sequence of events. Each number is decoded into one event.
using history = std::vector<std::uint32_t>;
/// Runs a history and returns the first violation that the check looks for, if
/// any.
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

/// Returns the first seed up to 200 whose random history of `length` events
/// violates the check.
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
