#ifndef PIMENTOGRADE_POLICY_WAIT_QUEUE_HPP
#define PIMENTOGRADE_POLICY_WAIT_QUEUE_HPP

#include "base/strong_id.hpp"
#include "base/task_size.hpp"
#include "base/time.hpp"
#include "policy/slot.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentograde::policy
{

/// Estimated cost of a task.
struct request_estimate
{
    /// Slots charged to the department's quota.
    double charge = 1;
    /// Median run time, used to predict waits; 0 if unknown.
    base::duration typical_time{};
};

/// One request in the queue of a broker.
struct waiting_request
{
    std::uint64_t ticket = 0;
    slot_request request;
    /// Member that will use the slot.
    base::member_id holder;
    request_estimate estimate;
    base::time_point expiry{};
    /// Earliest time to ask lenders again.
    base::time_point borrow_after{};
};

/// Requests that wait for a slot of one pool, grouped by urgency and department
/// and ordered by arrival within a department.
class wait_queue
{
public:
    using share_function = std::function<double(const base::department_name&)>;
    using match_function = std::function<bool(const waiting_request&)>;

    void push(waiting_request entry);
    std::optional<waiting_request> remove(std::uint64_t ticket);
    [[nodiscard]] waiting_request* find(std::uint64_t ticket);
    /// Ticket of the waiting request with this id, 0 if there is none.
    [[nodiscard]] std::uint64_t ticket_of(const std::string& id) const;

    /// Returns the first match, ordered by the share of the department,
    /// ascending, then by arrival. Null if there is none.
    [[nodiscard]] waiting_request* find_next(base::priority urgency,
                                             const share_function& share,
                                             const match_function& matches);

    std::vector<waiting_request> take_expired(base::time_point now);
    std::vector<waiting_request> take_held_by(const base::member_id& holder);
    std::vector<waiting_request> take_all();

    [[nodiscard]] std::size_t size() const { return index_.size(); }
    [[nodiscard]] std::size_t size(base::priority urgency) const;
    [[nodiscard]] std::uint32_t size(const base::queue_name& queue) const;
    /// Number of waiting requests per queue, without empty queues.
    [[nodiscard]] const std::map<base::queue_name, std::uint32_t>&
    by_queue() const
    {
        return by_queue_;
    }
    /// Sum of the median run times of a department's waiting requests.
    [[nodiscard]] base::duration
    expected_work(base::priority urgency,
                  const base::department_name& department) const;
    [[nodiscard]] std::optional<base::time_point> next_expiry() const;

private:
    struct department_queue
    {
        std::map<std::uint64_t, waiting_request> entries;
        base::duration expected{};
    };
    using department_queue_map =
        std::map<base::department_name, department_queue>;

    [[nodiscard]] department_queue_map& queues(base::priority urgency);
    [[nodiscard]] const department_queue_map&
    queues(base::priority urgency) const;
    std::vector<waiting_request>
    take(const std::vector<std::uint64_t>& tickets);

    std::array<department_queue_map, 2> queues_;
    std::array<std::size_t, 2> sizes_{};
    std::unordered_map<std::uint64_t,
                       std::pair<base::priority, base::department_name>>
        index_;
    std::unordered_map<std::string, std::uint64_t> ids_;
    std::set<std::pair<base::time_point, std::uint64_t>> expiries_;
    std::map<base::queue_name, std::uint32_t> by_queue_;
};

} // namespace pimentograde::policy

#endif
