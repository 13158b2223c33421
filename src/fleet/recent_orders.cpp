#include "fleet/recent_orders.hpp"

namespace pimentograde::fleet
{

void recent_orders::clear()
{
    *this = {};
}

void recent_orders::set_inherited(std::span<const recorded_order> orders,
                                  bool is_readable)
{
    is_read_ = true;
    is_readable_ = is_readable;
    inherited_.clear();
    for (const recorded_order& entry : orders)
        inherited_.emplace(entry.machine, entry.wave);
}

std::vector<std::string>
recent_orders::machines_of_wave(std::int64_t wave) const
{
    std::vector<std::string> machines;
    for (const auto& [machine, ordered_wave] : inherited_)
        if (ordered_wave == wave)
            machines.push_back(machine);
    return machines;
}

} // namespace pimentograde::fleet
