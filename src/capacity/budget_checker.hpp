#ifndef PIMENTOGRADE_CAPACITY_BUDGET_CHECKER_HPP
#define PIMENTOGRADE_CAPACITY_BUDGET_CHECKER_HPP

#include "capacity/fleet_state.hpp"
#include "config/bundle.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::capacity
{

/// State of one budget. Counts are workers.
struct budget_finding
{
    config::budget budget;
    std::uint32_t serving = 0;
    /// After the planned drains.
    std::uint32_t after_drains = 0;
    /// Loss by the worst further failure that the budget has to survive.
    std::uint32_t worst_loss = 0;
    /// `zone/rack` or zone of that failure; empty when none.
    std::string worst_domain;
    /// After the planned drains and the worst further failure.
    std::uint32_t remaining = 0;

    [[nodiscard]] bool broken_now() const
    {
        return serving < budget.min_workers;
    }
    [[nodiscard]] bool holds() const { return remaining >= budget.min_workers; }
    /// One sentence for operators.
    [[nodiscard]] std::string reason() const;
};

/// Serving workers by pool and failure domain, from which drains are deducted
/// one after another.
class serving_ledger
{
public:
    serving_ledger(const config::bundle& bundle, const fleet_state& state);
    ~serving_ledger();
    serving_ledger(serving_ledger&&) noexcept;
    serving_ledger& operator=(serving_ledger&&) noexcept;

    /// Deducts a worker. Does nothing for one that does not serve.
    void remove(const base::worker_id& worker);
    /// The first budget that would break if `worker` were drained as well.
    [[nodiscard]] std::optional<budget_finding>
    breach_without(const base::worker_id& worker);
    /// Whether `worker` could be drained without breaking a budget if each of
    /// `covers` served in its pool as well.
    [[nodiscard]] bool allows_with(const base::worker_id& worker,
                                   std::span<const base::worker_id> covers);
    /// All budgets of `pool`.
    [[nodiscard]] std::vector<budget_finding>
    findings(const base::pool_name& pool) const;
    [[nodiscard]] std::vector<budget_finding> findings() const;
    /// Workers of `pool` that may be drained at once, whichever they are, when
    /// all its workers serve.
    [[nodiscard]] std::uint32_t
    room_when_whole(const base::pool_name& pool) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Evaluates the availability budgets of a bundle.
class budget_checker
{
public:
    /// Keeps a reference to `bundle`.
    explicit budget_checker(const config::bundle& bundle) : bundle_(bundle) {}

    /// Each budget now, after `drains`, and after the worst further failure.
    [[nodiscard]] std::vector<budget_finding>
    evaluate(const fleet_state& state,
             std::span<const base::worker_id> drains = {}) const;

    /// The first budget that `drains` would break.
    [[nodiscard]] std::optional<budget_finding>
    would_break(const fleet_state& state,
                std::span<const base::worker_id> drains) const;

private:
    const config::bundle& bundle_;
};

} // namespace pimentograde::capacity

#endif
