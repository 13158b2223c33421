#ifndef PIMENTOGRADE_NODE_FLEET_RECORDS_HPP
#define PIMENTOGRADE_NODE_FLEET_RECORDS_HPP

#include "fleet/recent_orders.hpp"
#include "fleet/wave_progress.hpp"
#include "platform/store_client.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::node
{

/// What the holder of the machine role keeps in the store for its successors.
/// Each write holds only while the role has the fence `fence`, so a holder that
/// reads after its claim reads all that earlier holders will ever have written.
/// Calls throw `base::error`.
class fleet_records
{
public:
    explicit fleet_records(platform::store_client& store) : store_(store) {}

    /// Empty when the record is not one that this version can read.
    [[nodiscard]] std::optional<std::vector<fleet::recorded_order>>
    read_orders();
    /// Returns false when the role has another holder.
    bool write_orders(std::int64_t fence,
                      std::span<const fleet::recorded_order> orders);

    /// Machines of the wave that are recorded as done.
    [[nodiscard]] std::vector<std::string> read_done(std::int64_t wave);
    /// Writes the wave's progress and its status for the operators. Returns
    /// false when the role has another holder.
    bool write_wave(std::int64_t fence, const fleet::wave_progress& wave);

private:
    platform::store_client& store_;
};

} // namespace pimentograde::node

#endif
