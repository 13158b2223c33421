#ifndef PIMENTOGRADE_STANDIN_FAKE_STORE_HPP
#define PIMENTOGRADE_STANDIN_FAKE_STORE_HPP

#include "net/endpoint.hpp"
#include "standin/fault_board.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace pimentograde::standin
{

class store_model;

struct store_limits
{
    /// Time that each call takes.
    base::duration latency{};
    /// Calls a second; more of them wait for their turn, and are refused when
    /// the wait is longer than a second. 0: no limit.
    double reads_per_second = 0;
    double writes_per_second = 0;
};

/// The platform's key-value store over HTTP, with faults.
class fake_store
{
public:
    /// `faults` has to outlive the store.
    fake_store(net::endpoint where, store_limits limits, fault_board& faults);
    ~fake_store();
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    [[nodiscard]] const net::endpoint& local_endpoint() const;
    /// Calls that reached the store, by operation.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& counts() const;
    store_model& model();
    /// Wakes pending watches after a direct change of the model.
    void notify();
    /// Opens or closes the listener as the faults say.
    void apply_faults(base::time_point now);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace pimentograde::standin

#endif
