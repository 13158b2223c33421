#ifndef PIMENTOGRADE_PLATFORM_MACHINE_CLIENT_HPP
#define PIMENTOGRADE_PLATFORM_MACHINE_CLIENT_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"
#include "net/endpoint.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::platform
{

/// The instance that gives orders to machines, and its fence.
struct machine_authority
{
    std::string holder;
    std::int64_t fence = 0;
    /// Whether the order may still be given; asked right before it is sent.
    std::function<bool()> may_order{};
};

enum class machine_answer
{
    /// Ordered, or already as ordered.
    done,
    busy,
    fenced_off,
    /// The wave does not hold the machine.
    not_in_wave,
    /// No such machine, or a pool of other machines.
    invalid
};

std::string_view to_string(machine_answer answer);

/// Lists machines and gives orders to them. Calls throw `base::error`.
class machine_client
{
public:
    machine_client(net::http_client& client, net::endpoint where)
        : client_(client), where_(std::move(where))
    {
    }

    std::vector<fleet::machine> list(base::time_point deadline);
    machine_answer move(const machine_authority& authority,
                        const std::string& machine, const std::string& pool,
                        base::time_point deadline);
    machine_answer maintain(const machine_authority& authority,
                            const std::string& machine, std::int64_t wave,
                            base::time_point deadline);

private:
    net::http_client& client_;
    net::endpoint where_;
};

} // namespace pimentograde::platform

#endif
