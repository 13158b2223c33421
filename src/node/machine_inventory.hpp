#ifndef PIMENTOGRADE_NODE_MACHINE_INVENTORY_HPP
#define PIMENTOGRADE_NODE_MACHINE_INVENTORY_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"
#include "fleet/wave_progress.hpp"
#include "peer/pool_messages.hpp"
#include "platform/configuration.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pimentograde::node
{

/// Last known state of machines and pools, kept by the holder of the role
/// `fleet`.
class machine_inventory
{
public:
    std::vector<platform::pool_settings> pools;

    /// Applies a listing that was requested at `requested_at`.
    void set_machines(std::span<const fleet::machine> listed,
                      base::time_point requested_at);
    void set_load(const std::string& pool, peer::pool_load load);

    [[nodiscard]] const std::map<std::string, fleet::machine>& machines() const
    {
        return machines_;
    }
    /// When the listing that shows these machines was requested.
    [[nodiscard]] base::time_point listed_at() const { return listed_at_; }
    /// Null for a machine that is not listed.
    [[nodiscard]] const fleet::machine* find(const std::string& machine) const;
    /// Null while the pool's load is unknown.
    [[nodiscard]] const peer::pool_load* load_of(const std::string& pool) const;
    /// Load of the machine's worker as reported by the pool's owner; null when
    /// the owner does not know the worker.
    [[nodiscard]] const peer::worker_load*
    worker_of(const fleet::machine& entry) const;
    /// Empty for a machine that is not up.
    [[nodiscard]] std::optional<fleet::machine_load>
    machine_load(const std::string& machine) const;

private:
    struct known_load
    {
        peer::pool_load load;
        std::map<std::string, const peer::worker_load*> workers;
    };

    std::map<std::string, fleet::machine> machines_;
    base::time_point listed_at_{};
    std::map<std::string, known_load> loads_;
};

} // namespace pimentograde::node

#endif
