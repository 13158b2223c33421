#include "policy/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace pimentograde::policy
{

namespace
{

std::size_t priority_index(base::priority urgency)
{
    return urgency == base::priority::urgent ? 0 : 1;
}

} // namespace

wait_queue::department_queue_map& wait_queue::queues(base::priority urgency)
{
    return queues_.at(priority_index(urgency));
}

const wait_queue::department_queue_map&
wait_queue::queues(base::priority urgency) const
{
    return queues_.at(priority_index(urgency));
}

void wait_queue::push(waiting_request entry)
{
    const auto& request = entry.request;
    const auto ticket = entry.ticket;
    auto& target = queues(request.urgency)[request.department];
    index_.emplace(ticket, std::pair(request.urgency, request.department));
    if (!request.id.empty())
        ids_.emplace(request.id, ticket);
    expiries_.emplace(entry.expiry, ticket);
    ++by_queue_[request.queue];
    ++sizes_.at(priority_index(request.urgency));
    target.expected += entry.estimate.typical_time;
    target.entries.emplace(ticket, std::move(entry));
}

std::optional<waiting_request> wait_queue::remove(std::uint64_t ticket)
{
    const auto known = index_.find(ticket);
    if (known == index_.end())
        return std::nullopt;
    const auto [urgency, department] = known->second;
    index_.erase(known);
    const auto queue_entry = queues(urgency).find(department);
    auto node = queue_entry->second.entries.extract(ticket);
    waiting_request entry = std::move(node.mapped());
    queue_entry->second.expected -= entry.estimate.typical_time;
    if (queue_entry->second.entries.empty())
        queues(urgency).erase(queue_entry);
    ids_.erase(entry.request.id);
    expiries_.erase({entry.expiry, ticket});
    --sizes_.at(priority_index(urgency));
    const auto count = by_queue_.find(entry.request.queue);
    if (--count->second == 0)
        by_queue_.erase(count);
    return entry;
}

waiting_request* wait_queue::find(std::uint64_t ticket)
{
    const auto known = index_.find(ticket);
    if (known == index_.end())
        return nullptr;
    return &queues(known->second.first)
                .at(known->second.second)
                .entries.at(ticket);
}

std::uint64_t wait_queue::ticket_of(const std::string& id) const
{
    const auto known = ids_.find(id);
    return known == ids_.end() ? 0 : known->second;
}

waiting_request* wait_queue::find_next(base::priority urgency,
                                       const share_function& share,
                                       const match_function& matches)
{
    std::vector<std::tuple<double, std::uint64_t, department_queue*>> order;
    auto& departments = queues(urgency);
    order.reserve(departments.size());
    for (auto& [department, requests] : departments)
        order.emplace_back(share(department), requests.entries.begin()->first,
                           &requests);
    std::sort(order.begin(), order.end());
    for (auto& [used, ticket, requests] : order)
        for (auto& [key, entry] : requests->entries)
            if (matches(entry))
                return &entry;
    return nullptr;
}

std::vector<waiting_request>
wait_queue::take(const std::vector<std::uint64_t>& tickets)
{
    std::vector<waiting_request> taken;
    taken.reserve(tickets.size());
    for (const auto ticket : tickets)
        if (auto entry = remove(ticket))
            taken.push_back(std::move(*entry));
    return taken;
}

std::vector<waiting_request> wait_queue::take_expired(base::time_point now)
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [expiry, ticket] : expiries_)
    {
        if (expiry > now)
            break;
        tickets.push_back(ticket);
    }
    return take(tickets);
}

std::vector<waiting_request>
wait_queue::take_held_by(const base::member_id& holder)
{
    std::vector<std::uint64_t> tickets;
    for (const auto& [expiry, ticket] : expiries_)
        if (find(ticket)->holder == holder)
            tickets.push_back(ticket);
    return take(tickets);
}

std::vector<waiting_request> wait_queue::take_all()
{
    std::vector<std::uint64_t> tickets;
    tickets.reserve(expiries_.size());
    for (const auto& [expiry, ticket] : expiries_)
        tickets.push_back(ticket);
    return take(tickets);
}

std::size_t wait_queue::size(base::priority urgency) const
{
    return sizes_.at(priority_index(urgency));
}

std::uint32_t wait_queue::size(const base::queue_name& queue) const
{
    const auto known = by_queue_.find(queue);
    return known == by_queue_.end() ? 0 : known->second;
}

base::duration
wait_queue::expected_work(base::priority urgency,
                          const base::department_name& department) const
{
    const auto& departments = queues(urgency);
    const auto known = departments.find(department);
    return known == departments.end() ? base::duration::zero()
                                      : known->second.expected;
}

std::optional<base::time_point> wait_queue::next_expiry() const
{
    if (expiries_.empty())
        return std::nullopt;
    return expiries_.begin()->first;
}

} // namespace pimentograde::policy
