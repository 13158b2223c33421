#include "node/claim_order.hpp"

#include <algorithm>
#include <vector>

namespace pimentograde::node
{

namespace
{

// Added to the claim delay for each rank; rank 0 claims at once.
constexpr std::chrono::milliseconds delay_per_rank{200};
// Bounds the delay when listed instances do not claim.
constexpr std::size_t max_delayed_ranks = 10;
// When all instances start together, they register before any claims a role.
constexpr std::chrono::milliseconds registration_wait{400};
constexpr std::chrono::seconds joint_start_window{2};

// A hand-over interrupts the pool for about 0.1 s, so the gain must be large.
constexpr double min_hand_over_gain = 2.0;

struct ranked_candidate
{
    const claim_candidate* candidate = nullptr;
    std::size_t roles_held = 0;

    [[nodiscard]] double cores_per_role() const
    {
        return candidate->cores / static_cast<double>(roles_held + 1);
    }
    [[nodiscard]] bool ranks_before(const ranked_candidate& other) const
    {
        if (cores_per_role() != other.cores_per_role())
            return cores_per_role() > other.cores_per_role();
        if (roles_held != other.roles_held)
            return roles_held < other.roles_held;
        return candidate->registered_revision >
               other.candidate->registered_revision;
    }
};

std::vector<ranked_candidate>
make_ranking(std::span<const claim_candidate> candidates,
             std::span<const role_holding> roles)
{
    std::vector<ranked_candidate> ranking;
    for (const claim_candidate& entry : candidates)
    {
        const auto held = std::count_if(roles.begin(), roles.end(),
                                        [&](const role_holding& holding) {
                                            return !holding.node.empty() &&
                                                   holding.node == entry.name;
                                        });
        ranking.push_back({&entry, static_cast<std::size_t>(held)});
    }
    return ranking;
}

std::vector<ranked_candidate>::const_iterator
find_ranked(const std::vector<ranked_candidate>& ranking, std::string_view name)
{
    return std::find_if(ranking.begin(), ranking.end(),
                        [&](const ranked_candidate& entry)
                        { return entry.candidate->name == name; });
}

void sort_ranking(std::vector<ranked_candidate>& ranking)
{
    std::sort(ranking.begin(), ranking.end(),
              [](const ranked_candidate& left, const ranked_candidate& right)
              { return left.ranks_before(right); });
}

} // namespace

std::size_t claim_rank(std::span<const claim_candidate> candidates,
                       std::span<const role_holding> roles,
                       std::string_view role, std::string_view own_name)
{
    std::vector<ranked_candidate> ranking = make_ranking(candidates, roles);
    // Each free role listed before this one counts for the instance ranked
    // first.
    for (const role_holding& entry : roles)
    {
        sort_ranking(ranking);
        if (entry.role == role)
            break;
        if (entry.node.empty() && !ranking.empty())
            ++ranking.front().roles_held;
    }
    return static_cast<std::size_t>(find_ranked(ranking, own_name) -
                                    ranking.begin());
}

bool should_hand_over(std::span<const claim_candidate> candidates,
                      std::span<const role_holding> roles,
                      std::string_view own_name)
{
    const std::vector<ranked_candidate> ranking =
        make_ranking(candidates, roles);
    const auto own = find_ranked(ranking, own_name);
    if (own == ranking.end() || own->roles_held == 0)
        return false;
    const double own_share =
        own->candidate->cores / static_cast<double>(own->roles_held);
    return std::any_of(ranking.begin(), ranking.end(),
                       [&](const ranked_candidate& entry)
                       {
                           return entry.candidate->name != own_name &&
                                  entry.cores_per_role() >
                                      min_hand_over_gain * own_share;
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
    const std::size_t rank = claim_rank(candidates, roles, role, own_name);
    const base::duration wait = registered_for < joint_start_window
                                    ? base::duration(registration_wait)
                                    : base::duration::zero();
    return wait +
           delay_per_rank * static_cast<int>(std::min(rank, max_delayed_ranks));
}

} // namespace pimentograde::node
