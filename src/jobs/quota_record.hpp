#ifndef PIMENTOGRADE_JOBS_QUOTA_RECORD_HPP
#define PIMENTOGRADE_JOBS_QUOTA_RECORD_HPP

#include "jobs/job_spec.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace pimentograde::jobs
{

/// The resources that a cap limits.
inline constexpr std::array<std::int64_t resource_amount::*, 3> quota_resources{
    &resource_amount::cpu_millis, &resource_amount::memory_mb,
    &resource_amount::gpus};

/// How the cap of one tenant is divided among the pools, as it is stored.
struct quota_record
{
    using amounts = std::map<std::string, resource_amount, std::less<>>;

    amounts grants;
    /// What the pools whose grant does not suffice would need in all.
    amounts wanted;

    [[nodiscard]] resource_amount grant_of(std::string_view pool) const;
    [[nodiscard]] resource_amount total() const;
    bool operator==(const quota_record&) const = default;
};

std::string encode_quota(const quota_record& record);
/// Throws `base::error` with `invalid`.
quota_record decode_quota(std::string_view text);

} // namespace pimentograde::jobs

#endif
