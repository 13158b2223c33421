#ifndef PIMENTOGRADE_JOBS_WEIGHTED_USE_HPP
#define PIMENTOGRADE_JOBS_WEIGHTED_USE_HPP

#include <cstdint>
#include <map>
#include <string_view>

namespace pimentograde::jobs
{

/// Whether, in a full pool, tenants below their weighted part of the used cores
/// go before those above it.
inline constexpr bool is_weighted_order_on = false;

/// Use of one pool by tenants with open jobs there, compared with their
/// weights. A tenant's part is its weight divided by the weights of all these
/// tenants. While the pool has room for all waiting tasks, the order has no
/// effect.
class weighted_use
{
public:
    /// Adds the use of one job. The name has to outlive this object.
    void add(std::string_view tenant, double weight, std::int64_t cpu_millis);
    [[nodiscard]] bool is_above_part(std::string_view tenant) const;

private:
    struct entry
    {
        double weight = 0.0;
        std::int64_t cpu_millis = 0;
    };
    std::map<std::string_view, entry> tenants_;
    double weights_ = 0.0;
    std::int64_t cpu_millis_ = 0;
};

} // namespace pimentograde::jobs

#endif
