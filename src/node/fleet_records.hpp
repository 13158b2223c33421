#ifndef PIMENTOGRADE_NODE_FLEET_RECORDS_HPP
#define PIMENTOGRADE_NODE_FLEET_RECORDS_HPP

#include "base/time.hpp"
#include "fleet/recent_orders.hpp"
#include "fleet/wave_progress.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::node
{

/// Records of orders that earlier holders of the machine role may have sent.
struct earlier_orders
{
    std::vector<fleet::recorded_order> orders;
    /// False if a record is not one that this version can read.
    bool is_readable = true;
};

/// Machines that a wave has ordered and that are not known to be up again.
struct unavailable_machines
{
    std::int64_t wave = 0;
    std::vector<std::string> machines;
};

/// What the holder of the machine role keeps in the store for its successors.
/// Each write holds only while the role has the fence `fence`, so a holder that
/// reads after its claim reads all that earlier holders will ever have written.
/// Calls throw `base::error`.
class fleet_records
{
public:
    explicit fleet_records(platform::store_client& store) : store_(store) {}

    /// Records that have not expired and are not of the holder with `fence`.
    [[nodiscard]] earlier_orders read_orders(std::int64_t fence);
    /// Records orders until `lifetime` from the arrival of the call, and
    /// machines that a wave may have taken down until they are written anew.
    /// Returns false when the role has another holder.
    bool write_orders(std::int64_t fence,
                      std::span<const fleet::recorded_order> orders,
                      std::span<const unavailable_machines> waves,
                      base::duration lifetime);

    /// Machines of the wave that are recorded as done.
    [[nodiscard]] std::vector<std::string> read_done(std::int64_t wave);
    /// Machines that the wave may have taken down and that are not recorded as
    /// done. An order may take effect long after it was sent, so this record
    /// outlives those of `write_orders`. Throws if the record is unreadable.
    [[nodiscard]] std::vector<std::string> read_ordered(std::int64_t wave);
    /// Writes the wave's progress and its status for the operators. Returns
    /// false when the role has another holder.
    bool write_wave(std::int64_t fence, const fleet::wave_progress& wave);

private:
    platform::store_client& store_;
};

} // namespace pimentograde::node

#endif
