#ifndef PIMENTOGRADE_PLATFORM_CONFIGURATION_HPP
#define PIMENTOGRADE_PLATFORM_CONFIGURATION_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/tenant.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::platform
{

/// A queue and the requests that belong to it.
struct queue_route
{
    std::string host;
    /// Longest matching prefix of the path wins.
    std::string path_prefix;
    base::duration timeout{};
    jobs::queue_policy policy;
    /// Its calls need no key.
    bool is_public = false;
};

/// A pool of workers.
struct pool_settings
{
    std::string name;
    /// Its machines are off and cost nothing.
    bool is_standby = false;
    /// Its workers reject what does not fit.
    bool enforces_capacity = false;
};

/// A tenant and the keys of its callers.
struct tenant_settings
{
    jobs::tenant_policy policy;
    /// SHA-256 of each key, see `base::sha256_hex`. The keys themselves are not
    /// kept.
    std::vector<std::string> key_digests;
};

/// The operators' configuration in full.
struct configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> queues;
    std::vector<pool_settings> pools;
    std::vector<tenant_settings> tenants;
    /// The configuration names tenants, so that calls need a key.
    bool has_tenants = false;
    std::size_t max_body_bytes = 262'144;

    /// Whether the pool is configured with machines that are on, so that an
    /// instance owns it.
    [[nodiscard]] bool has_active_pool(std::string_view pool) const;
    /// The queue of a request; null when none matches.
    [[nodiscard]] const queue_route* match(std::string_view host,
                                           std::string_view path) const;
};

/// Both throw `base::error` with `invalid`.
configuration read_configuration(std::string_view text);
fleet::maintenance_wave read_wave(std::string_view text);

/// The status of a wave, as operators read it.
std::string write_wave_status(bool is_completed);

} // namespace pimentograde::platform

#endif
