#ifndef PIMENTOGRADE_PLATFORM_WORKER_CLIENT_HPP
#define PIMENTOGRADE_PLATFORM_WORKER_CLIENT_HPP

#include "base/time.hpp"
#include "jobs/worker_report.hpp"
#include "net/endpoint.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace pimentograde::platform
{

/// Whom an order is meant for, and by whose authority.
struct order_target
{
    net::endpoint where;
    /// The life of the worker that the order is meant for.
    std::string worker;
    /// The owner's fence; the worker ignores a lower one than it has seen.
    std::int64_t fence = 0;
    /// Whether the order may still be given; asked right before it is sent.
    std::function<bool()> may_order{};
};

/// A report, and the worker's clock as it answered.
struct worker_listing
{
    enum class kind
    {
        listed,
        /// A higher fence has been seen there.
        fenced_off,
        /// Another life of the worker, or another worker, answers there.
        replaced,
        /// The worker is unhealthy and has done nothing.
        unhealthy
    };
    kind outcome = kind::listed;
    std::int64_t clock_ms = 0;
    jobs::worker_report report;
};

/// What a look at a worker asks for.
struct listing_request
{
    /// Ends up to this one are stored here, so the worker may forget them.
    std::int64_t stored_end = 0;
    /// New end of the lease on the worker's clock; 0 leaves it.
    std::int64_t lease_until_ms = 0;
    /// How long the worker may wait for an end.
    base::duration wait{};
};

struct start_result
{
    jobs::start_answer answer = jobs::start_answer::unknown;
    /// A higher fence has been seen there.
    bool is_fenced_off = false;
    bool is_replaced = false;
};

/// Orders to workers. Calls throw `base::error`; `unavailable` means that
/// nothing was sent.
class worker_client
{
public:
    explicit worker_client(net::http_client& client) : client_(client) {}

    /// `lease_until_ms` also bounds how late the order may take effect.
    start_result start(const order_target& target,
                       const jobs::start_order& order,
                       std::int64_t lease_until_ms, base::time_point deadline);
    /// Returns whether the worker acknowledged the stop.
    bool stop(const order_target& target, const jobs::stop_order& order,
              base::time_point deadline);
    worker_listing list(const order_target& target,
                        const listing_request& request,
                        base::time_point deadline);

private:
    net::http_client& client_;
};

} // namespace pimentograde::platform

#endif
