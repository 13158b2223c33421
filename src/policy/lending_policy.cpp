#include "policy/lending_policy.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pimentograde::policy
{

std::string_view to_string(lending_verdict verdict)
{
    switch (verdict)
    {
    case lending_verdict::lend:
        return "lend";
    case lending_verdict::too_long:
        return "too_long";
    case lending_verdict::own_work_waiting:
        return "own_work_waiting";
    case lending_verdict::reserve:
        return "reserve";
    case lending_verdict::budget:
        return "budget";
    }
    return "unknown";
}

lending_policy::lending_policy(lending_settings settings) : settings_(settings)
{
}

bool lending_policy::is_lendable(const slot_request& request) const
{
    // A task with an unknown run time (0) may exceed the maximum loan time.
    const bool is_short = request.expected_time > base::duration::zero() &&
                          request.expected_time <= settings_.max_loan_time;
    return is_short || request.checkpointable;
}

std::uint32_t lending_policy::reserve(std::uint32_t slots) const
{
    const auto share = static_cast<std::uint32_t>(
        std::ceil(settings_.reserve_ratio * static_cast<double>(slots)));
    return std::max(share, settings_.min_reserve);
}

lending_verdict lending_policy::decide(const lender_load& load,
                                       const slot_request& request) const
{
    if (!is_lendable(request))
        return lending_verdict::too_long;
    if (load.own_waiting > 0)
        return lending_verdict::own_work_waiting;
    if (load.used + 1 + reserve(load.slots) > load.slots)
        return lending_verdict::reserve;
    if (load.lent + 1 + load.guaranteed > load.slots)
        return lending_verdict::budget;
    return lending_verdict::lend;
}

std::vector<base::pool_name>
lending_policy::order(std::vector<lender_candidate> candidates)
{
    std::erase_if(candidates, [](const lender_candidate& candidate)
                  { return candidate.idle_slots == 0U; });
    const auto rank = [](const lender_candidate& candidate)
    {
        return std::tuple(
            !candidate.spare, !candidate.idle_slots.has_value(),
            -static_cast<std::int64_t>(candidate.idle_slots.value_or(0)));
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const auto& left, const auto& right)
                     { return rank(left) < rank(right); });
    std::vector<base::pool_name> names;
    names.reserve(candidates.size());
    for (auto& candidate : candidates)
        names.push_back(std::move(candidate.pool));
    return names;
}

} // namespace pimentograde::policy
