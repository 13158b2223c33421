#ifndef PIMENTOGRADE_FLEET_ORDERED_WORKERS_HPP
#define PIMENTOGRADE_FLEET_ORDERED_WORKERS_HPP

#include "base/time.hpp"
#include "fleet/machine.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pimentograde::fleet
{

/// The workers whose machines this holder of the machine role has ordered,
/// until a listing of the machines proves that they have ended. The answer to
/// an order proves nothing: it is the same if an earlier order had been carried
/// out, and the machine is up again with a new worker. A worker is one life of
/// a machine, so one that its machine no longer has does not come back.
class ordered_workers
{
public:
    struct ended_worker
    {
        std::string machine;
        /// The pool of the worker, which a move takes the machine away from.
        std::string pool;
        std::string worker;
    };

    /// The machine was ordered while listed as `entry`. `answered_at` is the
    /// time of the answer, or when the caller stopped waiting for it: the order
    /// may have been carried out without an answer, or an earlier one may be
    /// under way.
    void note_ordered(const machine& entry, base::time_point answered_at);
    /// Applies a listing that was requested at `listed_at`; `find` returns null
    /// for a machine that it lacks. Returns the workers that it proves to have
    /// ended, each one once. Workers without a proof are forgotten after a
    /// while.
    std::vector<ended_worker>
    take_ended(const std::function<const machine*(const std::string&)>& find,
               base::time_point listed_at);
    /// Another holder of the role may have sent orders since.
    void clear() { waiting_.clear(); }
    [[nodiscard]] bool empty() const { return waiting_.empty(); }

private:
    struct ordered_worker
    {
        std::string machine;
        std::string pool;
        base::time_point answered_at;
    };

    /// By worker.
    std::map<std::string, ordered_worker> waiting_;
};

} // namespace pimentograde::fleet

#endif
