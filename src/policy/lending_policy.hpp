#ifndef PIMENTOGRADE_POLICY_LENDING_POLICY_HPP
#define PIMENTOGRADE_POLICY_LENDING_POLICY_HPP

#include "base/strong_id.hpp"
#include "base/time.hpp"
#include "policy/slot.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentograde::policy
{

struct lending_settings
{
    /// A lender has each slot back within this time (design, section 5).
    base::duration bound = std::chrono::seconds{3};
    /// Share of the lender's slots held back for its own urgent arrivals.
    double reserve_ratio = 0.1;
    std::uint32_t min_reserve = 1;
};

/// The state of a pool that is asked for a slot.
struct lender_load
{
    /// Slots of workers that take work.
    std::uint32_t slots = 0;
    /// Used slots, including lent ones.
    std::uint32_t used = 0;
    std::uint32_t lent = 0;
    /// Slots of the workers that the availability budgets of the pool's
    /// departments require. They are never lent.
    std::uint32_t guaranteed = 0;
    std::uint32_t own_waiting = 0;
};

enum class lending_verdict
{
    lend,
    /// The task may take longer than the bound.
    too_long,
    own_work_waiting,
    reserve,
    budget
};

std::string_view to_string(lending_verdict verdict);

/// A pool that may lend.
struct lender_candidate
{
    base::pool_name pool;
    bool spare = false;
    /// Nothing when unknown.
    std::optional<std::uint32_t> idle_slots;
};

/// Decides when a slot is lent or borrowed.
class lending_policy
{
public:
    explicit lending_policy(lending_settings settings = {});

    [[nodiscard]] const lending_settings& settings() const { return settings_; }
    /// Whether a slot for the task returns within the bound.
    [[nodiscard]] bool is_lendable(const slot_request& request) const;
    [[nodiscard]] lending_verdict decide(const lender_load& load,
                                         const slot_request& request) const;
    /// Slots held back from borrowers.
    [[nodiscard]] std::uint32_t reserve(std::uint32_t slots) const;

    /// The order in which to ask: spare pools, then the most idle slots. Pools
    /// that are known to have none are left out; unknown ones come last.
    [[nodiscard]] static std::vector<base::pool_name>
    order(std::vector<lender_candidate> candidates);

private:
    lending_settings settings_;
};

} // namespace pimentograde::policy

#endif
