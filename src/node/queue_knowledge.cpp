#include "node/queue_knowledge.hpp"

#include <algorithm>
#include <utility>

namespace pimentograde::node
{

void queue_knowledge::on_move(
    std::function<void(const peer::queue_assignment&)> hook)
{
    moved_ = std::move(hook);
}

void queue_knowledge::set_configuration(const platform::configuration& current)
{
    configuration_ = current;
    known_.add(current);
}

void queue_knowledge::read_record(queue_pools stored)
{
    stored_ = std::move(stored);
    known_.merge(stored_);
    for (const peer::queue_assignment& assignment : stored_.assignments())
        note(assignment);
}

void queue_knowledge::note(const peer::queue_assignment& stated)
{
    const std::string before = stated_.newest(stated.queue).pool;
    stated_.adopt(stated);
    const peer::queue_assignment newest = stated_.newest(stated.queue);
    if (!before.empty() && newest.pool != before)
        moved_(newest);
}

void queue_knowledge::add_pool_for_all(const std::string& pool)
{
    known_.add_for_all(pool);
}

bool queue_knowledge::is_superseded(const platform::queue_route& route) const
{
    return configuration_ && newest(route).pool != route.policy.pool &&
           !known_.is_reassigned(route, configuration_->version);
}

bool queue_knowledge::is_record_outdated() const
{
    return configuration_ &&
           std::any_of(
               configuration_->queues.begin(), configuration_->queues.end(),
               [this](const platform::queue_route& route) {
                   return stored_.is_reassigned(route, configuration_->version);
               });
}

// An earlier version of the program drops the order of assignments when it
// writes the record.
queue_pools queue_knowledge::next_record() const
{
    queue_pools next = stored_;
    next.merge(known_);
    if (configuration_)
        next.assign(*configuration_);
    return next;
}

bool queue_knowledge::adopt(const peer::queue_assignment& stated)
{
    note(stated);
    return stated_.is_newest(stated);
}

// Senders of an earlier version state nothing.
bool queue_knowledge::is_assigned(
    const std::optional<peer::queue_assignment>& stated,
    std::string_view queue_name, std::string_view pool)
{
    if (stated)
        return adopt(*stated) && stated->pool == pool;
    const auto is_elsewhere = [&](const platform::queue_route& route)
    {
        const std::string newest = stated_.newest(route).pool;
        return route.policy.name == queue_name && newest != pool &&
               !newest.empty();
    };
    return !configuration_ ||
           std::none_of(configuration_->queues.begin(),
                        configuration_->queues.end(), is_elsewhere);
}

} // namespace pimentograde::node
