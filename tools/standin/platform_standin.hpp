#ifndef PIMENTOGRADE_STANDIN_PLATFORM_STANDIN_HPP
#define PIMENTOGRADE_STANDIN_PLATFORM_STANDIN_HPP

#include "net/endpoint.hpp"
#include "provider/worker_operations.hpp"
#include "standin/execution_log.hpp"
#include "standin/fake_store.hpp"
#include "standin/fault_board.hpp"
#include "standin/worker_model.hpp"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace pimentograde::standin
{

class fake_worker;

/// The platform's test double: store, instance list, workers and a control
/// port, all on loopback. Everything runs on fibers of the building thread.
class platform_standin
{
public:
    class builder
    {
    public:
        /// Seeds the drawing of faults.
        builder& seed(std::uint64_t value);
        /// Port 0, the default, lets the system choose.
        builder& store_port(std::uint16_t port);
        builder& list_port(std::uint16_t port);
        builder& control_port(std::uint16_t port);
        /// Latency and rates of the store; none by default.
        builder& store_bounds(store_limits limits);
        /// Age of the instance list.
        builder& list_lag(base::duration length);
        builder& workers(std::vector<worker_settings> settings);
        /// Throws `base::error` when a port cannot be bound.
        std::unique_ptr<platform_standin> build();

    private:
        std::uint64_t seed_ = 1;
        std::uint16_t store_port_ = 0;
        std::uint16_t list_port_ = 0;
        std::uint16_t control_port_ = 0;
        store_limits store_limits_;
        base::duration list_lag_{};
        std::vector<worker_settings> workers_;
    };

    ~platform_standin();
    platform_standin(const platform_standin&) = delete;
    platform_standin& operator=(const platform_standin&) = delete;

    [[nodiscard]] net::endpoint store_endpoint() const;
    [[nodiscard]] net::endpoint list_endpoint() const;
    [[nodiscard]] net::endpoint control_endpoint() const;
    [[nodiscard]] std::vector<provider::worker_endpoint>
    worker_endpoints() const;

    /// Takes effect at once. Returns the fault's id.
    std::uint64_t set_fault(const fault& what);
    bool clear_fault(std::uint64_t id);
    void clear_faults();
    [[nodiscard]] const fault_board& faults() const;

    fake_store& store();
    /// Throws `base::error` with code `not_found`.
    fake_worker& worker(std::string_view id);
    [[nodiscard]] const execution_log& log() const;
    /// The instance list as it is reported now.
    [[nodiscard]] std::vector<provider::listed_instance> listed() const;

private:
    struct impl;
    explicit platform_standin(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

/// `count` workers named w001, w002 and so on with default settings, on
/// consecutive ports from `base_port`, or on ports that the system chooses
/// when it is 0.
std::vector<worker_settings> default_workers(std::size_t count,
                                             std::uint16_t base_port);

} // namespace pimentograde::standin

#endif
