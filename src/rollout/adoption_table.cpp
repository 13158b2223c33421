#include "rollout/adoption_table.hpp"

#include <algorithm>

namespace pimentograde::rollout
{

void adoption_table::heard(const peer::heartbeat& beat)
{
    states_[beat.sender.id] = beat.bundle;
}

void adoption_table::forget(const base::member_id& member)
{
    states_.erase(member);
}

std::vector<adoption> adoption_table::list() const
{
    std::vector<adoption> result;
    for (const auto& [member, state] : states_)
        result.push_back({member, state.version, state.adopted_at});
    return result;
}

bool adoption_table::in_force(std::uint64_t version) const
{
    return std::all_of(states_.begin(), states_.end(),
                       [&](const auto& item)
                       { return item.second.version >= version; });
}

} // namespace pimentograde::rollout
