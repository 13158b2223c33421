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
    /// A lent slot is returned within this time (design, section 5).
    base::duration max_loan_time = std::chrono::seconds{3};
    /// Share of the lender's slots reserved for its own new urgent requests.
    double reserve_ratio = 0.1;
    std::uint32_t min_reserve = 1;
};

/// Load of a pool that is asked to lend a slot.
struct lender_load
{
    /// Slots of workers that accept tasks.
    std::uint32_t slots = 0;
    /// Used slots, including lent ones.
    std::uint32_t used = 0;
    std::uint32_t lent = 0;
    /// Slots of the workers required by the availability budgets of the pool's
    /// departments. They are never lent.
    std::uint32_t guaranteed = 0;
    std::uint32_t own_waiting = 0;
};

enum class lending_verdict
{
    lend,
    /// The task may run longer than the maximum loan time.
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
    /// Nullopt if unknown.
    std::optional<std::uint32_t> idle_slots;
};

/// Decides when a pool lends a slot and which pools are asked to lend.
class lending_policy
{
public:
    explicit lending_policy(lending_settings settings = {});

    [[nodiscard]] const lending_settings& settings() const { return settings_; }
    /// Whether the task can return its slot within the maximum loan time.
    [[nodiscard]] bool is_lendable(const slot_request& request) const;
    [[nodiscard]] lending_verdict decide(const lender_load& load,
                                         const slot_request& request) const;
    /// Number of slots that are not lent.
    [[nodiscard]] std::uint32_t reserve(std::uint32_t slots) const;

    /// Sorts lenders in the order in which they are asked: spare pools first,
    /// then by idle slots, descending, with unknown numbers last. Pools known
    /// to have no idle slots are omitted.
    [[nodiscard]] static std::vector<base::pool_name>
    order(std::vector<lender_candidate> candidates);

private:
    lending_settings settings_;
};

} // namespace pimentograde::policy

#endif
