#ifndef PIMENTOGRADE_STANDIN_FAULT_BOARD_HPP
#define PIMENTOGRADE_STANDIN_FAULT_BOARD_HPP

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentograde::standin
{

enum class fault_kind
{
    /// Store calls take `delay` longer.
    store_slow,
    /// With probability 1 the listener is closed, else single calls are
    /// dropped before they take effect.
    store_down,
    /// Calls get no response while the fault lasts and take effect afterwards.
    store_hang,
    /// Calls take effect, but the connection breaks before the response.
    store_lose_response,
    /// Calls take effect, but the response is cut.
    store_truncate,
    /// `get` and `list` return the state of `delay` ago.
    store_stale_read,
    /// All leases in the store end at once.
    store_expire_leases,
    /// The instance list lags by `delay`.
    list_lag,
    list_down,
    /// Reserve, start and run are refused with status 503.
    worker_refuse,
    /// Started tasks fail.
    worker_fail_tasks,
    /// Calls get no response while the fault lasts and take effect afterwards.
    worker_freeze,
    /// The listener is closed and all tasks are lost; the worker is back with
    /// another incarnation when the fault ends.
    worker_kill,
    /// Calls take effect, but the response is cut.
    worker_truncate,
    /// Calls take `delay` longer, and tasks run `factor` times as long.
    worker_slow
};

std::string_view to_string(fault_kind kind);
std::optional<fault_kind> parse_fault_kind(std::string_view word);

struct fault
{
    fault_kind kind = fault_kind::store_slow;
    /// Empty: all workers.
    std::string worker;
    /// Share of the calls that the fault hits.
    double probability = 1;
    /// 0: until cleared.
    base::duration duration{};
    base::duration delay{};
    double factor = 1;
};

struct active_fault
{
    std::uint64_t id = 0;
    fault what;
    /// Not set: until cleared.
    std::optional<base::time_point> end;
};

/// The faults in force.
class fault_board
{
public:
    explicit fault_board(std::uint64_t seed);

    std::uint64_t set(fault what, base::time_point now);
    /// Returns whether the fault was in force.
    bool clear(std::uint64_t id);
    void clear_all();
    /// The fault that hits this call, drawn by its probability.
    std::optional<fault> draw(fault_kind kind, std::string_view worker,
                              base::time_point now);
    /// Whether a fault of this kind is in force, whatever its probability.
    [[nodiscard]] bool is_on(fault_kind kind, std::string_view worker,
                             base::time_point now) const;
    /// Whether a fault of this kind and probability 1 is in force.
    [[nodiscard]] bool is_certain(fault_kind kind, std::string_view worker,
                                  base::time_point now) const;
    [[nodiscard]] std::vector<active_fault> list(base::time_point now) const;
    base::random_source& random() { return random_; }

private:
    std::vector<active_fault> faults_;
    std::uint64_t last_id_ = 0;
    base::random_source random_;
};

} // namespace pimentograde::standin

#endif
