#ifndef PIMENTOGRADE_FLEET_RECENT_ORDERS_HPP
#define PIMENTOGRADE_FLEET_RECENT_ORDERS_HPP

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

/// An order to a machine that a holder of the machine role is about to send.
struct recorded_order
{
    std::string machine;
    /// The wave of a maintenance order; 0 for a move.
    std::int64_t wave = 0;

    bool operator==(const recorded_order&) const = default;
};

/// The machines that were ordered lately, by this holder of the machine role or
/// by earlier ones. Each holder records its orders before it sends them, so
/// that the next one may order all other machines at once and leaves only the
/// recorded ones alone for the pause that two holders have to keep. Designed
/// for bursts during which the role changes hands.
class recent_orders
{
public:
    /// `pause` is the time between orders of two holders for one machine.
    explicit recent_orders(base::duration pause) : pause_(pause) {}

    /// Forgets all orders, when the role is lost.
    void clear();
    /// Applies the stored record of earlier holders, read after the claim.
    void inherit(std::span<const recorded_order> orders, base::time_point now);
    /// The record cannot be read: holds back every machine for the pause.
    void inherit_unknown(base::time_point now)
    {
        unknown_until_ = now + pause_;
    }
    /// Whether an earlier holder may have ordered the machine so lately that
    /// this one must not.
    [[nodiscard]] bool is_held_back(const std::string& machine,
                                    base::time_point now) const;
    /// Orders that the holder is about to send. Returns whether they must be
    /// recorded first, which is not the case if they already are.
    bool add(std::span<const recorded_order> orders, base::time_point now);
    /// What to record: all orders within the pause, also inherited ones.
    [[nodiscard]] std::vector<recorded_order>
    to_record(base::time_point now) const;
    /// `orders` have been stored, in place of what was recorded before.
    void note_recorded(std::span<const recorded_order> orders);
    /// Whether the stored record holds only orders that no longer matter.
    [[nodiscard]] bool is_record_obsolete(base::time_point now) const;

private:
    struct known_order
    {
        std::int64_t wave = 0;
        base::time_point at{};
        bool is_inherited = false;
    };

    [[nodiscard]] bool is_recent(const known_order& order,
                                 base::time_point now) const
    {
        return now - order.at < pause_;
    }

    base::duration pause_;
    std::map<std::string, known_order, std::less<>> orders_;
    std::set<std::string, std::less<>> recorded_;
    base::time_point unknown_until_{};
};

} // namespace pimentograde::fleet

#endif
