#include "policy/two_choices.hpp"

namespace pimentograde::policy
{

std::optional<std::size_t>
choose_of_two(std::span<const std::uint32_t> used_slots,
              base::random_source& random)
{
    if (used_slots.empty())
        return std::nullopt;
    const auto first = random.below(used_slots.size());
    if (used_slots.size() == 1)
        return first;
    auto second = random.below(used_slots.size() - 1);
    if (second >= first)
        ++second;
    return used_slots[second] < used_slots[first] ? second : first;
}

} // namespace pimentograde::policy
