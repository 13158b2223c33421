#ifndef PIMENTOGRADE_FLEET_RECENT_ORDERS_HPP
#define PIMENTOGRADE_FLEET_RECENT_ORDERS_HPP

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

/// An order to a machine that a holder of the machine role may have sent.
struct recorded_order
{
    std::string machine;
    /// The wave of a maintenance order; 0 for a move.
    std::int64_t wave = 0;

    bool operator==(const recorded_order&) const = default;
};

/// The machines that earlier holders of the machine role may have ordered
/// within the pause that two holders have to keep. Each holder records its
/// orders before it sends them, under leases of the store that end after the
/// pause, so that the next one may order all other machines at once. Designed
/// for bursts during which the role changes hands.
class recent_orders
{
public:
    /// Holds back all machines until the records have been read.
    void clear();
    /// Applies the records of earlier holders that still exist. `is_readable`
    /// is false if one of them cannot be read: any machine may be meant.
    void set_inherited(std::span<const recorded_order> orders,
                       bool is_readable);
    [[nodiscard]] bool is_read() const { return is_read_; }
    /// Whether the records have to be read again: some hold machines back.
    [[nodiscard]] bool is_waiting() const
    {
        return !is_readable_ || !inherited_.empty();
    }
    [[nodiscard]] bool is_held_back(const std::string& machine) const
    {
        return !is_read_ || !is_readable_ || inherited_.contains(machine);
    }
    /// Machines of the wave that earlier holders may have ordered.
    [[nodiscard]] std::vector<std::string>
    machines_of_wave(std::int64_t wave) const;

private:
    bool is_read_ = false;
    bool is_readable_ = true;
    /// The wave, by machine.
    std::map<std::string, std::int64_t, std::less<>> inherited_;
};

} // namespace pimentograde::fleet

#endif
