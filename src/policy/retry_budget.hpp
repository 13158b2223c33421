#ifndef PIMENTOGRADE_POLICY_RETRY_BUDGET_HPP
#define PIMENTOGRADE_POLICY_RETRY_BUDGET_HPP

#include "base/strong_id.hpp"

#include <unordered_map>

namespace pimentograde::policy
{

/// Token bucket per department. Each first attempt adds `ratio` tokens and each
/// retry takes one. Buckets start empty, so the total number of attempts never
/// exceeds (1 + ratio) times the number of first attempts.
class retry_budget
{
public:
    static constexpr double default_ratio = 0.1;
    /// Limits how many retries accumulate between outages.
    static constexpr double default_capacity = 10;

    explicit retry_budget(double capacity = default_capacity);

    /// Sets the number of retries per first attempt; 0 disables retries.
    void set_ratio(const base::department_name& department, double ratio);
    void record_first_attempt(const base::department_name& department);
    /// Takes a token. Returns whether the retry is allowed.
    bool try_retry(const base::department_name& department);
    /// Returns the token of a retry that was not made.
    void refund(const base::department_name& department);
    [[nodiscard]] double tokens(const base::department_name& department) const;

private:
    struct bucket
    {
        double ratio = default_ratio;
        double tokens = 0;
    };

    double capacity_;
    std::unordered_map<base::department_name, bucket> buckets_;
};

} // namespace pimentograde::policy

#endif
