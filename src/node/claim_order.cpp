#include "node/claim_order.hpp"

#include <algorithm>
#include <vector>

namespace pimentograde::node
{

namespace
{

// Added to the claim delay for each rank; rank 0 claims at once.
constexpr std::chrono::milliseconds turn_delay{200};
// Bounds the delay when listed instances do not claim.
constexpr std::size_t max_turns = 10;
// When all instances start together, they register before any claims a role.
constexpr std::chrono::milliseconds settle_time{400};
constexpr std::chrono::seconds common_start{2};

// A hand-over interrupts the pool for about 0.1 s, so the gain must be large.
constexpr double hand_over_factor = 2.0;

struct turn
{
    const claim_candidate* candidate = nullptr;
    std::size_t roles_held = 0;

    [[nodiscard]] double cores_per_role() const
    {
        return candidate->cores / static_cast<double>(roles_held + 1);
    }
    [[nodiscard]] bool goes_before(const turn& other) const
    {
        if (cores_per_role() != other.cores_per_role())
            return cores_per_role() > other.cores_per_role();
        if (roles_held != other.roles_held)
            return roles_held < other.roles_held;
        return candidate->registered_revision >
               other.candidate->registered_revision;
    }
};

std::vector<turn> turns_of(std::span<const claim_candidate> candidates,
                           std::span<const role_holding> roles)
{
    std::vector<turn> turns;
    for (const claim_candidate& entry : candidates)
    {
        const auto held = std::count_if(roles.begin(), roles.end(),
                                        [&](const role_holding& holding) {
                                            return !holding.node.empty() &&
                                                   holding.node == entry.name;
                                        });
        turns.push_back({&entry, static_cast<std::size_t>(held)});
    }
    return turns;
}

std::vector<turn>::const_iterator find_turn(const std::vector<turn>& turns,
                                            std::string_view name)
{
    return std::find_if(turns.begin(), turns.end(),
                        [&](const turn& entry)
                        { return entry.candidate->name == name; });
}

void sort_turns(std::vector<turn>& turns)
{
    std::sort(turns.begin(), turns.end(),
              [](const turn& left, const turn& right)
              { return left.goes_before(right); });
}

} // namespace

std::size_t claim_position(std::span<const claim_candidate> candidates,
                           std::span<const role_holding> roles,
                           std::string_view role, std::string_view own_name)
{
    std::vector<turn> turns = turns_of(candidates, roles);
    // Each free role listed before this one counts for the instance ranked
    // first.
    for (const role_holding& entry : roles)
    {
        sort_turns(turns);
        if (entry.role == role)
            break;
        if (entry.node.empty() && !turns.empty())
            ++turns.front().roles_held;
    }
    return static_cast<std::size_t>(find_turn(turns, own_name) - turns.begin());
}

bool should_hand_over(std::span<const claim_candidate> candidates,
                      std::span<const role_holding> roles,
                      std::string_view own_name)
{
    const std::vector<turn> turns = turns_of(candidates, roles);
    const auto own = find_turn(turns, own_name);
    if (own == turns.end() || own->roles_held == 0)
        return false;
    const double own_share =
        own->candidate->cores / static_cast<double>(own->roles_held);
    return std::any_of(turns.begin(), turns.end(),
                       [&](const turn& entry)
                       {
                           return entry.candidate->name != own_name &&
                                  entry.cores_per_role() >
                                      hand_over_factor * own_share;
                       });
}

base::duration claim_delay(std::span<const claim_candidate> candidates,
                           std::span<const role_holding> roles,
                           std::string_view role, std::string_view own_name,
                           base::duration registered_for)
{
    const bool is_resumed =
        std::any_of(roles.begin(), roles.end(),
                    [&](const role_holding& entry)
                    { return entry.role == role && entry.node == own_name; });
    if (is_resumed)
        return base::duration::zero();
    const std::size_t position =
        claim_position(candidates, roles, role, own_name);
    const base::duration settle = registered_for < common_start
                                      ? base::duration(settle_time)
                                      : base::duration::zero();
    return settle +
           turn_delay * static_cast<int>(std::min(position, max_turns));
}

} // namespace pimentograde::node
