// Owners of a simulated pool that follow each other, and those that go on
// without the store after the next one has taken over.

#include "jobs/pool_world.hpp"

#include <utility>

namespace pimentograde::tests
{

namespace
{

// The times of the product to the scale of `lease_length`: 2.5 s, 6 s and the
// time between them, see node/session and pools/stored_pool.
constexpr auto role_lease = 850ms;
constexpr auto max_order_time = 2s;
constexpr auto max_orders_after_takeover = max_order_time - role_lease;
constexpr int max_owner_cut_steps = 40;
constexpr int max_quick_takeover_steps = 20;
// Polls of an earlier owner are rare enough that it may go on for a while
// before a worker tells it of the next one.
constexpr int earlier_poll_odds = 20;

} // namespace

bool pool_world::may_order(const simulated_owner& owner) const
{
    return !owner.is_fenced_off &&
           (owner.has_store() ||
            now_ < *owner.without_store_since + max_order_time);
}

jobs::ownership pool_world::ownership_of(const simulated_owner& owner) const
{
    return owner.has_store() || now_ < *owner.without_store_since + role_lease
               ? jobs::ownership::exclusive
               : jobs::ownership::contested;
}

bool pool_world::reaches(const simulated_worker& worker) const
{
    const auto cut = owner_.cut_until.find(worker.id);
    return !worker.is_partitioned && !worker.is_gone &&
           (cut == owner_.cut_until.end() || now_ >= cut->second);
}

base::duration pool_world::inherited_lease() const
{
    return has_earlier_owners_ ? lease_length + max_orders_after_takeover
                               : base::duration(lease_length);
}

simulated_owner* pool_world::find_earlier_owner(std::int64_t fence)
{
    for (simulated_owner& owner : earlier_owners_)
        if (owner.fence == fence)
            return &owner;
    return nullptr;
}

// An owner that the next one follows before its lease has ended was killed.
void pool_world::begin_owner()
{
    simulated_owner next;
    next.state = std::make_unique<jobs::pool_state>("pool");
    next.state->set_policy({"queue", "pool", 0, 1'000'000, 1.5, 600ms});
    grant_tenant(*next.state);
    if (odds_.near_wait > 0)
    {
        next.state->set_remote_factor(3.0);
        next.state->set_near_wait(jobs::decide_locality);
        next.state->set_worker_speed(true);
    }
    next.fence = stored_fence_;
    next.known_roster_revision = stored_roster_.revision;
    next.extended_until = owner_.extended_until;
    if (odds_.owner_cut > 0)
        for (const simulated_worker& worker : workers_)
            if (chance(odds_.owner_cut))
                next.cut_until[worker.id] =
                    now_ + some_steps(max_owner_cut_steps);
    if (!owner_.has_store() &&
        now_ >= *owner_.without_store_since + role_lease && may_order(owner_))
        earlier_owners_.push_back(std::move(owner_));
    owner_ = std::move(next);
}

void pool_world::change_owner()
{
    if (odds_.store_cut > 0 && owner_.has_store() && chance(odds_.store_cut))
        owner_.without_store_since = now_;
    const bool is_role_free =
        !owner_.has_store() && now_ >= *owner_.without_store_since + role_lease;
    const bool is_due = next_takeover_at_ && now_ >= *next_takeover_at_;
    if (!is_role_free && !is_due)
        return;
    next_takeover_at_.reset();
    take_over();
    plan_next_takeover();
}

void pool_world::plan_next_takeover()
{
    if (odds_.quick_takeover == 0 || !chance(odds_.quick_takeover))
        return;
    if (chance(50))
        owner_.without_store_since = now_;
    else
        next_takeover_at_ = now_ + some_steps(max_quick_takeover_steps);
}

void pool_world::advance_earlier_owners()
{
    for (std::size_t index = 0; index < earlier_owners_.size(); ++index)
    {
        if (!may_order(earlier_owners_[index]))
            continue;
        std::swap(owner_, earlier_owners_[index]);
        act(earlier_poll_odds);
        std::swap(owner_, earlier_owners_[index]);
    }
    std::erase_if(earlier_owners_, [this](const simulated_owner& owner)
                  { return !may_order(owner); });
}

} // namespace pimentograde::tests
