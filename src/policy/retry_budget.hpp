#ifndef PIMENTOGRADE_POLICY_RETRY_BUDGET_HPP
#define PIMENTOGRADE_POLICY_RETRY_BUDGET_HPP

#include "base/strong_id.hpp"

#include <unordered_map>

namespace pimentograde::policy
{

/// Token bucket per department. Each first attempt adds `ratio` tokens, each
/// retry takes one, and a bucket starts empty: attempts never exceed
/// (1 + ratio) times the first attempts, in any history.
class retry_budget
{
public:
    static constexpr double default_ratio = 0.1;
    /// Bounds the retries that a quiet period can save up for an outage.
    static constexpr double default_capacity = 10;

    explicit retry_budget(double capacity = default_capacity);

    /// `ratio` is a share of the first attempts, 0 for no retries.
    void set_ratio(const base::department_name& department, double ratio);
    void record_first_attempt(const base::department_name& department);
    /// Takes a token. Returns whether the retry is allowed.
    bool try_retry(const base::department_name& department);
    /// Returns a token that paid for a retry which was not made.
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
