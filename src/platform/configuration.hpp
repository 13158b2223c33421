#ifndef PIMENTOGRADE_PLATFORM_CONFIGURATION_HPP
#define PIMENTOGRADE_PLATFORM_CONFIGURATION_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"
#include "jobs/job_spec.hpp"

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

/// The operators' configuration in full.
struct configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> queues;
    std::vector<pool_settings> pools;
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
