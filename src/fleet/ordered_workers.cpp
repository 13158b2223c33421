#include "fleet/ordered_workers.hpp"

namespace pimentograde::fleet
{

namespace
{

// An order that was carried out shows in the next listing, or in a later one if
// it arrived late. The worker's owner finds out by itself within this time: a
// worker's lease is at most 6 s.
constexpr std::chrono::seconds proof_time{6};

bool proves_end(const machine& entry, const std::string& worker)
{
    // A row that cannot be read.
    if (entry.pool.empty())
        return false;
    // Its worker has not joined yet, or is missing in the row.
    if (entry.status == machine_status::up && entry.worker.empty())
        return false;
    // `down` also stands for a state that cannot be read.
    return entry.worker != worker || entry.status == machine_status::moving ||
           entry.status == machine_status::in_maintenance;
}

} // namespace

void ordered_workers::note_ordered(const machine& entry,
                                   base::time_point answered_at)
{
    // A machine that is not up has no worker yet, or none any more.
    if (entry.status == machine_status::up && !entry.worker.empty())
        waiting_.insert_or_assign(
            entry.worker, ordered_worker{entry.id, entry.pool, answered_at});
}

std::vector<ordered_workers::ended_worker> ordered_workers::take_ended(
    const std::function<const machine*(const std::string&)>& find,
    base::time_point listed_at)
{
    std::vector<ended_worker> ended;
    std::erase_if(waiting_,
                  [&](const auto& item)
                  {
                      const auto& [worker, order] = item;
                      if (listed_at <= order.answered_at)
                          return false;
                      const machine* entry = find(order.machine);
                      if (entry == nullptr || !proves_end(*entry, worker))
                          return listed_at - order.answered_at >= proof_time;
                      ended.push_back({order.machine, order.pool, worker});
                      return true;
                  });
    return ended;
}

} // namespace pimentograde::fleet
