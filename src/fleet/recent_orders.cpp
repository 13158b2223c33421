#include "fleet/recent_orders.hpp"

#include <algorithm>

namespace pimentograde::fleet
{

void recent_orders::clear()
{
    orders_.clear();
    recorded_.clear();
    unknown_until_ = {};
}

void recent_orders::inherit(std::span<const recorded_order> orders,
                            base::time_point now)
{
    for (const recorded_order& entry : orders)
        orders_[entry.machine] = {entry.wave, now, true};
    note_recorded(orders);
}

bool recent_orders::is_held_back(const std::string& machine,
                                 base::time_point now) const
{
    if (now < unknown_until_)
        return true;
    const auto found = orders_.find(machine);
    return found != orders_.end() && found->second.is_inherited &&
           is_recent(found->second, now);
}

bool recent_orders::add(std::span<const recorded_order> orders,
                        base::time_point now)
{
    for (const recorded_order& entry : orders)
        orders_[entry.machine] = {entry.wave, now, false};
    return std::any_of(orders.begin(), orders.end(),
                       [this](const recorded_order& entry)
                       { return !recorded_.contains(entry.machine); });
}

std::vector<recorded_order> recent_orders::to_record(base::time_point now) const
{
    std::vector<recorded_order> result;
    for (const auto& [machine, order] : orders_)
        if (is_recent(order, now))
            result.push_back({machine, order.wave});
    return result;
}

void recent_orders::note_recorded(std::span<const recorded_order> orders)
{
    recorded_.clear();
    for (const recorded_order& entry : orders)
        recorded_.insert(entry.machine);
}

bool recent_orders::is_record_obsolete(base::time_point now) const
{
    return !recorded_.empty() &&
           std::none_of(orders_.begin(), orders_.end(),
                        [&](const auto& entry)
                        { return is_recent(entry.second, now); });
}

} // namespace pimentograde::fleet
