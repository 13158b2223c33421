// Orders to the machines of a simulated pool: some end their worker, and others
// only seem to.

#include "jobs/pool_world.hpp"

#include <utility>

namespace pimentograde::tests
{

namespace
{

// How long the store lists a worker that has ended, to the scale of
// `lease_length`.
constexpr auto max_stale_listing_time = 2s;
constexpr auto machine_down_time = 400ms;
constexpr int max_answer_steps = 20;
constexpr auto release_hold = 1s;
constexpr int order_odds = 33;
constexpr auto wall = base::wall_time(1'000'000s);

} // namespace

void pool_world::order_machines()
{
    const std::size_t count = workers_.size();
    for (std::size_t index = 0; index < count; ++index)
    {
        if (workers_[index].is_gone)
            continue;
        if (odds_.repeated_order > 0 && chance(odds_.repeated_order))
            name_ended(workers_[index].id);
        else if (odds_.machine_order > 0 && chance(odds_.machine_order))
            end_by_order(index);
        else if (odds_.release > 0 && chance(odds_.release))
            release(index);
    }
}

void pool_world::release(std::size_t index)
{
    if (owner_.state->prepare_leave(workers_[index].id, now_ + release_hold,
                                    now_) &&
        chance(order_odds))
        end_by_order(index);
}

void pool_world::end_by_order(std::size_t index)
{
    simulated_worker& worker = workers_[index];
    crash(worker);
    worker.is_gone = true;
    worker.listed_until = now_ + max_stale_listing_time;
    named_ends_.push_back({worker.id, now_ + some_steps(max_answer_steps)});
    add_worker();
    down_until_[workers_.back().id] = now_ + machine_down_time;
}

// As in pools/pool_owner.
void pool_world::name_ended(const std::string& id)
{
    if (owner_.state->end_worker(id, now_, wall))
        owner_.ended_until.emplace(id, now_ + max_stale_listing_time);
}

void pool_world::advance_machine_orders()
{
    std::vector<named_end> due;
    std::erase_if(named_ends_,
                  [&](const named_end& entry)
                  {
                      if (entry.at > now_)
                          return false;
                      due.push_back(entry);
                      return true;
                  });
    for (const named_end& entry : due)
        name_ended(entry.worker);
    for (simulated_worker& worker : workers_)
    {
        const auto ended = owner_.ended_until.find(worker.id);
        if (ended != owner_.ended_until.end() && now_ >= ended->second)
        {
            owner_.ended_until.erase(ended);
            list_worker(worker);
        }
        if (!worker.is_gone || !worker.is_listed || now_ < worker.listed_until)
            continue;
        worker.is_listed = false;
        owner_.state->unlist_worker(worker.id, now_);
    }
}

} // namespace pimentograde::tests
